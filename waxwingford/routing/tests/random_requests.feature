Feature: Random runs of the request path
  Dispatchers, fake servers and callers in virtual time, with random faults of
  servers, daemons and links.

  # Guards against double execution, false refusals, mismatched answers, more
  # calls than slots and dispatchers that do not recover.
  Scenario: Invariants hold under random faults
    When 150 random runs of the request path are executed
    Then the invariants hold in all of them
