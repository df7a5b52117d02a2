Feature: the history of a job from log lines

  Scenario: clocks of two daemons disagree
    # Symptom: in the history a job is taken in before it was submitted, and its
    # second run is planned before the first has ended.
    # Sequence: the daemon that took the submission is 5 s ahead of the owner,
    # the second owner is 3 s behind the first.
    # Cause: ordering by calendar clocks alone.
    Given log lines of three daemons whose clocks disagree
    When the history of the job is made
    Then the events stand in the order
      | event           |
      | request.submit  |
      | shard.claimed   |
      | job.known       |
      | run.planned     |
      | server.silent   |
      | run.settled     |
      | shard.claimed   |
      | run.planned     |
    And nothing of another job stands in it

  Scenario: a line that is written after its effect
    # Symptom: the history of a job breaks off while it runs.
    # Sequence: the owner itself takes the submission; its line is written with
    # the answer, after the job was taken in.
    # Cause: an event that waits for one behind it in its own process, and with
    # it all that follow there, is left out.
    Given log lines of an owner that answers after it has taken the job in
    When the history of the job is made
    Then the events are, in this order
      | event          |
      | job.known      |
      | request.submit |
      | run.planned    |
      | run.settled    |

  Scenario: a submission is answered after its job has run for a while
    # Symptom: the history goes back in time: the end of a run stands behind the
    # change of owner two seconds later.
    # Sequence: the store is slow, and the line of the submission is written 900
    # ms after the owner has read the job.
    # Cause: holding the owner's events up until that line.
    Given log lines of a submission that took 900 ms, answered after a run
    When the history of the job is made
    Then the events are, in this order
      | event          |
      | job.known      |
      | run.planned    |
      | run.settled    |
      | request.submit |
