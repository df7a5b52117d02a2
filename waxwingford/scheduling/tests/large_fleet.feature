Feature: the cost of a placement round grows with servers plus tasks, not their product

  # Guards against scanning all servers for each task, or all runs for each server:
  # on hundreds of servers the owner's heartbeats and polls would be late.

  Scenario Outline: a wide urgent step on an idle fleet
    Given an engine with <servers> servers of 32 cores
    When a job with a step of <tasks> urgent tasks is submitted
    Then <tasks> starts are planned
    And the round took at most 60 calls for each server and task

    Examples:
      | servers | tasks |
      | 30      | 160   |
      | 270     | 40    |
      | 270     | 160   |

  Scenario Outline: a wide best-effort step beside serving tasks
    # Guards against evaluating all open servers for each best-effort task.
    Given an engine with <servers> servers of 32 cores
    And a serving task runs on each server
    When a job with a step of <tasks> best-effort tasks is submitted
    Then the round took at most 100 calls for each server and task

    Examples:
      | servers | tasks |
      | 48      | 40    |
      | 48      | 160   |
      | 270     | 160   |

  Scenario: tasks that don't fit while servers have many runs
    Given an engine with 270 servers of 4 cores
    And each server runs 20 best-effort tasks
    When 40 jobs with a step of 160 urgent tasks are submitted
    And another placement round runs
    Then the round took at most 60 calls for each server and task

  Scenario: a wide best-effort job beside many small ones, with few starts at a time
    # Guards against an accepted job that an overloaded owner never starts, as
    # smaller jobs arrive all the time.
    Given an engine with 20 servers of 32 cores
    And each decision may start 4 tasks
    When a best-effort job of 80 tasks is submitted
    And for 8 s, a best-effort job of 8 tasks arrives with each decision
    Then a task of the wide job was started within 4 s
    And the backlog includes the later steps of jobs

  Scenario: urgent tasks on servers that are full of long-running tasks
    # Guards against new long-running tasks, once overdue, taking all resources
    # that become free from short urgent ones.
    Given an engine with 20 servers of 10 cores
    And long-running tasks use 9 cores of each server
    And a long-running job of 20 tasks of 1 core has been pending for 5 s beside short tasks
    When a job with a step of 20 urgent tasks is submitted
    And the short tasks end
    Then the urgent tasks are planned, and no long-running one

  Scenario Outline: many steps on a fleet of thousands of servers
    # Guards against evaluating all servers for each of many steps, which blocks the
    # owner for longer than its heartbeats last.
    Given an engine with <servers> servers of 64 cores that registered together
    When <jobs> jobs with a step of 14 long-running tasks are submitted
    Then all of these tasks are planned
    And the round took at most 900 calls for each of these tasks

    Examples:
      | servers | jobs |
      | 300     | 20   |
      | 1000    | 20   |
      | 3000    | 20   |
