Feature: how long a successor waits for the leases of former owners

  Scenario Outline: the newest heartbeat bounds all leases
    # Symptom: tasks run in two places at once, or stand still for longer than
    # the leases of their server last.
    # Sequence: a daemon claims after it has read a heartbeat, and sends its own.
    # Cause: a bound from a heartbeat that is not the newest, or from the claim.
    Given a heartbeat that was read at 10 s and is the <number> one
    And it names "dark" as silent with 400 ms left
    When the successor's first heartbeat is the <first> one, stored at 12 s
    Then leases of 5000 ms on "dark" are over at <dark_ms> ms
    And those on other servers at <other_ms> ms

    Examples:
      | number | first | dark_ms | other_ms |
      | 5      | 6     | 10454   | 18154    |
      | 5      | 7     | 20154   | 20154    |

  Scenario Outline: an owner that has extended nothing hands bounds on
    # Symptom: tasks run in two places at once, or wait anew with each owner.
    # Sequence: an owner sends its first heartbeat and is killed; the one before it
    # had, or had not, sent another heartbeat just before that.
    # Cause: bounds that are handed on though they rest on an older heartbeat, or
    # that are not.
    Given a heartbeat that was read at 10 s and is the 5 one
    And it names "dark" as silent with 400 ms left
    And its sender had extended no lease, had read up to the <read_to> one, and 3000 ms were left
    When the successor's first heartbeat is the 6 one, stored at 12 s
    Then leases of 5000 ms on "dark" are over at <dark_ms> ms
    And those on other servers at <other_ms> ms

    Examples:
      | read_to | dark_ms | other_ms |
      | 4       | 10454   | 13080    |
      | 3       | 20154   | 20154    |

  Scenario: heartbeats of an older version bound nothing
    # Cause: reading a heartbeat that doesn't say which servers are silent as one
    # that says that none is; its sender took any append for a proof.
    Given a heartbeat of an older version that was read at 10 s
    When the successor's first heartbeat is the 2 one, stored at 12 s
    Then leases of 5000 ms on "dark" are over at 20154 ms

  Scenario: there never was an owner
    Given no heartbeat
    When the successor's first heartbeat is the 1 one, stored at 12 s
    Then leases of 5000 ms on "dark" are over at 12000 ms
