Feature: bounds on the leases of previous owners

  Scenario Outline: the newest heartbeat bounds all leases
    # Guards against bounds that are taken from an outdated heartbeat, or
    # counted from the claim.
    Given heartbeat <number> was read at 10 s
    And it lists "dark" as silent with 400 ms left
    When the successor's first heartbeat is number <first>, stored at 12 s
    Then leases of 5000 ms on "dark" expire at <dark_ms> ms
    And those on other servers expire at <other_ms> ms

    Examples:
      | number | first | dark_ms | other_ms |
      | 5      | 6     | 10454   | 18154    |
      | 5      | 7     | 20154   | 20154    |

  Scenario Outline: an owner that has extended no lease repeats the bounds of its predecessor
    # Guards against repeated bounds that rest on an outdated heartbeat, and
    # waits that restart with each owner.
    Given heartbeat 5 was read at 10 s
    And it lists "dark" as silent with 400 ms left
    And its sender had extended no lease, had read up to heartbeat <read_to>, and 3000 ms were left
    When the successor's first heartbeat is number 6, stored at 12 s
    Then leases of 5000 ms on "dark" expire at <dark_ms> ms
    And those on other servers expire at <other_ms> ms

    Examples:
      | read_to | dark_ms | other_ms |
      | 4       | 10454   | 13080    |
      | 3       | 20154   | 20154    |

  Scenario: heartbeats of an older version bound nothing
    # Guards against reading a heartbeat without a list of silent servers as one
    # with an empty list.
    Given a heartbeat of an older version that was read at 10 s
    When the successor's first heartbeat is number 2, stored at 12 s
    Then leases of 5000 ms on "dark" expire at 20154 ms

  Scenario: there never was an owner
    Given no heartbeat
    When the successor's first heartbeat is number 1, stored at 12 s
    Then leases of 5000 ms on "dark" expire at 12000 ms
