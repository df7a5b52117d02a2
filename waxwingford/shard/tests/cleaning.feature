Feature: what is stored of ended jobs is deleted, and no job runs again for it

  Scenario: a job has ended
    # Guards against rows of ended jobs that are kept for good.
    Given a shard with 3 daemons and 4 servers
    When a job of 2 steps is submitted
    And 130 s pass
    Then the intake has no rows
    And every daemon reports the job as completed
    When 470 s pass
    Then every daemon reports the job as completed
    When 120 s pass
    Then the journal has only the row of the owner
    And the owner no longer knows the job
    And the owner remembers no ended job
    And each task was started at most once

  Scenario Outline: the row of a job is stored once more
    # Guards against a job that runs again, as its end was deleted before its row.
    Given a shard with 3 daemons and 4 servers
    When a job of 2 steps is submitted
    And <after_s> s pass
    And its row is stored once more, bypassing the owner
    And <then_s> s pass
    And the owner is killed
    And 100 s pass
    And the owner is killed
    And 750 s pass
    Then each task was started at most once
    And the intake has no rows
    And the journal has only the row of the owner

    Examples:
      | after_s | then_s |
      | 5       | 1      |
      | 65      | 1      |
      | 65      | 590    |
      | 300     | 330    |

  Scenario: an owner ends after it has stored the end of a job
    # Guards against rows of steps that no owner deletes.
    Given a shard with 3 daemons and 4 servers
    When a job of 2 steps is submitted
    And 5 s pass
    And the rows of its steps are stored once more
    And the owner is killed
    And 5 s pass
    Then the journal has only the row of the owner and ends of jobs
    And every daemon reports the job as completed
    And each task was started at most once

  Scenario: cancellations whose jobs never came
    # Guards against cancellations that are kept for good.
    Given a shard with 3 daemons and 4 servers
    When 120 cancellations are stored in the intake
    And 670 s pass
    Then the intake has no rows

  Scenario: a job that comes after its cancellation
    # Guards against a cancellation that is deleted before its job comes.
    Given a shard with 3 daemons and 4 servers
    When the next job is cancelled in the intake
    And 400 s pass
    And a job of 2 steps is submitted
    And 5 s pass
    Then every daemon reports the job as cancelled
    And no task was started

  Scenario: thousands of jobs have ended
    # Guards against a backlog that grows faster than it is deleted.
    Given a shard with 3 daemons and 4 servers
    When 2500 jobs that have ended are stored
    And the owner is killed
    And 100 s pass
    Then the intake has no rows
    When 640 s pass
    Then the journal has only the row of the owner

  Scenario: many jobs over time
    # Guards against rows whose number grows with time.
    Given a shard with 3 daemons and 4 servers
    When a job of 2 steps is submitted each 20 s for 2400 s
    Then the journal and the intake have at most 60 rows
    And the owner's copy of the intake has at most 10 rows
    And no invariant was violated

  Scenario Outline: owners are killed while rows are deleted
    # Guards against a job that runs again with any owner that follows.
    Given a shard with 3 daemons and 4 servers
    When for 500 s jobs are submitted, some again, and owners killed, with seed <seed>
    And 750 s pass
    Then all submitted jobs have run once
    And the intake has no rows
    And the journal has only the row of the owner
    And no invariant was violated

    Examples:
      | seed |
      | 1    |
      | 2    |
