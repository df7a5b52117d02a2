Feature: Non-idempotent requests run at most once
  Retries of a request with an idempotency key never execute it twice.

  Background:
    Given a region of daemons "a, b, c" past their startup period

  # Guards against executing a delayed first attempt after its retry was
  # refused, when the caller believes that nothing was executed.
  Scenario: A first attempt does not run after its retry was refused
    When all backend servers refuse connections
    And key "k" is retried at "b"
    And all backend servers accept connections again
    And the first attempt of key "k" arrives at "a"
    Then the outcomes of the attempts are "Refused, Unknown"
    And the request was not executed

  # Guards against double execution if a daemon does not record lookups.
  Scenario: A delayed first attempt does not run if its retry was executed
    When key "k" is retried at "b"
    And the first attempt of key "k" arrives at "a"
    Then the outcomes of the attempts are "Answered, Unknown"
    And the request was executed once

  # Guards against double execution if the retry goes to another daemon.
  Scenario: A retry after a lost answer has an unknown outcome
    Given the answers of all backend servers are lost
    When the first attempt of key "k" arrives at "a"
    And key "k" is retried at "b"
    And key "k" is retried at "a"
    Then the outcomes of the attempts are "Unknown, Unknown, Unknown"
    And the request was executed once

  # Guards against discarding a late answer that a retry could return.
  Scenario: A retry gets the answer that arrived late for the first attempt
    Given all backend servers delay their answers by 100 ms
    When a first attempt of "k" with 50 ms left arrives at "a"
    And the region runs for 300 ms
    And key "k" is retried at "b"
    Then the outcomes of the attempts are "Unknown, Answered"
    And the request was executed once

  # Guards against daemons that query each other before registering the retry.
  Scenario: Only one of concurrent retries runs
    When retries of "k" arrive at "a, b, c" at once
    Then one attempt is answered and the others are unknown
    And the request was executed once

  # Guards against double execution after the daemon that ran the first attempt
  # has restarted with an empty key store.
  Scenario: A restarted daemon does not answer for its predecessor
    When the first attempt of key "k" arrives at "a"
    And daemon "a" is restarted
    And key "k" is retried at "b"
    And key "k" is retried at "a"
    Then the outcomes of the attempts are "Answered, Unknown, Unknown"
    And the request was executed once

  # Guards against double execution after a restart has lost the lookups that
  # the previous process recorded.
  Scenario: A first attempt at a daemon that has just started is handled as a retry
    When key "k" is retried at "b"
    And daemon "a" is restarted
    And the region runs for 3000 ms
    And the first attempt of key "k" arrives at "a"
    Then the outcomes of the attempts are "Answered, Answered"
    And the request was executed once

  # Guards against double execution during a network partition.
  Scenario: A retry does not run while a daemon is unreachable
    When the first attempt of key "k" arrives at "a"
    And the link between "b" and "a" is cut
    And key "k" is retried at "b"
    Then the outcomes of the attempts are "Answered, Unknown"
    And the unknown outcome was returned at once with a retry delay
    And the request was executed once

  # Guards against double execution after the key has expired on all daemons.
  Scenario: A retry older than the retention period does not run
    When the first attempt of key "k" arrives at "a"
    And the region runs for 130000 ms
    And a retry of "k" with an age of 130000 ms arrives at "b"
    Then the outcomes of the attempts are "Answered, Unknown"
    And the request was executed once

  # Guards against double execution if a retry waits in a socket until the key
  # has expired elsewhere.
  Scenario: A retry that waited in a suspended daemon counts as older
    When the first attempt of key "k" arrives at "a"
    And daemon "b" is suspended for 125000 ms
    And a retry of "k" with an age of 5000 ms arrives at "b"
    Then the outcomes of the attempts are "Answered, Unknown"
    And the request was executed once

  # Guards against double execution if a first attempt waits in a socket while
  # the lookup recorded for its key expires.
  Scenario: Keys do not expire while their daemon is suspended
    When key "k" is retried at "b"
    And daemon "a" is suspended for 125000 ms
    And the first attempt of key "k" arrives at "a"
    Then the request was executed once

  # Guards against returning the answer to a different request.
  Scenario: A key with a different body is rejected
    When the first attempt of key "k" arrives at "a"
    And a retry of "k" with body "teapot" arrives at "b"
    And a retry of "k" with body "teapot" arrives at "a"
    Then the outcomes of the attempts are "Answered, Rejected, Rejected"

  # Guards against returning an answer to another member.
  Scenario: Members do not share keys
    When the first attempt of key "k" arrives at "a"
    And member "qadri" sends key "k" with body "report" to "a"
    Then the outcomes of the attempts are "Answered, Answered"
    And each answer contains the body of its request

  # Guards against double execution after a flood of keys.
  Scenario: A full key store refuses new keys and evicts none
    Given the key store holds at most 2 keys per member
    When first attempts of keys "k1, k2, k3" arrive at "a"
    And key "k1" is retried at "a"
    Then the outcomes of the attempts are "Answered, Answered, Refused, Answered"
    And member "qadri" sends key "k" with body "report" to "a"
    And the last attempt is answered

  # Guards against a refusal of the retry after the first attempt was executed.
  Scenario: A retry is not refused before the other daemons were queried
    When the first attempt of key "k" arrives at "a"
    And daemon "b" drains
    And key "k" is retried at "b"
    Then the outcomes of the attempts are "Answered, Unknown"
