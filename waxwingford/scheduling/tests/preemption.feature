Feature: preemption of runs of lower priority

  Servers have 32 cores and 128 GB. Batch tasks are best-effort, of 7 cores and 13 GB.

  Scenario Outline: memory is held by batch tasks
    # Guards against tasks that wait while less urgent ones hold the memory of servers
    # with idle cores, and against stopping more of them than needed.
    Given 2 servers with preemption, full of batch tasks that save progress
    When <kind> task of 13 cores and <memory> GB waits for <before> ms
    Then no batch task is stopped
    When <after> ms pass
    Then <stops> batch tasks are stopped, on one server
    When the stopped tasks end
    Then the waiting task starts on that server
    And no task has failed

    Examples:
      | kind           | memory | before | after | stops |
      | a long-running | 26     | 400    | 300   | 2     |
      | an urgent      | 15     | 150    | 300   | 1     |

  Scenario Outline: runs that are left alone
    # Guards against stops by a deployment that has them switched off, of work that is
    # as urgent, that ends anyway, that is lost for less than it is worth, or of gangs.
    Given 2 servers <switch> preemption, full of <victims>
    When an urgent task of 13 cores and 15 GB waits for 1500 ms
    Then no batch task is stopped

    Examples:
      | switch  | victims                                    |
      | without | batch tasks that save progress             |
      | with    | tasks of the same priority                 |
      | with    | batch tasks that are 95 percent done       |
      | with    | batch tasks that are 70 percent done       |
      | with    | batch tasks in gangs                       |
      | with    | batch tasks that were preempted twice      |

  Scenario: runs of different cost
    # Guards against losing more work than needed.
    Given 2 servers with preemption, full of batch tasks that are 70 percent done
    And two of them on the last server are 10 percent done
    When a long-running task of 13 cores and 26 GB waits for 700 ms
    Then just these two are stopped

  Scenario: another task wants the room
    # Guards against other tasks that take the freed room before the one that it was
    # freed for, and against reserving it twice.
    Given 1 server with preemption, full of batch tasks that save progress
    When a long-running task of 13 cores and 26 GB waits for 700 ms
    And a batch job of 4 tasks arrives
    And the stopped tasks end while no start may be planned
    And 600 ms pass
    Then the waiting task starts on that server
    And no other task has started

  Scenario: several tasks wait
    # Guards against counting room that is being freed for two tasks.
    Given 2 servers with preemption, full of batch tasks that save progress
    When 3 long-running tasks of 5 cores and 26 GB wait for 900 ms
    Then 6 batch tasks are stopped
    When the stopped tasks end
    Then all 3 waiting tasks have started

  Scenario: room that is held for another task of the step
    # Guards against counting room that is held for one task as room for the next one,
    # which then stops too little, and again in each round.
    Given 1 server with preemption, full of batch tasks that save progress
    When 2 long-running tasks of 5 cores and 24 GB wait for 1500 ms
    Then 3 batch tasks are stopped
    When the stopped tasks end
    Then all 2 waiting tasks have started

  Scenario: the room of another task of the step becomes free first
    # Guards against stopping more for the task whose room was used, although the runs
    # that were stopped for the other one are about to end.
    Given 1 server with preemption, full of batch tasks that save progress
    When 2 long-running tasks of 5 cores and 24 GB wait for 900 ms
    And the tasks that were stopped last end
    And 400 ms pass
    Then 3 batch tasks are stopped
    When the stopped tasks end
    Then all 2 waiting tasks have started

  Scenario: held room that no longer fits
    # Guards against a task that stops more runs in each round, as the room for it
    # is gone, while the runs that it has stopped are about to end.
    Given 1 server with preemption, full of batch tasks that save progress
    When an urgent task of 13 cores and 15 GB waits for 400 ms
    And the server has 10 GB less from now on
    And 500 ms pass
    Then 1 batch task is stopped
    When the stopped tasks end
    Then a line preemption.abandoned tells that the room was used

  Scenario Outline: an unexpected error
    # Guards against an error in preemption that ends the decisions of the owner.
    Given 2 servers with preemption, full of batch tasks that save progress
    When <call> of the preemptor fails from now on
    And a batch task ends while an urgent task waits
    Then the urgent task starts
    And the error in preemption is noted

    Examples:
      | call    |
      | begin   |
      | preempt |

  Scenario Outline: a server with room is unusable for a moment
    # Guards against stopping runs although the task can start elsewhere at once.
    Given 1 server with preemption, full of batch tasks that save progress
    And an empty server that <state>
    When an urgent task of 13 cores and 15 GB waits for 400 ms
    Then no batch task is stopped

    Examples:
      | state                       |
      | has just refused a start    |
      | has many unanswered starts  |
      | was not polled yet          |

  Scenario: a start was refused
    # Guards against preemption right after a start that found its server full, as
    # other short tasks may end.
    Given 2 servers with preemption, full of batch tasks that save progress
    When an urgent task of 13 cores and 15 GB waits for 150 ms
    And the start of the waiting task is refused
    And 150 ms pass
    Then no batch task is stopped
    When 300 ms pass
    Then 1 batch task is stopped

  Scenario: searches without a result
    # Guards against searching again in each round for tasks that are worth less than
    # any run, and for those that only runs too costly could make room for.
    Given 100 servers with preemption, full of batch tasks that are 70 percent done
    When 300 urgent tasks in as many jobs wait for 3000 ms
    Then no batch task is stopped
    And a preempting round took at most 20 calls for each server on average

  Scenario: a stop is lost
    # Guards against waiting for ever for the end of a run that was never stopped.
    Given 1 server with preemption, full of batch tasks that save progress
    When an urgent task of 13 cores and 15 GB waits for 400 ms
    Then 1 batch task is stopped
    When 800 ms pass
    Then its stop was ordered again

  Scenario: the server is silent after the stop
    # Guards against room that is held on a lost server while others could make some.
    Given 2 servers with preemption, full of batch tasks that save progress
    When an urgent task of 13 cores and 15 GB waits for 400 ms
    And the server of the stopped task is silent for 2600 ms
    Then a line preemption.abandoned was written
    And a batch task on the other server is stopped

  Scenario Outline: the owner changes between a stop and the end
    # Guards against a preempted task that is lost, starts twice or begins anew.
    Given 1 server with preemption, full of batch tasks that save progress
    When an urgent task of 13 cores and 15 GB waits for 400 ms
    And the owner changes after the stop, which <stop>
    Then the preempted task <outcome>

    Examples:
      | stop           | outcome                                     |
      | was carried out | has one run, which resumes from its checkpoint |
      | was lost        | goes on with its first run                  |

  Scenario: a start is carried out late
    # Guards against two runs of a task whose first run appears after it was preempted.
    Given 1 server with preemption, full of batch tasks that save progress
    When an urgent task of 13 cores and 15 GB waits for 400 ms
    And the stopped tasks end
    And the server lists the stopped run again
    Then a stop of that run is ordered

  Scenario: thousands of servers
    # Guards against a round that evaluates all runs of a large fleet.
    Given 500 servers with preemption, full of batch tasks that save progress
    When 20 long-running tasks of 13 cores and 26 GB wait for 600 ms
    Then the preempting round took at most 60 calls for each server
