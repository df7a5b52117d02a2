Feature: changes of a server's capacity while tasks run

  Scenario: a server shrinks while starts are queued
    # Guards against sending a planned start for which the capacity no longer suffices.
    Given a shard with 3 daemons and 1 servers
    And no server enforces its capacity
    When each order to a server takes 2 s
    And a job of 8 tasks of 30 s is submitted
    And 0.1 s pass
    And all servers shrink to 2 cores
    And 12 s pass
    Then no invariant was violated

  Scenario: a server shrinks while the record of a start can't be stored
    # Guards against a start whose record is stored only after the capacity has shrunk.
    Given a shard with 3 daemons and 1 servers
    And no server enforces its capacity
    When the next 5 appends to the journal are dropped
    And a job of 8 tasks of 30 s is submitted
    And 0.5 s pass
    And all servers shrink to 2 cores
    And 12 s pass
    Then no invariant was violated

  Scenario: a server that has shrunk grows again
    # Guards against regained capacity that stays unused.
    Given a shard with 3 daemons and 1 servers
    And no server enforces its capacity
    When all servers shrink to 2 cores
    And 5 s pass
    And a job of 8 tasks of 30 s is submitted
    And 1 s pass
    Then 2 tasks of the job are running
    When all servers grow to 8 cores
    And 1 s pass
    Then 8 tasks of the job are running
    And no invariant was violated

  Scenario: tasks that are being stopped count towards the capacity
    # Guards against starts on capacity that stopping tasks still use.
    Given a shard with 3 daemons and 1 servers
    And no server enforces its capacity
    When a job of 8 tasks of 30 s is submitted
    And 1 s pass
    And the job is cancelled, and a job of 8 tasks of 30 s is submitted immediately
    And 2 s pass
    Then 8 tasks of the job are running
    And no invariant was violated
