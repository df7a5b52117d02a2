Feature: what arrives during a takeover reaches the new owner

  Scenario: a configuration arrives during a takeover
    # Guards against an owner that goes on with the configuration before.
    Given a shard with 3 daemons and 4 servers
    When the owner is killed, and its successor waits for the registrations
    And a configuration moves the queue to another service
    And the registrations arrive
    And a job of 2 steps is submitted
    And 3 s pass
    Then the owner uses that configuration
    And nothing of the job was started
    And no invariant was violated

  Scenario: a job is submitted to a daemon that takes over
    # Guards against a job that is stored and never known to its owner.
    Given a shard with 3 daemons and 4 servers
    When the owner is killed, and its successor waits for the registrations
    And a job is submitted through that successor
    And the registrations arrive
    And 6 s pass
    Then every daemon reports the job as completed
    And no invariant was violated

  Scenario: a job is cancelled through a standby while its end is being stored
    # Guards against a phase that a standby has concluded from the store, and shows for
    # good, though the owner stores another one.
    Given a shard with 3 daemons and 4 servers
    When a job of one task is submitted
    And a standby without a link to the owner cancels it while its end is being stored
    Then that standby reports the job as cancelled
    When 5 s pass
    Then every daemon reports the job as completed
    And no invariant was violated

  Scenario: a job is cancelled through a daemon that takes over
    # Guards against a cancellation that is stored and never reaches the owner.
    Given a shard with 3 daemons and 4 servers
    When a long-running job is submitted
    And 1 s pass
    And the owner is killed, and its successor waits for the registrations
    And the job is cancelled through that successor
    And the registrations arrive
    And 3 s pass
    Then every daemon reports the job as cancelled
    And nothing of the job runs
    And no invariant was violated

  Scenario: a daemon takes over many running tasks
    # Guards against a takeover in one turn, in which the new owner answers nobody.
    Given a shard with 3 daemons and 4 servers
    When 40 jobs of 100 small tasks run
    And the owner is killed, and each turn of its successor is counted
    Then that successor knows 4000 runs, and no turn took more than 20000 calls

  Scenario: a server registers during a takeover
    # Guards against a server that gets no tasks before the next takeover.
    Given a shard with 3 daemons and 4 servers
    When the owner is killed, and its successor waits for the registrations
    And 2 servers are added
    And the registrations arrive
    And 1 s pass
    Then the owner polls all 6 servers

  Scenario: a daemon resigns during its takeover
    # Guards against a daemon that acts on servers after its resignation.
    Given a shard with 3 daemons and 4 servers
    When a long-running job is submitted
    And 1 s pass
    And the owner is killed, and its successor waits for the registrations
    And that successor resigns
    And the registrations arrive
    And 4 s pass
    Then another daemon than that successor owns the shard
    And that successor has polled no server
    And all 4 tasks of the job run
    And no invariant was violated

  Scenario: a queue is removed while its jobs are loaded
    # Guards against accepted jobs that never end, as their queue is removed.
    Given a shard with 3 daemons and 4 servers
    When a job of 2 steps is submitted
    And the owner is killed, and its successor waits for the registrations
    And a configuration removes the queue
    And the registrations arrive
    And 8 s pass
    Then every daemon reports the job as completed
    And no invariant was violated

  Scenario Outline: an evacuation changes during a takeover
    # Guards against starts in a failure domain that was evacuated meanwhile, and
    # against a domain that stays evacuated after it was taken back.
    Given a shard with 3 daemons and 4 servers
    When the owner is killed, and its successor waits for the registrations
    And the evacuation of all servers is <changes>
    And the registrations arrive
    And a job of 2 steps is submitted
    And 6 s pass
    Then <outcome>
    And no invariant was violated

    Examples:
      | changes                          | outcome                                 |
      | written                          | nothing of the job was started          |
      | written, deleted, written        | nothing of the job was started          |
      | written, deleted                 | every daemon reports the job as completed |
      | written, deleted, written, deleted | every daemon reports the job as completed |

  Scenario: successors that have read newer configurations are killed in a row
    # Guards against an owner that goes on with what a former one had read.
    Given a shard with 3 daemons and 4 servers
    When the owner is killed, and its successor waits for the registrations
    And that successor alone reads that the queue moves to another service
    And that successor is killed, and the next one waits for the registrations
    And a configuration moves the queue back
    And the registrations arrive
    And a job of 2 steps is submitted
    And 6 s pass
    Then the owner uses that configuration
    And every daemon reports the job as completed
    And no invariant was violated
