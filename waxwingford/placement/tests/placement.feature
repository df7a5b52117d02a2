Feature: Fair ordering, size estimation and quarantine

  # Guards against one team's many submissions starving the other teams.
  Scenario: Many tasks of one team do not starve another team
    Given a quota tracker with 100 pending tasks of team "archive" of "qadri"
    And 1 pending task of team "dispatcher" of "qadri" in the quota tracker
    And 1 pending task of team "dispatcher" of "svatbena" in the quota tracker
    When the quota tracker orders 3 tasks
    Then the ordered teams are "qadri/archive, svatbena/dispatcher, qadri/dispatcher"

  Scenario: A team may borrow unused quota
    Given a quota tracker with 100 pending tasks of team "archive" of "qadri"
    When the quota tracker orders 50 tasks
    Then 50 tasks are ordered

  Scenario: Running tasks are charged to their member until they end
    Given a quota tracker with 2 pending tasks of team "archive" of "qadri"
    And 2 pending tasks of team "dispatcher" of "svatbena" in the quota tracker
    And team "archive" of "qadri" is charged with 2 tasks
    When the quota tracker orders 2 tasks
    Then the ordered teams are "svatbena/dispatcher, svatbena/dispatcher"
    When team "archive" of "qadri" releases 2 tasks
    And the quota tracker orders 2 tasks
    Then the ordered teams are "qadri/archive, svatbena/dispatcher"

  Scenario: Running tasks are charged to their team within its member
    Given a quota tracker with 3 pending tasks of team "archive" of "qadri"
    And 3 pending tasks of team "dispatcher" of "qadri" in the quota tracker
    And team "dispatcher" of "qadri" is charged with 2 tasks
    When the quota tracker orders 3 tasks
    Then the ordered teams are "qadri/archive, qadri/archive, qadri/archive"

  # Guards against starvation of low-priority tasks within a team.
  Scenario: Waiting time outweighs priority within a team
    Given a task of priority 0 was added to the quota tracker at 0 s
    And a task of priority 50 was added to the quota tracker at 200 s
    And a task of priority 50 was added to the quota tracker at 400 s
    When the quota tracker orders 3 tasks
    Then the ordered priorities are "50, 0, 50"

  # Guards against missed deadlines when tasks are ordered by priority only.
  Scenario: A task with little slack is ordered first in its team
    Given a task of priority 90 was added to the quota tracker at 0 s
    And a task with 10 s of slack was added to the quota tracker at 1 s
    When the quota tracker orders 1 tasks
    Then the ordered priorities are "0"

  Scenario: A task that is removed and re-added is listed once
    Given a quota tracker with 1 pending task of team "archive" of "qadri"
    When all its tasks are removed and re-added
    And the quota tracker orders 5 tasks
    Then 1 tasks are ordered

  # Guards against unbounded growth of the heaps by stale entries below the top.
  Scenario: Repeated ordering and charging keeps the heaps bounded
    Given a quota tracker with 20 pending tasks of team "archive" of "qadri"
    When the quota tracker orders 10 tasks 200 times with charges between
    Then the quota tracker holds fewer than 100 heap entries

  # Guards against overcommitting a VM when declared sizes are too low.
  Scenario: Declared sizes are corrected upwards only
    Given tasks of "qadri" kind "rebuild" that used 6000 MB and 500 millicores
    Then a task of "qadri" kind "rebuild" that declares 2000 MB is allocated 6000 MB
    And a task of "qadri" kind "rebuild" that declares 9000 MB is allocated 9000 MB
    And a task of "svatbena" kind "rebuild" that declares 2000 MB is allocated 2000 MB
    And with capacities up to 4000 MB a task of "qadri" kind "rebuild" that declares 2000 MB is allocated 4000 MB

  Scenario: Run-time estimates converge from declared to measured values
    Given 1 task of "qadri" kind "rebuild" ran 4 times as long as declared
    Then a run time of 100 s is corrected to between 150 s and 170 s
    Given 60 tasks of "qadri" kind "rebuild" ran 4 times as long as declared
    Then a run time of 100 s is corrected to between 370 s and 400 s

  Scenario: Infeasible sizes are reported with the dimension that is too large
    Then a size of 9000 millicores, 1000 MB, 0 accelerators is infeasible as "processors_milli" exceeds 8000
    And a size of 8000 millicores, 4000 MB, 0 accelerators is infeasible as "memory_mb" exceeds 2000
    And a size of 4000 millicores, 4000 MB, 0 accelerators is feasible

  # Guards against stopping healthy tasks that fail on a faulty server.
  Scenario: A server on which all tasks fail is quarantined and the tasks are not stopped
    Given a job "m.good" that succeeded on "w9"
    When task "m.good/0" fails on "bad"
    And task "m.good/1" fails on "bad"
    And task "m.good/2" fails on "bad"
    Then server "bad" is in quarantine
    And no task is stopped

  # Guards against quarantining healthy servers that run a faulty job.
  Scenario: A task that fails on all servers is stopped and the servers are not quarantined
    When tasks 0 to 2 of job "m.bad" fail on each of "w1, w2, w3"
    Then no server is in quarantine
    And tasks "m.bad/0, m.bad/1, m.bad/2" are stopped

  Scenario: Failures on a server in quarantine do not count against a task
    Given a job "m.good" that succeeded on "w9"
    When tasks 0 to 2 of job "m.good" fail on each of "bad"
    And task "m.good/0" fails on "w1"
    And task "m.good/0" fails on "w2"
    Then no task is stopped

  Scenario: Quarantine is limited to a fraction of the servers
    Given a job "m.good" that succeeded on "w9"
    When tasks 0 to 2 of job "m.good" fail on each of "a, b, c, d" of 20 servers
    Then 2 servers are in quarantine

  # Guards against keeping the first quarantined servers instead of those with
  # the most failures.
  Scenario: At the quarantine limit the servers with the most failures are quarantined
    Given a job "m.good" that succeeded on "w9"
    When tasks 0 to 2 of job "m.good" fail on each of "a, b" of 20 servers
    And tasks 0 to 4 of job "m.good" fail on each of "c, d" of 20 servers
    Then servers "c, d" are in quarantine

  Scenario: Probation is delayed by failures and ends after successes
    Given a job "m.good" that succeeded on "w9"
    When tasks 0 to 2 of job "m.good" fail on each of "bad"
    Then server "bad" may get a probation task at 60 s but not at 59 s
    When task "m.good/7" fails on "bad" at 60 s
    Then server "bad" may get a probation task at 180 s but not at 179 s
    When task "m.good/8" succeeds on "bad"
    And task "m.good/9" succeeds on "bad"
    Then no server is in quarantine

  # Guards against failures of a discarded job counting against healthy servers.
  Scenario: Failures of a faulty job do not count against servers once it has ended
    When tasks 0 to 2 of job "m.bad" fail on each of "w1, w2, w3"
    And job "m.bad" is discarded from the quarantine
    And task "m.good/0" fails on "w1"
    Then no server is in quarantine
