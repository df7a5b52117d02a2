Feature: no job sets how long a turn of its owner takes

  Scenario Outline: a gang that fits nowhere
    # Guards against members that are looked at for each member, which blocks each owner.
    Given an engine with 6 servers of 32 cores
    When a gang of <members> members of 1 core is submitted
    Then each of 5 rounds takes at most 1500 calls
    And a job of a task of 1 core is started in the next round

    Examples:
      | members |
      | 500     |
      | 3000    |
      | 20000   |

  Scenario Outline: a job without a gang that fits nowhere
    # Guards against rounds that go over all waiting tasks or steps of a job, again after
    # each answer, and against sound jobs that are never reached behind it.
    Given an engine with 6 servers of 32 cores
    When a job of <steps> steps of <tasks> <kind> tasks that fit nowhere is submitted
    Then each of 20 rounds takes at most 50000 calls
    And 20 rounds after that take at most 10000 calls each in the mean
    And a job of a task of 1 core is started in the next round

    Examples:
      | steps | tasks | kind         |
      | 1     | 20000 | short        |
      | 1000  | 20    | short        |
      | 1000  | 20    | limited      |
      | 1     | 20000 | long-running |
      | 1000  | 20    | long-running |
      | 1     | 20000 | best-effort  |
      | 1000  | 20    | best-effort  |

  Scenario: room becomes free for a job behind thousands of steps that fit nowhere
    # Guards against a waiting step that isn't looked at again in time.
    Given an engine with 6 servers of 32 cores
    When long tasks fill the servers, and a task of 1 core waits
    And 10 jobs of 1000 steps that fit nowhere are submitted
    And a long task ends
    Then the task that waits is started within 1 s

  Scenario Outline: a job behind more full steps than a round looks at
    # Guards against rounds that end at the same steps again and again.
    Given an engine with 6 servers of 32 cores
    When <jobs> jobs of <steps> steps that fit nowhere are submitted
    Then a job of a task of 1 core is started in at most <rounds> rounds

    Examples:
      | jobs | steps | rounds |
      | 400  | 64    | 16     |
      | 5000 | 5     | 16     |

  Scenario Outline: a job of which thousands of tasks become due at once
    # Guards against taking in all of them in one turn.
    Given an engine with 6 servers of 32 cores
    When a job of <times> repetitions of <tasks> tasks that fit nowhere is all due
    Then no decision makes more than 8000 tasks pending
    And all <all> tasks are pending after <decisions> decisions

    Examples:
      | times | tasks | all    | decisions |
      | 1     | 20000 | 20000  | 4         |
      | 100   | 1000  | 100000 | 20        |
      | 5000  | 20    | 100000 | 20        |

  Scenario: a repetition is done while many others wait
    # Guards against a look at all repetitions with each end of a task.
    Given an engine with 6 servers of 32 cores
    When a job of 2000 repetitions of 2 dependent tasks of 1 core is all due
    And 100 rounds pass
    And a task ends
    Then the decision after it takes at most 50000 calls

  Scenario Outline: a gang that fits, and ends
    # Guards against the square of its members as they are planned, settled or stopped.
    Given an engine with 6 servers of 32 cores
    When a gang of <members> members of 0 cores is submitted
    Then all of its members are started at once after <rounds> rounds of at most 200000 calls
    When a third of its members ends as <kind>
    Then that took at most 250 calls for each

    Examples:
      | members | rounds | kind   |
      | 300     | 1      | broken |
      | 3000    | 6      | broken |
      | 3000    | 6      | failed |
      | 3000    | 6      | done   |
      | 9000    | 18     | broken |

  Scenario Outline: something changes while the members of a wide gang are planned
    # Guards against a gang that is started in part, or never again, and against runs
    # that a new owner takes for begun.
    Given an engine with 6 servers of 32 cores
    When a gang of 3000 members of 0 cores is submitted
    And 3 rounds pass
    And <event>
    Then no member was started
    When 8000 ms go by
    Then <outcome>

    Examples:
      | event                         | outcome                          |
      | nothing else happens          | all members are started once     |
      | the first server drains             | all members are started once     |
      | the first server crashes            | all members are started once     |
      | another owner follows          | all members are started once     |
      | other tasks fill the servers  | all members are started once     |
      | the gang is cancelled         | no member was started            |

  Scenario: the servers of a wide gang crash
    # Guards against the square of its members as each of them is suspected.
    Given an engine with 6 servers of 32 cores
    When a gang of 3000 members of 0 cores is submitted
    And a server crashes right after the start of its members
    Then that took at most 400 calls for each of its 3000 members

  Scenario: a server drains that runs many tasks of a limited step
    # Guards against a look at all tasks of the step for each of them, in one turn.
    Given an engine with 6 servers of 32 cores
    When a long-running step of 3000 tasks runs, of which 5 may be unavailable
    And the first server drains
    Then the next 5 decisions take at most 150000 calls each
    And at most 5 of its runs are stopped at first
