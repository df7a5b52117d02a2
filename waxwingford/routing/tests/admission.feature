Feature: Admission of requests
  Under overload a part is answered in time, the rest is refused at once.

  # Symptom: urgent check-ins are refused while archive pages are served.
  # Sequence: load rises above the limit; whoever comes first is served.
  # Cause: one limit for all urgencies.
  Scenario: The least urgent requests are shed first
    Given admission of 100 requests for a service of member "qadri"
    When 1000 requests of mixed urgency come and none ends
    Then at most 70 background and 90 background or normal ones are admitted
    And 100 requests are admitted in all
    And an urgent request was shed only after all others were

  # Symptom: one member's flood locks the other member out.
  # Sequence: a member sends without end; its requests fill the daemon.
  # Cause: no shares by member.
  Scenario: A flood by one member leaves the other its share
    Given admission of 100 requests for services of "qadri" and "svatbena"
    When "qadri" keeps as many urgent requests in progress as it can
    Then "qadri" has more than its half of 50
    And "svatbena" gets 5 requests in at once
    And "svatbena" gets 50 requests in once borrowed ones have ended

  # Symptom: refused callers come back together and are refused again.
  # Sequence: all get the same time to come back, whatever the load.
  # Cause: a fixed time.
  Scenario: The time to come back grows with the load and differs
    Given admission of 10 requests for a service of member "qadri"
    When 200 requests of mixed urgency come and none ends
    Then the last times to come back are longer than the first and differ

  # Symptom: all requests miss their target though slots are free.
  # Sequence: batch work slows the servers; ever more requests wait for them.
  # Cause: the limit did not follow latency.
  Scenario: The limit follows latency down and comes back
    Given admission of 100 requests for a service of member "qadri"
    When answers take 3 times the target for 5000 ms
    Then the limit is below 40
    When answers are in time for 20000 ms
    Then the limit is above 90
