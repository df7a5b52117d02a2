Feature: Outcomes of requests
  Callers repeat refused requests, so a refusal must be certain.

  # Guards against a refusal after a lost answer, which would cause the caller
  # to repeat an executed request.
  Scenario Outline: Only requests that were not executed are refused
    Given a dispatcher that holds 2 servers of 3 slots
    When a non-idempotent request is sent while <fault>
    Then its outcome is "<outcome>" and it was executed <count> times

    Examples:
      | fault                                   | outcome | count |
      | every server is full                    | Refused | 0     |
      | every server refuses connections        | Refused | 0     |
      | every answer is lost                    | Unknown | 1     |
      | every server is suspended               | Unknown | 1     |
      | every server returns a wrong request id | Unknown | 1     |
      | the server client raises an exception   | Unknown | 0     |
      | its deadline has passed                 | Refused | 0     |

  # Guards against returning an answer to a different request.
  Scenario: Late and mismatched answers are dropped and counted
    Given a dispatcher that holds 2 servers of 3 slots
    When only the first of two servers returns a wrong request id
    And 40 idempotent requests are sent sequentially
    Then each answered request received its own body
    And dropped answers are counted as "foreign_answers_total"
    When every server answers 100 ms after the deadline
    And 3 idempotent requests are sent sequentially
    And the late answers have arrived
    Then no more requests were answered
    And dropped answers are counted as "late_answers_total"

  # Guards against retries that multiply the load when all servers fail.
  Scenario: A retry storm is bounded by the budget
    Given a dispatcher that holds 20 servers of 8 slots
    When every answer is lost from now on
    And 200 idempotent requests are sent sequentially
    Then at most 25 retries were executed

  # Guards against requests aborted by a planned shutdown.
  Scenario: A drain completes requests in progress and refuses new ones
    Given a dispatcher that holds 2 servers of 3 slots
    When 4 requests are in progress and the dispatcher drains
    And another request arrives during the drain
    Then the requests in progress are answered and the other one is refused
    And the drain completes

  # Guards against requests that circulate between fully loaded daemons.
  Scenario: A forwarded request is not forwarded again
    Given daemons "a, b, c" of which only "c" holds a server
    When a request is sent to "a" while "b" appears to have free slots
    Then "b" refused the request and "c" did not receive it
    And the next request to "a" is forwarded to "c"

  # Guards against releasing a slot that the backend server still uses.
  Scenario: A slot stays occupied after its caller has disconnected
    Given a dispatcher that holds 1 servers of 3 slots
    When 3 callers disconnect while their requests run
    Then no slot is free until the requests have ended
