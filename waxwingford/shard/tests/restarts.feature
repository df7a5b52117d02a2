Feature: servers restart under the id that they had

  Scenario: tasks end on servers that have restarted in place
    # Guards against skipping ends that a new incarnation numbers anew, so that
    # tasks that are done run again.
    Given a shard with 3 daemons and 4 servers
    When 8 jobs of 2 steps are submitted over 4 s
    And 4 s pass
    And all servers restart in place
    And 2 s pass
    And 8 jobs of 2 steps are submitted over 4 s
    And 6 s pass
    Then all jobs are completed
    And each task was started at most once
    And no invariant was violated

  Scenario: a job fails on servers that have restarted in place
    # Guards against skipping failed ends that a new incarnation numbers anew, so that
    # a task is started beyond its attempts.
    Given a shard with 3 daemons and 4 servers
    When 8 jobs of 2 steps are submitted over 4 s
    And 4 s pass
    And all servers restart in place
    And 2 s pass
    And all servers fail what they start
    And a job of 1 tasks of 1 s is submitted
    And 12 s pass
    Then every daemon reports the job as failed
    And its task was started 3 times
    And no invariant was violated

  Scenario Outline: the owner changes while servers restart in place
    # Guards against a successor that takes the runs or the counts of a former
    # incarnation for those of the one that answers.
    Given a shard with 4 daemons and 4 servers
    When 8 jobs of 2 steps are submitted over 4 s
    And 4 s pass
    And a job of 2 steps is submitted
    And <before> s pass
    And all servers restart in place, registered <late> s later
    And <after> s pass
    And the owner is killed
    And 8 jobs of 2 steps are submitted over 6 s
    And 14 s pass
    Then all jobs are completed
    And no invariant was violated

    Examples:
      | before | late | after |
      | 0.1    | 0    | 0     |
      | 0.1    | 1.5  | 0     |
      | 0.3    | 1.5  | 0.65  |
      | 0.3    | 3    | 0.75  |
      | 0.3    | 0    | 1     |

  Scenario: a server restarts in place and is registered late
    # Guards against returning to a former incarnation by an outdated registration.
    Given a shard with 3 daemons and 4 servers
    When a long-running job is submitted
    And 1 s pass
    And all servers restart in place, registered 3 s later
    And 2 s pass
    Then all 4 tasks of the job run
    And each task was started at most 2 times
    When 4 s pass
    Then all 4 tasks of the job run
    And each task was started at most 2 times
    And no invariant was violated

  Scenario: the time of day goes back while a server restarts in place
    # Guards against taking the greater start time for the newer incarnation.
    Given a shard with 3 daemons and 4 servers
    When a long-running job is submitted
    And 1 s pass
    And the time of day of all servers goes back by 3600 s
    And all servers restart in place, registered 3 s later
    And 2 s pass
    Then all 4 tasks of the job run
    And each task was started at most 2 times
    When 4 s pass
    Then all 4 tasks of the job run
    And each task was started at most 2 times
    And no invariant was violated

  Scenario: a server whose clock started anew falls silent
    # Guards against waiting for leases that end by the clock of a former incarnation.
    Given a shard with 3 daemons and 4 servers whose clocks are 3000 s ahead
    When a long-running job is submitted
    And 1 s pass
    And all servers restart in place
    And 3 s pass
    And a server with tasks is cut off
    And 10 s pass
    Then all 4 tasks of the job run on servers that are not cut off
    And no invariant was violated

  Scenario: a restart in place is known from the registration alone
    # Guards against waiting for leases of an incarnation that is known to be gone.
    Given a shard with 3 daemons and 4 servers
    When a long-running job is submitted
    And 1 s pass
    And a server with tasks restarts in place and is cut off
    And 3 s pass
    Then all 4 tasks of the job run on servers that are not cut off
    And no invariant was violated

  Scenario: a start in doubt arrives after a restart in place
    # Guards against settling a start that the next incarnation may still carry out.
    Given a shard with 3 daemons and 4 servers
    When orders are carried out 3 s late
    And a long-running job is submitted
    And 0.1 s pass
    And all servers restart in place
    And orders are carried out at once
    And 12 s pass
    Then all 4 tasks of the job run
    And no invariant was violated

  Scenario: a start with a lease by a former clock arrives after a restart in place
    # Guards against settling a run whose server falls silent before the lease ends that
    # its start has granted.
    Given a shard with 3 daemons and 4 servers whose clocks are 3000 s ahead
    When orders are carried out 0.9 s late
    And a long-running job is submitted
    And 0.1 s pass
    And server s0 restarts in place and is cut off
    And orders are carried out at once
    And 12 s pass
    Then all 4 tasks of the job run on servers that are not cut off
    And no invariant was violated

  Scenario: a start that was stopped arrives after a restart in place
    # Guards against forgetting the stop of a start that may still arrive: the next
    # incarnation knows no stop.
    Given a shard with 3 daemons and 4 servers
    When orders are carried out 6 s late
    And a long-running job is submitted
    And 0.3 s pass
    And orders are carried out at once
    And 3 s pass
    And all servers restart in place
    And 12 s pass
    Then all 4 tasks of the job run
    And no invariant was violated

  Scenario Outline: a task crashes servers that restart in place
    # Guards against restarting a crashing task without limit when its servers keep
    # their ids.
    Given a shard with 3 daemons and 6 servers
    When crashed servers restart in place after <down> s
    And a <kind> job is submitted whose first task crashes each server
    And 40 s pass
    Then no invariant was violated
    And every daemon reports the job as failed
    And the job has crashed at most 2 servers

    Examples:
      | kind         | down |
      | long-running | 0.3  |
      | long-running | 3    |
      | gang         | 0.7  |
      | repeated     | 0.7  |
      | best-effort  | 1.5  |

  Scenario Outline: random faults with servers that restart in place
    # Guards against running tasks twice, losing jobs, or starting tasks beyond their
    # attempts when servers restart under their ids beside other faults.
    When a shard whose servers restart in place is simulated for 60 s with seed <seed>
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
      | 10   |
      | 17   |
      | 71   |
      | 20   |

  Scenario Outline: random faults with servers that lose late orders when they restart
    # Guards against running tasks twice, losing jobs, or starting tasks beyond their
    # attempts when servers restart under their ids beside other faults.
    When a shard whose servers restart in place and lose late orders is simulated for 60 s with seed <seed>
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
      | 7    |
      | 8    |
      | 13   |
      | 23   |
