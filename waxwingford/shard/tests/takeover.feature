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
