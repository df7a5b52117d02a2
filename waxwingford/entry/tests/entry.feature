Feature: HTTP entry
  Callers and operators speak HTTP to a daemon; nothing that they send can
  make it hold more than its bounds.

  Background:
    Given an entry on loopback with small bounds

  # Symptom: a caller cannot tell a refusal from an unknown outcome.
  # Sequence: the dispatcher gives up; the status says only that it failed.
  # Cause: outcomes were folded into one status.
  Scenario Outline: Each outcome has its status and headers
    When the dispatcher's outcome is <outcome> and a request comes
    Then the status is <status> and the outcome header is "<tag>"
    And the caller is told to come back after <retry>

    Examples:
      | outcome  | status | tag      | retry             |
      | answered | 200    | answered | nothing           |
      | refused  | 503    | refused  | 2 s and 1500 ms   |
      | unknown  | 504    | unknown  | 2 s and 1500 ms   |
      | rejected | 422    | rejected | nothing           |

  # Symptom: a caller's mistake runs with a default that it did not mean.
  # Sequence: a header is misspelt, doubled or out of range.
  # Cause: what could not be read was taken as not given.
  Scenario Outline: A wrong header is rejected by name
    When a request comes with the header "<name>" as "<text>"
    Then the status is 400 and the outcome header is "rejected"
    And the reason names "<name>"
    And the dispatcher got nothing

    Examples:
      | name                    | text      |
      | Waxwingford-Deadline-Ms | -5        |
      | Waxwingford-Urgency     | very      |
      | Waxwingford-Idempotent  | yes       |
      | Waxwingford-Attempt     | 0         |
      | Waxwingford-Age-Ms      | 1e3       |
      | Idempotency-Key         | a,b twice |

  # Symptom: a request is served to a member that may not use the service.
  # Sequence: a member names another member's service.
  # Cause: the service's members were not checked.
  Scenario: A service of another member is as if it did not exist
    When a request of member "qadri" comes for service "gifts"
    Then the status is 404 and the outcome header is "rejected"
    And the dispatcher got nothing

  # Symptom: the daemon is killed for its memory under load.
  # Sequence: callers send bodies without end.
  # Cause: bodies were read before their size was looked at.
  Scenario Outline: A body that is too large is rejected
    When a body of 3000 bytes comes <way>
    Then the status is 413 and the outcome header is "rejected"
    And the dispatcher got nothing

    Examples:
      | way           |
      | with a length |
      | in chunks     |

  Scenario: A body that is announced as too large is not waited for
    When a caller sends 10 of 3000 bytes and waits
    Then the answer begins with "HTTP/1.1 413"
    And the dispatcher got nothing

  # Symptom: as above, with bodies that are each within the bound.
  # Sequence: many callers send large bodies slowly.
  # Cause: bodies were bounded one by one, not together.
  Scenario: Bodies are bounded together
    When two slow bodies of 2000 bytes are under way
    And a body of 2000 bytes comes with a length
    Then the status is 503 and the outcome header is "refused"
    And a retry that is not idempotent is told "unknown" instead

  # Symptom: connections pile up; each waits for the rest of its body.
  # Sequence: a caller sends a part of its body and stops.
  # Cause: no bound on the time for a body.
  Scenario: A body that does not arrive ends its request
    When a caller sends 10 of 100 bytes and waits
    Then the answer begins with "HTTP/1.1 408"
    And the dispatcher got nothing

  # Symptom: half a reservation runs.
  # Sequence: the caller's connection breaks in the middle of the body.
  # Cause: the end of the connection was taken for the end of the body.
  Scenario: A body that was cut off never reaches the dispatcher
    When a caller sends 10 of 100 bytes and closes the connection
    Then the entry has no connection left
    And the dispatcher got nothing

  # Symptom: an agent sees a report that ends in the middle; or connections
  # and answers of callers that have gone pile up in the daemon.
  # Sequence: a caller asks for a large answer and does not read it.
  # Cause: no bound on the time for writing, or a quiet close after it.
  Scenario: An answer that is not read is visibly broken off
    When a caller asks for 9000000 bytes and does not read them
    Then the entry has no connection left
    And the caller finds its connection reset before the whole answer

  # Symptom: no operator can reach a daemon any more.
  # Sequence: connections are opened without end.
  # Cause: connections were not counted.
  Scenario: Connections are bounded
    When 4 connections are open of 4 allowed
    Then a further one is refused at once and closed
    And once one of them is closed a request is served again

  # Symptom: connections of callers that vanished stay for ever.
  # Sequence: a caller's machine dies; no packet says so.
  # Cause: idle connections were kept.
  Scenario: A connection without a request is closed
    When a connection is opened and nothing is sent
    Then the entry has no connection left

  # Symptom: a member reads or cancels a rival's job.
  # Sequence: it asks for the job by its id.
  # Cause: the id alone was looked up.
  Scenario Outline: Another member's job is as if it did not exist
    When "svatbena" asks for <what> of job "qadri.night"
    Then the answer is the same as for job "qadri.nothing"
    And the status is 404 and the outcome header is "rejected"
    And the job dispatcher was asked for no change

    Examples:
      | what         |
      | the state    |
      | cancellation |
      | eviction     |

  Scenario: Unsigned requests and jobs in another member's name are turned down
    When an unsigned job is submitted
    Then the status is 401 and the outcome header is "rejected"
    When "svatbena" submits a job of "qadri"
    Then the status is 422 and the outcome header is "rejected"
    When "svatbena" submits a job of "qadri" under the id "svatbena.night"
    Then the status is 422 and the outcome header is "rejected"
    When "svatbena" submits a job of "svatbena" under the id "qadri.night"
    Then the status is 422 and the outcome header is "rejected"
    And the job dispatcher was asked for no change
    When "qadri" submits a job of "qadri"
    Then the status is 202 and the outcome header is "accepted"
