Feature: an unexpected error ends only the work in which it occurs

  Scenario Outline: calls to one server raise an error
    # Guards against one registration or server that ends each owner in turn.
    Given a shard with 3 daemons and 4 servers
    When <calls> to a server raise <error>
    And a job of 2 steps is submitted
    And 30 s pass
    Then every daemon reports the job as completed
    And the owner has not changed
    And unexpected errors are counted at "call"
    And no invariant was violated

    Examples:
      | calls      | error          |
      | polls      | UnicodeError   |
      | polls      | RecursionError |
      | starts     | UnicodeError   |
      | starts     | OverflowError  |

  Scenario: a server gives answers that can't be applied
    # Guards against an answer that ends each owner in turn.
    Given a shard with 3 daemons and 4 servers
    When the polls of a server return a text as its clock
    And a job of 2 steps is submitted
    And 30 s pass
    Then every daemon reports the job as completed
    And the owner has not changed
    And unexpected errors are counted at "poll"
    And no invariant was violated

  Scenario Outline: a part of the owner fails a few times
    # Guards against an owner that ends with one of its tasks.
    Given a shard with 3 daemons and 4 servers
    When the next 3 rounds of <part> raise an error
    And a job of 2 steps is submitted
    And 12 s pass
    Then every daemon reports the job as completed
    And the owner has not changed
    And unexpected errors are counted at "<part>"
    And no invariant was violated

    Examples:
      | part          |
      | decisions     |
      | commits       |
      | registrations |
      | heartbeats    |
      | intake        |

  Scenario: a part of the owner goes on failing
    # Guards against an owner that sends heartbeats and places nothing.
    Given a shard with 3 daemons and 4 servers
    When all rounds of decisions of the owner raise an error
    And a job of 2 steps is submitted
    And 20 s pass
    Then every daemon reports the job as completed
    And the owner has changed
    And no invariant was violated

  Scenario: tasks of one job can't be placed
    # Guards against a job that keeps all others from being placed.
    Given a shard with 3 daemons and 4 servers
    When placing the next job raises an error
    And a job of 2 steps is submitted
    And a job of 2 steps is submitted
    And 12 s pass
    Then every daemon reports the job as completed
    And the failing job has no runs
    And the owner has not changed
    And no invariant was violated

  Scenario: any answers of a server
    # Guards against figures that only later decisions fail at.
    Then an owner runs a sound job beside a server that gives any answers
