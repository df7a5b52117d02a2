Feature: best-effort tasks beside serving tasks whose loads swing
  # Serving tasks report 0.22 to 0.37 of their target tail latency when idle and
  # use 0.21 to 0.63 of a server, in swings of 10 s.

  Scenario: best-effort tasks run where they don't interfere
    # Guards against placing tasks without regard to the pair of images, and
    # against attributing swings of a serving task's own load to interference.
    Given 6 servers, of which 3 serve "red" and 3 serve "blue", 4 tasks each
    And "apple" interferes with "red" by 2.5, "plum" interferes with "blue" by 2.5
    When 30 best-effort tasks of each are submitted, with 4 cores and 2 s, and 30 s pass
    Then serving tasks were over their targets for less than 3 percent of the time
    And all best-effort tasks are done

  Scenario: best-effort tasks use the troughs of a load swing only
    # Guards against a fixed limit: a server can run 2 cores of best-effort tasks
    # at the crest and 9 in the trough.
    Given 4 servers, of which 4 serve "red" and 0 serve "blue", 3 tasks each
    And "apple" interferes with "red" by 2.0, "plum" interferes with "blue" by 2.0
    When 60 best-effort tasks of each are submitted, with 3 cores and 2 s, and 20 s pass
    Then serving tasks were over their targets for less than 5 percent of the time
    And best-effort tasks of "apple" have used at least 6 cores on average

  Scenario: a successor speeds up tasks that the previous owner halted
    # Guards against assuming that an adopted run has full pace, so that it stays
    # halted until it is stopped as stalled.
    Given 1 servers, of which 1 serve "red" and 0 serve "blue", 4 tasks each
    And "apple" interferes with "red" by 3.0, "plum" interferes with "blue" by 3.0
    When 3 best-effort tasks of each are submitted, with 2 cores and 20 s, and 6 s pass
    And all best-effort tasks are halted and the owner is killed
    Then some best-effort task runs again within 4 s

  Scenario: tasks that were halted for serving tasks are sped up when these leave
    # Guards against setting paces only on servers with serving tasks.
    Given 1 servers, of which 1 serve "red" and 0 serve "blue", 1 tasks each
    And "apple" interferes with "red" by 3.0, "plum" interferes with "blue" by 3.0
    When 1 best-effort tasks of each are submitted, with 6 cores and 20 s, and 4 s pass
    And all best-effort tasks are halted and the serving jobs are cancelled
    Then all best-effort tasks run at full pace within 2 s

  Scenario: short urgent jobs are placed before long-running tasks
    # Guards against ordering tasks of equal priority by age only.
    Given 1 servers, of which 0 serve "red" and 0 serve "blue", 0 tasks each
    When 7 long-running tasks of 6 cores are submitted before an urgent job of 4 cores
    Then the urgent job starts at once

  Scenario: a best-effort task doesn't wait for crowded servers of another service
    # Guards against computing crowding over all services together.
    Given 1 servers, of which 1 serve "red" and 0 serve "blue", 0 tasks each
    And 3 servers of another service, with 30 of 32 cores in use
    And a task of 8 cores that serves "red", with which "apple" interferes by 2.0
    When a best-effort task of "apple" with 16 cores is submitted and 4 s pass
    Then it has started after at least 2 s

  Scenario: idle servers of another service don't make a crowded service admit a task
    # Guards against computing crowding over all services together.
    Given 1 servers, of which 1 serve "red" and 0 serve "blue", 0 tasks each
    And 3 servers of another service, with 0 of 32 cores in use
    And a task of 28 cores that serves "red", with which "apple" interferes by 2.0
    When a best-effort task of "apple" with 16 cores is submitted and 4 s pass
    Then it has not started

  Scenario Outline: a best-effort task finds the only server of its service
    # Guards against rotating candidates over the servers of all services: with 48
    # servers and two pending tasks, each task would always get the same half.
    Given 47 servers, of which 0 serve "red" and 0 serve "blue", 0 tasks each
    And they belong to another service, and 1 server of this one registers
    When a best-effort task that fits nowhere is submitted, and <later> ms later one that fits
    Then the task that fits has started within 1 s

    Examples:
      | later |
      | 1000  |
      | 1050  |
