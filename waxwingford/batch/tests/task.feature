Feature: The batch task on real asyncio
  The task owns the controller and carries its effects out through the ports.

  Scenario: A job is submitted, runs and finishes
    Given two batch tasks over one log and two backend servers
    When a job of 3 tasks is submitted to the first
    Then the answer is "JobAcceptedOutcome"
    And the job is finished with 3 tasks done at both

  Scenario: A submission during an outage is refused at once
    Given two batch tasks over one log and two backend servers
    When the log goes out of service
    And both have noticed it
    And a job of 1 task is submitted to the first
    Then the answer is "JobRefused"
    And both still hold their servers

  Scenario: A drained daemon hands its servers over and nothing is evicted
    Given two batch tasks over one log and two backend servers
    When a job of 4 long tasks is submitted to the first
    And all 4 tasks run
    And the first is drained
    Then the second holds both servers
    And no task was started twice

  Scenario: A member sees only its own jobs, and why a task waits
    Given two batch tasks over one log and two backend servers
    When a job of 40 long tasks is submitted to the first
    And all 12 tasks run
    Then the member sees the job with tasks that wait for room
    And another member does not see it
    And another member cannot cancel it

  Scenario: A job larger than any server is told so
    Given two batch tasks over one log and two backend servers
    When a job that needs 9 accelerators is submitted to the first
    Then the answer is "JobRejected"
    And the answer says "accelerators 9 of at most 1"

  Scenario: A VM whose records are no longer retained is not ready
    # Symptom prevented: a new VM takes jobs for new that are long accepted. The
    # stream's oldest records aged out and no snapshot covers them. Cause: a
    # fold that starts in the middle of the stream.
    Given a log whose first records are gone without a snapshot
    When a batch task starts over it
    Then it is not ready and says "no longer retained"
