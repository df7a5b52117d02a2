Feature: servers whose capacity shrinks and grows while tasks run

  Scenario: a server shrinks while starts wait their turn
    # Guards against a start that was planned when there was room, and is sent when there is none.
    Given a shard with 3 daemons and 1 servers
    And no server guards its capacity
    When each order to a server takes 2 s
    And a job of 8 tasks of 30 s is submitted
    And 0.1 s pass
    And all servers shrink to 2 cores
    And 12 s pass
    Then nothing was breached

  Scenario: a server shrinks while the record of a start can't be stored
    # Guards against a start whose record is stored only when there is no room any more.
    Given a shard with 3 daemons and 1 servers
    And no server guards its capacity
    When the next 5 appends to the journal are not done
    And a job of 8 tasks of 30 s is submitted
    And 0.5 s pass
    And all servers shrink to 2 cores
    And 12 s pass
    Then nothing was breached

  Scenario: a server that has shrunk grows again
    # Guards against room that is not used again.
    Given a shard with 3 daemons and 1 servers
    And no server guards its capacity
    When all servers shrink to 2 cores
    And 5 s pass
    And a job of 8 tasks of 30 s is submitted
    And 1 s pass
    Then 2 tasks of the job run
    When all servers grow to 8 cores
    And 1 s pass
    Then 8 tasks of the job run
    And nothing was breached

  Scenario: what is being stopped still counts
    # Guards against starts in the room of tasks that are on their way out.
    Given a shard with 3 daemons and 1 servers
    And no server guards its capacity
    When a job of 8 tasks of 30 s is submitted
    And 1 s pass
    And the job is cancelled, and one of 8 tasks of 30 s submitted at once
    And 2 s pass
    Then 8 tasks of the job run
    And nothing was breached
