Feature: Command-line tool
  Operators sign a bundle off, publish it, and learn by text, JSON and exit
  code what became of it.

  Scenario: From keys to a bundle in force
    Given keys of two members, a log, and the bundle of "qadri"
    When both members sign it and it is published
    Then the command ends with 0 and says: version 1 in force
    When the same bundle is published again
    Then the command ends with 0 and says: before this call
    When the bundle's head is asked for
    Then the command ends with 0 and says: "version": 1

  Scenario: A bundle that one member has not signed is refused
    Given keys of two members, a log, and the bundle of "svatbena"
    When only qadri signs it and it is published
    Then the command ends with 1 and says: signatures of ['svatbena'] are missing

  Scenario: A source that changed after a sign-off is not signed on
    Given keys of two members, a log, and the bundle of "qadri"
    When the source changes between two sign-offs
    Then the command ends with 1 and says: someone changed it since

  Scenario: Publishing while the log is away
    Given keys of two members, a log, and the bundle of "qadri"
    When the log goes away, both members sign it and it is published
    Then the command ends with 3 and says: not published, try again

  Scenario: Problems of a source name file, key and expected value
    Given keys of two members, a log, and the bundle of "qadri"
    When a share of 7 is put into it and it is checked
    Then the command ends with 1 and says: members.qadri.share: got 7, expected less than or equal to 1

  Scenario: A private key is never overwritten
    Given keys of two members, a log, and the bundle of "qadri"
    When qadri's key is made again
    Then the command ends with 1 and says: never overwritten

  Scenario: A daemon that is not there
    Given keys of two members, a log, and the bundle of "qadri"
    When the status of a daemon that is not there is asked for
    Then the command ends with 3 and says: missing

  Scenario Outline: What became of a job that was submitted
    Given two daemons that answer "<first>" and "202"
    When qadri submits a job to both
    Then the command ends with <code> and says: <text>
    And <asked> daemons were asked with a signature that holds

    Examples:
      | first  | code | text                     | asked |
      | 202    | 0    | answer 202               | 1     |
      | 503    | 0    | answer 202               | 2     |
      | 422    | 1    | refused, nothing changed | 1     |
      | 401    | 1    | refused, nothing changed | 1     |
      | 504    | 4    | it may have taken effect | 1     |
      | broken | 4    | it may have taken effect | 1     |
      | absent | 0    | answer 202               | 1     |

  Scenario Outline: A signed request
    Given a request that qadri signed
    When the signed request arrives <how>
    Then the signed request is <verdict>

    Examples:
      | how                   | verdict                      |
      | as it was sent        | verified                     |
      | twice                 | unverified: replayed         |
      | 61 seconds late       | unverified: ms off           |
      | with another body     | unverified: signature is not |
      | for another path      | unverified: signature is not |
      | in svatbena's name    | unverified: signature is not |
      | in a stranger's name  | unverified: no pinned key    |
      | when the cache is full of fresh ones | unverified: too many |
