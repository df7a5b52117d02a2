Feature: Admission of requests
  Under overload a part is answered in time, the rest is refused at once.

  # Symptom: urgent check-ins are refused while archive pages are served.
  # Sequence: load rises above the limit; whoever comes first is served.
  # Cause: one limit for all urgencies.
  Scenario: The least urgent requests are shed first
    Given admission of 100 requests for a service of member "qadri"
    When 200 requests of each urgency come, the least urgent first
    Then 85 background, 10 normal and 5 urgent ones are admitted
    And 100 requests are admitted in all

  # Symptom: as above, at a daemon whose backend servers are nearly full.
  # Sequence: few slots are left here and at peers; background requests come.
  # Cause: the last free slots went to whoever came first.
  Scenario: The last free slots are kept for urgent requests
    Given admission of 100 requests for a service of member "qadri"
    When 40 requests have taken all but a few of 40 free slots
    Then the last slots are refused to background requests first

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

  # Symptom: all requests miss their deadline though slots are free.
  # Sequence: more requests come than the daemon's processor can handle; each
  # waits longer than the one before.
  # Cause: the limit did not follow the wait for the processor.
  Scenario: The limit follows the wait for the processor down and comes back
    Given admission of 100 requests for a service of member "qadri"
    When requests wait 100 ms for the processor during 5000 ms
    Then fewer than 20 requests are let in
    When requests wait 0 ms for the processor during 20000 ms
    Then more than 90 requests are let in

  # Symptom: requests are refused at seven percent of slots in use.
  # Sequence: batch work beside the service makes it slower than its target;
  # the limit on requests in progress falls.
  # Cause: service time was taken for waiting time.
  Scenario: A service that is slower than its target sheds nothing
    Given a dispatcher that holds 3 servers of 8 slots
    When its servers take 130 ms for a target of 50 ms
    Then 10 callers who each send 30 requests are all answered

  # Symptom: a daemon that holds few servers refuses while peers are idle.
  # Sequence: its own slots are full; requests come that peers could take.
  # Cause: the limit was made from its own slots.
  Scenario: A daemon with few slots lets in what its peers can take
    Given daemons "a, b" that each hold a server of 8 slots
    When 12 background requests come to "a" at once
    Then 12 of them are answered

  # Symptom: the only free slot of a service is given to nobody.
  # Sequence: two members used the service lately; half a slot is kept for
  # each of them.
  # Cause: shares of less than a request were kept.
  Scenario: A single free slot is kept from nobody
    Given admission of 100 requests for services of "qadri" and "svatbena"
    When "qadri" and "svatbena" in turn use the single slot of one service
    Then each of them got in 5 times
