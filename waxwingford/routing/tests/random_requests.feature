Feature: Random runs of the request path
  Several dispatchers, fake servers and impatient callers on virtual time, with
  frozen and refusing servers, lost answers, daemons killed, frozen and
  restarted, cuts between daemons, servers that change their holder or leave.

  # Symptom: a reservation runs twice, a refused one runs, an answer belongs to
  # another request, a server gets more calls than slots, or a dispatcher stays
  # stuck when all faults are over.
  # Sequence: any; the shortest one is printed.
  # Cause: a step of the recall protocol or of the slot counts that does not
  # hold when faults come together or twice.
  Scenario: Invariants hold under random faults
    When 150 random runs of the request path are made
    Then the accounts of the fake servers hold in all of them
