Feature: Outcomes of requests are true
  A caller acts on what it is told: a refused request is sent again.

  # Symptom: a reservation runs twice, the caller was told "not run".
  # Sequence: the backend server runs the request and its answer is lost; the
  # daemon refuses.
  # Cause: a lost answer was taken for a refusal.
  Scenario Outline: Only what certainly did not run is refused
    Given a dispatcher that holds 2 servers of 3 slots
    When a request that is not idempotent is sent while <fault>
    Then its outcome is "<outcome>" and it ran <count> times

    Examples:
      | fault                            | outcome | count |
      | every server is full             | Refused | 0     |
      | every server refuses connections | Refused | 0     |
      | every answer is lost             | Unknown | 1     |
      | every server is frozen           | Unknown | 1     |
      | every server mixes answers up    | Unknown | 1     |
      | the port of servers has a fault  | Unknown | 0     |
      | its deadline has passed          | Refused | 0     |

  # Symptom: an agent sees another tenant's report.
  # Sequence: a server answers with another request's id; or the answer to an
  # attempt that was given up arrives while a later one waits.
  # Cause: answers were matched by order instead of by id.
  Scenario: Late and foreign answers are dropped and counted
    Given a dispatcher that holds 2 servers of 3 slots
    When the first server mixes answers up and the second is in order
    And 40 idempotent requests are sent one after another
    Then each answered request has its own body
    And dropped answers are counted as "foreign_answers_total"
    When every server answers 100 ms after the deadline
    And 3 idempotent requests are sent one after another
    And the late answers have come
    Then no more requests were answered
    And dropped answers are counted as "late_answers_total"

  # Symptom: an overload makes itself worse: load doubles while answers fall.
  # Sequence: every server fails; each request is retried on each server.
  # Cause: retries limited by request instead of by a share of traffic.
  Scenario: A retry storm is bounded by the budget
    Given a dispatcher that holds 20 servers of 8 slots
    When every answer is lost from now on
    And 200 idempotent requests are sent one after another
    Then at most 25 more requests ran than were sent

  # Symptom: requests in progress are cut off by a planned stop.
  # Sequence: the daemon stops while requests wait for their answers.
  # Cause: the stop did not wait, or took new requests meanwhile.
  Scenario: A drain ends requests in progress and takes no new ones
    Given a dispatcher that holds 2 servers of 3 slots
    When 4 requests are in progress and the dispatcher drains
    And another request comes
    Then the requests in progress are answered and the other one is refused
    And the drain says that nothing is left

  # Symptom: a refused request bounces between full daemons.
  # Sequence: a forwards to b, b has no room and forwards to c.
  # Cause: hops were not bounded.
  Scenario: A forwarded request is served or refused where it arrives
    Given daemons "a, b, c" of which only "c" holds a server
    When a request is sent to "a" and "b" claims to have room
    Then "b" refused it and "c" never saw it
    And the next request of "a" is answered through "c"

  # Symptom: a caller that goes away frees a slot that is still in use.
  # Sequence: the caller closes its connection; its handler is cancelled.
  # Cause: the cancellation reached the call to the backend server.
  Scenario: A caller that goes away leaves its slot counted
    Given a dispatcher that holds 1 servers of 3 slots
    When 3 callers go away while their requests run
    Then no slot is free until the requests have ended
