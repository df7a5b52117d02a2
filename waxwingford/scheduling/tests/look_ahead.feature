Feature: placement that looks ahead

  Scenario Outline: one large task among many small ones
    # Guards against small tasks that take the room that a large one could have first.
    Given look-ahead is <switch>
    And 2 servers of 16 cores, one with tasks of 6 cores and 2200 and 2900 ms, one with a task of 4 cores and 3900 ms
    And a task of 4 cores and 1000 ms arrives every 125 ms
    When a long-running task of 14 cores has waited for 0 ms
    Then it starts <when> 3400 ms

    Examples:
      | switch | when   |
      | on     | within |
      | off    | after  |

  Scenario Outline: only tasks that end in time fill in
    # Guards against a reservation that lets tasks in that outlast its time.
    Given look-ahead is on
    And 1 server of 16 cores that runs a task of 12 cores and 5000 ms
    When a long-running task of 14 cores has waited for 2000 ms
    And a task of 4 cores and <run_ms> ms is submitted
    Then the task of 4 cores <outcome>
    And the task of 14 cores starts within 5300 ms

    Examples:
      | run_ms | outcome               |
      | 1500   | fills in at once      |
      | 2900   | doesn't start first   |
      | 4000   | doesn't start first   |

  Scenario: a long-running task uses only what the reserved task leaves
    # Guards against tasks of unknown end that take reserved room.
    Given look-ahead is on
    And 1 server of 16 cores that runs a task of 12 cores and 5000 ms
    When a long-running task of 14 cores has waited for 2000 ms
    And a long-running task of 2 cores is submitted
    And a long-running task of 2 cores is submitted
    Then 1 long-running task runs when the task of 14 cores starts

  Scenario: a reservation waits for no task of unknown end
    # Guards against room that is kept idle for a task that may never have it.
    Given look-ahead is on
    And 1 server of 16 cores that runs a long-running task of 8 cores
    When a long-running task of 14 cores has waited for 0 ms
    Then nothing is reserved

  Scenario: a task that takes longer than expected
    # Guards against a reservation that stays where its time has passed.
    Given look-ahead is on
    And 2 servers of 16 cores that run a task of 12 cores and 4000 or 5000 ms
    When a long-running task of 14 cores has waited for 2000 ms
    And the task of 4000 ms turns out to take 11000 ms
    Then the task of 14 cores starts within 5300 ms
    And its reservation has moved

  Scenario Outline: a server leaves with its reservation
    # Guards against a task that waits for a server that gets no more starts.
    Given look-ahead is on
    And 2 servers of 16 cores that run a task of 12 cores and 4000 or 5000 ms
    When a long-running task of 14 cores has waited for 2000 ms
    And the reserved server <leaves>
    Then its reservation has ended as "server_lost"
    And the task of 14 cores starts within 5300 ms

    Examples:
      | leaves           |
      | drains           |
      | stops to answer  |

  Scenario: another owner takes over while room is reserved
    # Guards against reservations that outlive their owner, and second starts.
    Given look-ahead is on
    And 1 server of 16 cores that runs a task of 12 cores and 5000 ms
    When a long-running task of 14 cores has waited for 2000 ms
    And a new owner takes over the reserved room
    Then it has no reservation before its first round
    And the task of 14 cores starts within 6000 ms
    And each task was started once

  Scenario: a reserved task is cancelled
    # Guards against room that stays reserved for nothing.
    Given look-ahead is on
    And 1 server of 16 cores that runs a task of 12 cores and 5000 ms
    When a long-running task of 14 cores has waited for 2000 ms
    And the task of 14 cores is cancelled
    And a task of 4 cores and 9000 ms is submitted
    Then the task of 4 cores fills in at once

  Scenario: no room is kept while nothing waits
    # Guards against decisions that differ although no large task waits.
    Given look-ahead is on
    And 3 servers of 16 cores without tasks
    When 6 tasks of 4 cores and 1000 ms are submitted
    Then each server runs 2 of them

  Scenario Outline: best-effort tasks leave memory while a large task waits
    # Guards against free cores that no task can use because best-effort tasks hold
    # the memory beside them.
    Given look-ahead is <switch>
    And 1 server of 16 cores that runs a task of 8 cores, 30000 MB and 3000 ms
    When <waiting> tasks of 4 cores, 50000 MB and 1000 ms are submitted
    And 6 best-effort tasks of 10000 MB are submitted
    Then <running> best-effort tasks run

    Examples:
      | switch | waiting | running |
      | on     | 0       | 3       |
      | on     | 1       | 0       |
      | off    | 1       | 3       |

  Scenario: any arrivals
    # Guards against servers over their capacity, and reserved tasks that tasks filling
    # in put back by more than the bound.
    Then no arrivals exceed the room of a server or put a reserved task back too far
