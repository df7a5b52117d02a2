Feature: Shares, sizes and quarantine decide what the controller claims

  # Symptom: a team's tasks wait behind another team's wave.
  # Sequence: 40 tasks of one team are read before 4 of another; room for 4.
  # Cause: first come, first served.
  Scenario: A flood of one team leaves another its share
    Given a controller of 1 server with room for 4 tasks that reads its own claims
    When jobs of 40 tasks of team "archive" and 4 tasks of team "dispatcher" are read
    Then the claimed tasks of teams "archive, dispatcher" are "2, 2"

  Scenario: An idle share is borrowed and given back as tasks end
    Given a controller of 1 server with room for 4 tasks that reads its own claims
    When a job of 40 tasks of team "archive" is read by the trackers
    Then the claimed tasks of teams "archive, dispatcher" are "4, 0"
    When a job of 4 tasks of team "dispatcher" is read by the trackers
    And 2 claimed tasks of team "archive" end "done"
    Then the claimed tasks of teams "archive, dispatcher" are "2, 2"

  # Symptom: a task of low priority never starts. Cause: no ageing.
  Scenario: A task that waits long goes before newer ones of higher priority
    Given a controller of 1 server with room for 4 tasks that reads its own claims
    When a job of 4 tasks of team "archive" is read by the trackers
    And a job of 1 task "old" of priority 0 is read by the trackers
    And 7000 ms pass in the trackers
    And a job of 9 tasks "new" of priority 1 is read by the trackers
    And 1 claimed tasks of team "archive" end "done"
    Then the job "old" has 1 claimed tasks

  Scenario: The task with the least slack goes first within a team
    Given a controller of 1 server with room for 4 tasks that reads its own claims
    When a job of 4 tasks of team "archive" is read by the trackers
    And a job of 9 tasks "urgent" of priority 1 is read by the trackers
    And a job of 1 task "late" with 5 s of slack is read by the trackers
    And 1 claimed tasks of team "archive" end "done"
    Then the job "late" has 1 claimed tasks

  # Symptom: a VM runs out of memory. Cause: declarations are believed after
  # measurements showed that tasks of the kind use more.
  Scenario: A corrected size is used for the next placement
    Given a controller of 1 server with room for 4 tasks that reads its own claims
    When a job of 1 task "first" of priority 0 is read by the trackers
    And its task is measured to use twice its memory and ends
    And a job of 9 tasks "next" of priority 0 is read by the trackers
    Then the job "next" has 2 claimed tasks
    And a task of job "next" waits for "measured"

  # Symptom: a server that is always empty attracts task after task and fails
  # each. Cause: failures counted by task only.
  Scenario: A server that fails everything gets no more tasks, and none is ended
    Given a controller of 2 servers with room for 4 tasks that reads its own claims
    When a job of 1 task "good" of priority 0 is read by the trackers
    And its task ends "done" on "s1"
    And tasks of job "sound" fail 3 times on "s0"
    Then server "s0" is in quarantine for the trackers and no other
    And no task of job "sound" is claimed on "s0"
    And a task of job "sound" waits for "quarantine of s0"

  # Symptom: good servers are set aside one after another. Cause: a bad job's
  # failures counted by server only.
  Scenario: A task that fails everywhere is ended and no server is set aside
    Given a controller of 5 servers with room for 4 tasks that reads its own claims
    When a job of 1 task "bad" of priority 0 is read by the trackers
    And its task fails wherever it is claimed
    Then the job "bad" is over with 1 failed task
    And no server is in quarantine for the trackers
