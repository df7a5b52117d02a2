Feature: a shard whose calls to servers go by way of relays

  Scenario: jobs are completed by way of relays
    Given a shard of 4 daemons and 6 servers with relays
    When 8 jobs of 2 steps are submitted over 4 s
    And 6 s pass
    Then all jobs are completed
    And each task was started at most once
    And no invariant was violated
    And most starts were sent by relays

  Scenario: a relay is killed while starts and polls are in progress
    # Guards against taking the calls that are lost with a relay for crashes of the
    # servers, or for calls that were never sent.
    Given a shard of 4 daemons and 6 servers with relays
    When 8 jobs of 2 steps are submitted over 4 s
    And a relay is killed
    And 8 jobs of 2 steps are submitted over 4 s
    And 10 s pass
    Then all jobs are completed
    And no invariant was violated

  Scenario: relays send starts late, after their servers have restarted in place
    # Guards against starts that a relay sends when nobody expects them any more: no
    # field of them makes them invalid at the next incarnation.
    Given a shard of 4 daemons with relays and 6 servers that started 500 s ago
    When relays hold back the starts of a job of 4 tasks of 60 s
    And all servers restart in place 25 s later
    And relays send what they held back 5 s later
    Then no invariant was violated

  Scenario Outline: random faults, with relays that are lost or hold orders back
    # Guards against decisions that rest on what a relay has not told, or tells late.
    When a shard with relays is simulated for 60 s with random faults and seed <seed>
    Then all jobs are completed
    And no invariant was violated

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
