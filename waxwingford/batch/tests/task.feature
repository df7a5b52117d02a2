Feature: The batch task on asyncio
  The task runs the controller and executes its effects through the ports.

  Scenario: A job is submitted, runs and finishes
    Given two batch tasks over one log and two backend servers
    When a job of 3 tasks is submitted to the first
    Then the answer is "JobAcceptedOutcome"
    And the job is finished with 3 tasks done at both

  Scenario: A submission during an outage is refused at once
    Given two batch tasks over one log and two backend servers
    When the platform log becomes unavailable
    And both batch tasks have noticed it
    And a job of 1 task is submitted to the first
    Then the answer is "JobRefused"
    And both batch tasks still hold their servers

  Scenario: A drained daemon hands its servers over without evictions
    Given two batch tasks over one log and two backend servers
    When a job of 4 long tasks is submitted to the first
    And all 4 tasks run
    And the first batch task is drained
    Then the second batch task holds both servers
    And no task was started twice

  Scenario: A member sees only its own jobs, and why a task is pending
    Given two batch tasks over one log and two backend servers
    When a job of 40 long tasks is submitted to the first
    And all 12 tasks run
    Then the member sees the job with tasks pending for lack of room
    And another member does not see it
    And another member cannot cancel it

  Scenario: A job larger than any server is rejected with the reason
    Given two batch tasks over one log and two backend servers
    When a job that needs 9 accelerators is submitted to the first
    Then the answer is "JobRejected"
    And the answer says "accelerators 9 of at most 1"

  Scenario: A VM whose records are no longer retained is not ready
    # Guards against accepting duplicate jobs on a state that was replayed from
    # the middle of the stream.
    Given a log whose first records were truncated without a snapshot
    When a batch task starts with that log
    Then it is not ready and says "no longer retained"
