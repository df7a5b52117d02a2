Feature: servers that fail or refuse all starts

  Scenario Outline: a gang on servers that fail all that they start
    # Guards against a gang that is given up while enough servers are sound.
    Given a shard with 4 daemons and 8 servers
    When the 3 servers that a gang would use fail all that they start
    And a gang of 3 tasks with 1 on each server is submitted
    And the owner is killed <kills> times, each time right after a failed run
    And 12 s pass
    Then every daemon reports the job as completed
    And its gang has failed in 1 run
    And no invariant was violated

    Examples:
      | kills |
      | 0     |
      | 1     |

  Scenario Outline: jobs whose starts are refused
    # Guards against jobs that no daemon counts as waiting, or that some show as running.
    Given a shard with 5 daemons and 4 servers
    When all servers refuse starts
    And 3 jobs of 1 task are submitted
    And the owner is killed <kills> times, 3 s apart, while all daemons are asked
    Then each answer gave 3 jobs that wait, and showed them as queued
    When all servers accept starts
    And 12 s pass
    Then all jobs are completed
    And no invariant was violated

    Examples:
      | kills |
      | 0     |
      | 3     |
