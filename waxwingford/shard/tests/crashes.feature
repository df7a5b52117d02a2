Feature: tasks that crash each server that starts them, in a shard

  Scenario: a task crashes each server that starts it
    # Guards against a task that is started again and again while servers crash under it.
    Given a shard with 3 daemons and 6 servers
    When a job of 3 tasks is submitted, of which the first crashes each server
    And 30 s pass
    Then nothing was breached
    And the job is shown as failed by every daemon
    And at most 2 servers have crashed under it

  Scenario: a task crashes servers while owners follow each other
    # Guards against an owner that forgets the crashes that its predecessor has seen.
    Given a shard with 4 daemons and 6 servers
    When a job of 3 tasks is submitted, of which the first crashes each server
    And 40 s pass, in which the owner is killed after each crash
    Then nothing was breached
    And the job is shown as failed by every daemon
    And at most 3 servers have crashed under it

  Scenario: servers crash by themselves again and again
    # Guards against giving up sound tasks that were lost with their servers.
    Given a shard with 3 daemons and 6 servers
    When a lasting job is submitted
    And 8 times a server of the lasting job crashes by itself, 4 s apart
    And 12 s pass
    Then all 4 tasks of the job run
    And nothing was breached
  Scenario: sound tasks run beside one that crashes servers
    # Guards against sound jobs that are given up, or wait, for what another task does.
    Given a shard with 3 daemons and 3 servers
    When 12 jobs of 2 steps come over 6 s, and one whose first task crashes servers
    And 30 s pass
    Then the job is shown as failed by every daemon
    And all sound jobs are completed
    And at most 2 servers have crashed under it
    And nothing was breached

  Scenario Outline: many faults at once, crashing tasks and shrinking servers
    # Guards against sound jobs that fail, crashing tasks that are never given up, and
    # starts on servers that have become too small.
    When a shard with crashing tasks and shrinking servers is played for 60 s under seed <seed>
    Then all jobs are completed
    And all jobs with a crashing task have failed
    And nothing was breached

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 37   |

  Scenario: a server that has outlived a suspect is looked at as seldom as others
    # Guards against looks each tenth of a second for as long as nothing else is placed.
    Given a shard with 3 daemons and 3 servers
    When a job of 1 tasks of 30 s is submitted
    And 0.1 s pass
    And the server of the job crashes by itself
    And 8 s pass
    Then the server of the job is looked at at most 8 times in 5 s

  Scenario Outline: a task of a job of another kind crashes its servers
    # Guards against kinds of jobs whose lost runs are counted in no row.
    Given a shard with 3 daemons and 6 servers
    When a <kind> job is submitted, of which the first task crashes each server
    And 40 s pass
    Then nothing was breached
    And the job is shown as failed by every daemon
    And at most 2 servers have crashed under it

    Examples:
      | kind     |
      | gang     |
      | lasting  |
      | repeated |
      | filling  |
