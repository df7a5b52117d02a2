Feature: Effect of shares, sizes and quarantine on claims

  # Guards against serving teams in order of arrival.
  Scenario: Many tasks of one team leave another team its share
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

  # Guards against starvation of tasks of low priority.
  Scenario: A task that is pending long precedes newer ones of higher priority
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

  # Guards against over-committing memory by declared sizes that measurements
  # have disproved.
  Scenario: A corrected size is used for the next placement
    Given a controller of 1 server with room for 4 tasks that reads its own claims
    When a job of 1 task "first" of priority 0 is read by the trackers
    And its task is measured to use twice its memory and ends
    And a job of 9 tasks "next" of priority 0 is read by the trackers
    Then the job "next" has 2 claimed tasks
    And a task of job "next" is pending because of "measured"

  # Guards against a failing server that is always empty and attracts every task.
  Scenario: A server that fails every task is quarantined and no task is ended
    Given a controller of 2 servers with room for 4 tasks that reads its own claims
    When a job of 1 task "good" of priority 0 is read by the trackers
    And its task ends "done" on "s1"
    And tasks of job "sound" fail 3 times on "s0"
    Then server "s0" is in quarantine for the trackers and no other
    And no task of job "sound" is claimed on "s0"
    And a task of job "sound" is pending because of "quarantine of s0"

  # Guards against quarantining good servers for the failures of a bad job.
  Scenario: A task that fails everywhere is ended and no server is quarantined
    Given a controller of 5 servers with room for 4 tasks that reads its own claims
    When a job of 1 task "bad" of priority 0 is read by the trackers
    And its task fails wherever it is claimed
    Then the job "bad" is over with 1 failed task
    And no server is in quarantine for the trackers
