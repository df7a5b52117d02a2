Feature: Admission control
  Under overload, a part of the requests is served in time and the rest is shed.

  # Guards against urgent requests being shed while less urgent ones are
  # served.
  Scenario: The least urgent requests are shed first
    Given an admission limit of 100 requests and a service of "qadri"
    When 200 requests of each urgency arrive, least urgent first
    Then 85 background, 10 normal and 5 urgent are admitted
    And 100 requests are admitted in total

  # Guards against background requests taking the last free slots of a service.
  Scenario: The last free slots are reserved for urgent requests
    Given an admission limit of 100 requests and a service of "qadri"
    When 40 urgent requests take 40 free slots one by one
    Then background requests are refused the last slots first

  # Guards against one member starving another.
  Scenario: A member that floods the daemon leaves the other its fair share
    Given an admission limit of 100 and services of "qadri" and "svatbena"
    When "qadri" sends urgent requests until one is refused
    Then "qadri" exceeds its fair share of 50
    And at least 5 requests of "svatbena" are admitted at once
    And at least 50 requests of "svatbena" are admitted after borrowed ones end

  # Guards against synchronized retries of refused callers.
  Scenario: The retry delay grows with the load and has jitter
    Given an admission limit of 10 requests and a service of "qadri"
    When 200 requests of mixed urgency arrive and none ends
    Then the last retry delays are longer than the first and differ

  # Guards against missed deadlines under CPU overload, and against a limit that
  # stays low afterwards.
  Scenario: The limit follows the CPU queueing delay and recovers
    Given an admission limit of 100 requests and a service of "qadri"
    When the CPU queueing delay is 100 ms for 5000 ms
    Then fewer than 20 requests are admitted
    When the CPU queueing delay is 0 ms for 20000 ms
    Then more than 90 requests are admitted

  # Guards against shedding because batch work raises the service latency while
  # slots are free.
  Scenario: A service that is slower than its target sheds nothing
    Given a dispatcher that holds 3 servers of 8 slots
    When its latency is 130 ms with a target of 50 ms
    Then 10 callers that each send 30 requests are all answered

  # Guards against a limit derived only from the slots of the daemon itself.
  Scenario: A daemon with few slots admits requests that its peers can serve
    Given daemons "a, b" that each hold a server of 8 slots
    When 12 background requests arrive at "a" at once
    Then 12 of the background requests are answered

  # Guards against reserved fractions of a slot that block a whole slot.
  Scenario: A single free slot is not reserved
    Given an admission limit of 100 and services of "qadri" and "svatbena"
    When "qadri" and "svatbena" alternately use the only slot of a service
    Then each of them was admitted 5 times
