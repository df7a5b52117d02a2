Feature: rows of wide steps fit into records

  Scenario Outline: steps around the tasks of a row
    # Guards against a row that grows with the width of its step.
    When a step of <tasks> tasks with the longest state is stored
    Then it takes <rows> rows of at most 262000 bytes
    And a new owner reads the same state

    Examples:
      | tasks | rows |
      | 1     | 1    |
      | 31    | 1    |
      | 32    | 1    |
      | 33    | 2    |
      | 64    | 2    |
      | 65    | 3    |

  Scenario: any states of tasks
    # Guards against state that is lost between rows, or rows that no record holds.
    Then any states of a wide step are read back by a new owner

  Scenario Outline: checkpoints around the longest one
    # Guards against a row that one server makes too long for the store.
    Given an engine with 1 servers of 8 cores that each run a task
    When the task's server lists a checkpoint of <first> bytes, then of <size> bytes
    And the task ends as stopped and starts again
    Then it resumes from the checkpoint of <kept> bytes

    Examples:
      | first | size  | kept |
      | 10    | 4095  | 4095 |
      | 10    | 4096  | 4096 |
      | 10    | 4097  | 10   |
      | 10    | 90000 | 10   |

  Scenario: one task of a wide step changes
    # Guards against an append of the whole step with each of its tasks.
    Given an engine with 20 servers of 32 cores
    When a job with a step of 600 urgent tasks is submitted
    And one of its tasks ends
    Then 1 rows were stored for that

  Scenario: a step of thousands of tasks
    # Guards against a shard that stands still as a row of the step isn't stored.
    Given an engine with 200 servers of 32 cores that registered together
    When a job with a step of 6000 urgent tasks is submitted
    Then 6000 starts are planned
    And its rows have at most 262000 bytes

  Scenario: a job with wide steps has ended
    # Guards against rows that stay in the store.
    Given an engine with 20 servers of 32 cores
    When a job with a step of 100 urgent tasks is submitted
    And all of its tasks end
    Then the store has only the end of the job

  Scenario: the row of an earlier version holds all tasks
    # Guards against tasks that run twice after an update of the daemons.
    Given an engine with 20 servers of 32 cores
    When a job with a step of 100 urgent tasks is submitted
    And its rows are replaced by one row of an earlier version
    And a new owner takes over
    Then it knows the same runs
    When its first batch is stored but for the first row
    And a new owner takes over
    Then it knows the same runs
    When its first batch is stored
    And a new owner takes over
    Then it knows the same runs
    And 4 rows of the step are stored
