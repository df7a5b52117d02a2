Feature: tasks under which servers crash

  Scenario Outline: a lost run's line tells how long its server outlived the start
    # A task that crashes its server can't be told from one that was lost with it.
    Given an engine with 2 servers of 8 cores
    And a job of 1 task that has run for <span_ms> ms
    When the server of the task crashes
    Then the line about the lost run tells that the server outlived its start by <told>

    Examples:
      | span_ms | told             |
      | 0       | 0 ms             |
      | 1500    | at least 1000 ms |

  Scenario: a task under which two servers crash is given up
    # Guards against a task that is started again and again while servers crash under it.
    Given an engine with 4 servers of 8 cores
    When a job of 1 task is submitted
    And the server of the task crashes 1 time, each time at once
    Then its caller is told running
    When the server of the task crashes 1 time, each time at once
    Then its caller is told failed

  Scenario: the next owner counts on
    # Guards against crashes that are forgotten when the owner changes.
    Given an engine with 4 servers of 8 cores
    When a job of 1 task is submitted
    And the server of the task crashes 1 time, each time at once
    And the owner changes
    And all servers answer a look
    And the server of the task crashes 1 time, each time at once
    Then its caller is told failed

  Scenario: the owner changes between a start and the proof of the crash
    # Guards against a crash that no owner counts, as the start was another one's.
    Given an engine with 4 servers of 8 cores
    When a job of 1 task is submitted
    And the server of the task crashes 1 time, each time at once
    And the owner changes
    And the server of the task crashes 1 time, each time at once
    Then its caller is told failed

  Scenario: servers crash under a task that they have long outlived
    # Guards against giving up a sound task that was lost with its servers.
    Given an engine with 4 servers of 8 cores
    When a job of 1 task is submitted
    And the server of the task crashes 5 times, each time after 1000 ms
    Then its caller is told running
    And its task has 6 runs

  Scenario: a server outlives a task that is suspected
    # Guards against crashes that add up over hours to a task that is given up.
    Given an engine with 4 servers of 8 cores
    When a job of 1 task is submitted
    And the server of the task crashes 1 time, each time at once
    And the server of the task crashes 1 time, each time after 1000 ms
    And the server of the task crashes 1 time, each time at once
    Then its caller is told running

  Scenario: the next owner knows what a server has outlived
    # Guards against suspecting all that runs on a server that is lost with the owner.
    Given an engine with 4 servers of 8 cores
    When a job of 1 task is submitted
    And 1 s pass in the engine
    And the owner changes
    And the server of the task crashes 1 time, each time at once
    And the owner changes
    And the server of the task crashes 1 time, each time at once
    Then its caller is told running

  Scenario: silent servers are not known to have crashed
    # Guards against giving up a sound task whose servers were cut off twice.
    Given an engine with 6 servers of 8 cores
    When a job of 1 task is submitted
    And the server of the task is silent until its lease is over 3 times
    Then its caller is told running
    When the server of the task is silent until its lease is over 1 time
    Then its caller is told failed

  Scenario: a crash that two tasks may have caused gives neither up
    # Guards against giving up a sound task that its owner had cleared as it died.
    Given an engine with 4 servers of 8 cores
    When a job of 1 task is submitted
    And the server of the task crashes 1 time, each time at once
    And a task of another job starts beside it, and the owner changes
    And the server of the task crashes 1 time, each time at once
    Then its caller is told running

  Scenario: a start that the next incarnation refuses has crashed nothing
    # Guards against suspecting tasks that never began on the server that crashed.
    Given an engine with 4 servers of 8 cores
    When a job of 1 task is submitted whose start another incarnation refuses, 3 times
    Then its caller is told running

  Scenario: tasks that were started together are tried apart
    # Guards against a sound task that fails as it is always beside one that crashes servers.
    Given an engine with 4 servers of 8 cores
    When a job of 6 tasks of 1 core is submitted that all start on one server
    And that server crashes
    Then no two of them start on one server before it has outlived the first
    And all 6 of them run after 8 s

  Scenario: nothing else starts beside a suspect
    # Guards against sound tasks that become suspects as they start beside one.
    Given an engine with 1 servers of 8 cores
    When a job of 1 task is submitted
    And the server of the task crashes 1 time, each time at once
    And a second job of 2 tasks of 1 core is submitted
    Then 0 tasks of the second job are planned
    When 1 s pass in the engine
    Then 2 tasks of the second job are planned

  Scenario: a server on which short tasks start all the time takes a suspect
    # Guards against a suspect that waits for ever where short tasks start all the time.
    Given an engine with 1 servers of 8 cores
    And a job of 1 task whose server has crashed, and short tasks on another one
    When 3 s pass in the engine, in which a short task comes each 100 ms
    Then its task runs

  Scenario: most servers fall silent at once
    # Guards against suspecting tasks of what the way to their servers, or the owner, did.
    Given an engine with 4 servers of 8 cores
    When a job of 1 task is submitted
    And all servers are silent until their leases are over, 1 times
    Then its task is not suspected of a crash
    When all servers are silent until their leases are over, 4 times
    Then its caller is told running

  Scenario Outline: connections tell when a server crashed
    # Guards against suspecting all that was started since the last answer of a server.
    Given an engine with 4 servers of 8 cores
    When a job of 1 task is submitted
    And its connections break <span_ms> ms after the start, and its server turns out to have crashed
    Then its task is <known> of a crash

    Examples:
      | span_ms | known         |
      | 20      | suspected     |
      | 400     | not suspected |

  Scenario: a suspect fails before its server has outlived it
    # Guards against a server that stays reserved for a task that is no suspect any more.
    Given an engine with 1 servers of 8 cores
    When a job of 1 task is submitted
    And the server of the task crashes 1 time, each time at once
    And the server lists the run as failed
    Then its task has 3 runs
