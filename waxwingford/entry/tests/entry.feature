Feature: HTTP interface of a daemon
  Requests of callers and operators are validated, and cannot use more memory
  or connections than the configured limits.

  Background:
    Given an HTTP interface on loopback with low limits

  # Guards against outcomes that a caller cannot tell apart, such as refused
  # and unknown.
  Scenario Outline: Each outcome has its status and headers
    When a request has the outcome <outcome>
    Then the status is <status> and the outcome header is "<tag>"
    And the retry delay in the response is <retry>

    Examples:
      | outcome  | status | tag      | retry           |
      | answered | 200    | answered | none            |
      | refused  | 503    | refused  | 2 s and 1500 ms |
      | unknown  | 504    | unknown  | 2 s and 1500 ms |
      | rejected | 422    | rejected | none            |

  # Guards against replacing an invalid header by its default.
  Scenario Outline: An invalid header is rejected by name
    When a request has the header "<name>" with the value "<text>"
    Then the status is 400 and the outcome header is "rejected"
    And the reason names "<name>"
    And the dispatcher received no request

    Examples:
      | name                    | text      |
      | Waxwingford-Deadline-Ms | -5        |
      | Waxwingford-Urgency     | very      |
      | Waxwingford-Idempotent  | yes       |
      | Waxwingford-Attempt     | 0         |
      | Waxwingford-Age-Ms      | 1e3       |
      | Waxwingford-Age-Ms      | 1000000000 |
      | Idempotency-Key         | a,b twice |

  # Guards against a reason that names a bound which the value keeps.
  Scenario: The reason for a number that is too long names the limit
    When a request has the header "Waxwingford-Deadline-Ms" with the value "1000000000"
    Then the status is 400 and the outcome header is "rejected"
    And the reason names "at most 9 digits"

  # Guards against serving a member that may not use the service.
  Scenario: A service of another member is not found
    When member "qadri" sends a request to service "gifts"
    Then the status is 404 and the outcome header is "rejected"
    And the dispatcher received no request

  # Guards against exhaustion of memory by bodies of unlimited size.
  Scenario Outline: A body over the size limit is rejected
    When a body of 3000 bytes is sent <way>
    Then the status is 413 and the outcome header is "rejected"
    And the dispatcher received no request

    Examples:
      | way                   |
      | with a Content-Length |
      | in chunks             |

  Scenario: A body with a Content-Length over the limit is rejected unread
    When a caller sends 10 of 3000 bytes and waits
    Then the response begins with "HTTP/1.1 413"
    And the dispatcher received no request

  # Guards against exhaustion of memory by many bodies within the size limit.
  Scenario: The total size of bodies in progress is limited
    When two bodies of 2000 bytes are in progress
    And a body of 2000 bytes is sent with a Content-Length
    Then the status is 503 and the outcome header is "refused"
    And a retry that is not idempotent has the outcome header "unknown"

  # Guards against connections that wait for the rest of a body without limit.
  Scenario: A stalled body times out
    When a caller sends 10 of 100 bytes and waits
    Then the response begins with "HTTP/1.1 408"
    And the dispatcher received no request

  # Guards against taking the end of the connection for the end of the body.
  Scenario: A truncated body does not reach the dispatcher
    When a caller sends 10 of 100 bytes and closes the connection
    Then the HTTP interface has no open connection
    And the dispatcher received no request

  # Guards against responses held for callers that do not read, and against
  # truncated responses that end with an orderly close.
  Scenario: A connection is reset if the response is not read
    When a caller requests 9000000 bytes and does not read them
    Then the HTTP interface has no open connection
    And the connection is reset before the end of the response

  # Guards against a daemon that operators cannot reach for open connections.
  Scenario: The number of connections is limited
    When 4 connections are open with a limit of 4
    Then another connection is refused and closed
    And after one connection is closed a request is served

  # Guards against connections that stay open after the caller's host is gone.
  Scenario: An idle connection is closed
    When a connection is opened and nothing is sent
    Then the HTTP interface has no open connection

  # Guards against access to the jobs of another member by their ID.
  Scenario Outline: A job of another member is not found
    When "svatbena" requests <what> of job "qadri.night"
    Then the response is the same as for job "qadri.nothing"
    And the status is 404 and the outcome header is "rejected"
    And the job service received no change

    Examples:
      | what         |
      | the state    |
      | cancellation |
      | eviction     |

  Scenario: Unsigned requests and jobs of another member are rejected
    When an unsigned job is submitted
    Then the status is 401 and the outcome header is "rejected"
    When "svatbena" submits a job of "qadri"
    Then the status is 422 and the outcome header is "rejected"
    When "svatbena" submits a job of "qadri" under the id "svatbena.night"
    Then the status is 422 and the outcome header is "rejected"
    When "svatbena" submits a job of "svatbena" under the id "qadri.night"
    Then the status is 422 and the outcome header is "rejected"
    And the job service received no change
    When "qadri" submits a job of "qadri"
    Then the status is 202 and the outcome header is "accepted"
