Feature: attempts of gangs

  Scenario: all members of a gang fail in the same run
    # Guards against giving a gang up after one failed run of three attempts.
    Given an engine with 4 servers of 8 cores
    And a gang of 3 tasks of 1 core that runs
    When the members of its run end as failed, failed, failed
    Then the job is reported as running
    And the gang has started 2 times

  Scenario: all members of a gang fail in each run
    # Guards against a gang that is started beyond its attempts.
    Given an engine with 4 servers of 8 cores
    And a gang of 3 tasks of 1 core that runs
    When the members of its run end as failed, failed, failed
    And the members of its run end as failed, failed, failed
    Then the job is reported as running
    When the members of its run end as failed, failed, failed
    Then the job is reported as failed
    And the gang has started 3 times
    And the log tells once that 3 failed runs of 3 attempts were counted

  Scenario: another member of a gang fails in each run
    # Guards against counting the failed runs of each member by themselves.
    Given an engine with 4 servers of 8 cores
    And a gang of 3 tasks of 1 core that runs
    When the members of its run end as failed, stopped, stopped
    And the members of its run end as stopped, failed, stopped
    And the members of its run end as lapsed, stopped, failed
    Then the job is reported as failed
    And the gang has started 3 times

  Scenario: members of a gang fail seconds apart
    # Guards against counting a run of a gang with each of its ends.
    Given an engine with 4 servers of 8 cores
    And a gang of 3 tasks of 1 core that runs
    When the members of its run end as failed, lapsed, failed, 3 s apart
    Then the job is reported as running
    And the gang has started 2 times

  Scenario: the owner changes between two ends of the same run
    # Guards against a successor that counts a run of a gang once more.
    Given an engine with 4 servers of 8 cores
    And a gang of 3 tasks of 1 core that runs
    When the members of its run end as failed, failed, failed, with a new owner after each
    And the members of its run end as failed, failed, failed, with a new owner after each
    Then the job is reported as running
    And the gang has started 3 times
    When the members of its run end as failed, failed, failed, with a new owner after each
    Then the job is reported as failed

  Scenario: a member fails in a run that was given up
    # Guards against counting a run of a gang once more when its end is listed late.
    Given an engine with 4 servers of 8 cores
    And a gang of 3 tasks of 1 core with 1 on each server that runs
    When a member of its run fails, and the server of another is silent until its lease expires
    Then the gang has started 2 times
    When that server lists its member of the former run as failed
    And the members of its run end as failed, failed, failed
    Then the job is reported as running
    And the gang has started 3 times

  Scenario: the failures of a gang in a row of an older version
    # Guards against a gang whose failed runs are forgotten by an update.
    Given an engine with 4 servers of 8 cores
    And a gang of 3 tasks of 1 core that runs
    When an older version has stored 2 failures of each member
    And the members of its run end as failed, failed, failed
    Then the job is reported as failed

  Scenario: members of a gang fail on the same server in one run
    # Guards against excluding a server for a single failed run.
    Given an engine with 1 servers of 8 cores
    And a gang of 3 tasks of 1 core that runs
    When the members of its run end as failed, failed, failed
    Then no server is excluded
    And the gang has started 2 times

  Scenario: members of a gang fail on the same server in several runs
    # Guards against a server that fails all that it starts and stays in use.
    Given an engine with 1 servers of 8 cores
    And a gang of 3 tasks of 1 core that runs
    And 4 attempts for each task
    When the members of its run end as failed, failed, failed
    And the members of its run end as failed, failed, failed
    And the members of its run end as failed, failed, failed
    Then each server is excluded

  Scenario: members of a gang fail on several servers in one run
    # Guards against passing over all but the first server of a failed run.
    Given an engine with 3 servers of 8 cores
    And a gang of 3 tasks of 1 core with 1 on each server that runs
    When the members of its run end as failed, failed, failed
    Then each server has a penalty

  Scenario Outline: servers for a gang that has failed
    # Guards against a gang that is given up on the same servers while others are idle.
    Given an engine with <servers> servers of 8 cores
    And a gang of 3 tasks of 1 core with 1 on each server that runs
    When the members of its run end as <ends>
    Then its second run is on <sound> servers where none of it has failed

    Examples:
      | servers | ends                    | sound |
      | 6       | failed, failed, failed  | 3     |
      | 5       | failed, failed, failed  | 2     |
      | 4       | failed, broken, broken  | 3     |
      | 4       | broken, failed, stopped | 3     |
      | 3       | failed, failed, failed  | 0     |

  Scenario: rack for a gang that has failed
    # Guards against a gang that is given up on one rack while another is idle.
    Given an engine with 2 servers of 8 cores
    And 3 servers on another rack
    And a gang of 2 tasks on one rack with 1 on each server that runs
    When the members of its run end as failed, broken
    Then its second run is on the other rack

  Scenario: servers for a gang after another one has failed
    # Guards against the servers that have just failed a gang being the first choice
    # for the next.
    Given an engine with 6 servers of 8 cores
    And a gang of 3 tasks of 1 core with 1 on each server that runs
    When the members of its run end as failed, failed, failed
    And the job is cancelled and its runs have ended
    And another gang of 3 tasks of 1 core is submitted
    Then it is on servers that have no penalty

  Scenario Outline: the owner changes after a failed run
    # Guards against a successor that starts what has failed on the same servers.
    Given an engine with 6 servers of 8 cores
    And <work> that runs
    When the members of its run end as <ends>, and the owner changes before its next run
    Then its second run is on <sound> servers where none of it has failed

    Examples:
      | work                                              | ends                   | sound |
      | a gang of 3 tasks of 1 core with 1 on each server | failed, failed, failed | 3     |
      | a job of 1 task                                   | failed                 | 1     |

  Scenario: a long-running task that fails again and again
    # Guards against rows that grow with each server on which such a task has failed.
    Given an engine with 6 servers of 8 cores
    And a running long-running job of 1 task
    When the members of its run end as failed
    And the members of its run end as failed
    And the owner changes
    Then the new owner avoids no server for it
