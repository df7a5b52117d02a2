Feature: Command-line tool
  Exit codes, output and errors of commands that sign and publish bundles and
  submit jobs.

  Scenario: From keys to a bundle in force
    Given keys of two members, a log, and the bundle of "qadri"
    When both members sign it and it is published
    Then the command exits with 0 and prints: version 1 in force
    When the same bundle is published again
    Then the command exits with 0 and prints: before this call
    When the head of the log is requested
    Then the command exits with 0 and prints: "version": 1

  Scenario: A bundle that one member has not signed is refused
    Given keys of two members, a log, and the bundle of "svatbena"
    When only qadri signs it and it is published
    Then the command exits with 1 and prints: signatures of ['svatbena'] are missing

  Scenario: A source that changed after the first signature is refused
    Given keys of two members, a log, and the bundle of "qadri"
    When the source changes between two signatures
    Then the command exits with 1 and prints: source changed after it was signed

  Scenario: Publishing while the log is unavailable
    Given keys of two members, a log, and the bundle of "qadri"
    When both members sign it and it is published while the log is unavailable
    Then the command exits with 3 and prints: not published, try again

  Scenario: Validation errors name the key and the expected value
    Given keys of two members, a log, and the bundle of "qadri"
    When a bundle with a share of 7 is checked
    Then the command exits with 1 and prints: members.qadri.share: got 7, expected less than or equal to 1

  Scenario: A private key is never overwritten
    Given keys of two members, a log, and the bundle of "qadri"
    When qadri's key is made again
    Then the command exits with 1 and prints: never overwritten

  Scenario: Status of an unreachable daemon
    Given keys of two members, a log, and the bundle of "qadri"
    When the status of an unreachable daemon is requested
    Then the command exits with 3 and prints: missing

  Scenario Outline: A job is submitted to the next daemon only if it did not run
    Given two daemons that respond with "<first>" and "202"
    When qadri submits a job to both daemons
    Then the command exits with <code> and prints: <text>
    And <received> daemons received a request with a valid signature

    Examples:
      | first  | code | text                     | received |
      | 202    | 0    | answer 202               | 1        |
      | 503    | 0    | answer 202               | 2        |
      | 422    | 1    | refused, nothing changed | 1        |
      | 401    | 1    | refused, nothing changed | 1        |
      | 504    | 4    | it may have taken effect | 1        |
      | broken | 4    | it may have taken effect | 1        |
      | absent | 0    | answer 202               | 1        |

  Scenario Outline: Altered, replayed or late signed requests are rejected
    Given a request that qadri signed
    When the signed request is received <how>
    Then the signed request is <verdict>

    Examples:
      | how                     | verdict                      |
      | unchanged               | verified                     |
      | twice                   | unverified: replayed         |
      | 61 seconds late         | unverified: ms off           |
      | with another body       | unverified: signature is not |
      | for another path        | unverified: signature is not |
      | as svatbena             | unverified: signature is not |
      | as an unknown member    | unverified: no pinned key    |
      | with a full nonce cache | unverified: too many         |
