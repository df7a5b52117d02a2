Feature: Bundle reader of a daemon
  Guards against a reader that reverts to an outdated bundle after a restart,
  a pause, a log outage, dropped records or a replayed record.

  Scenario: No older version takes force before the head is reached
    Given the log holds bundle versions 1 to 9
    When a bundle reader starts and reads
    Then its bundles in force were "9"

  Scenario: A daemon without a bundle waits for all of its failure domain
    Given the log holds bundle versions 1 to 3
    And the log is unavailable for bundle readers
    And bundle peer "gulberg-1" has bundle version 2
    And bundle peer "gulberg-2" does not answer
    And bundle peer "johar-1" has bundle version 3
    When a bundle reader starts and reads
    Then the bundle reader is not ready because "no answer from gulberg-2"
    When bundle peer "gulberg-2" answers without a bundle
    And the bundle reader reads again
    Then its bundles in force were "3"

  Scenario: During a log outage only a peer's newer bundle takes force
    Given the log holds bundle versions 1 to 3
    And a bundle reader that has read them
    And the log is unavailable for bundle readers
    And bundle peer "gulberg-1" has bundle version 2
    When the bundle reader reads again
    Then its bundles in force were "3"
    When bundle peer "gulberg-1" has bundle version 5
    And the bundle reader reads again
    Then its bundles in force were "3, 5"
    When the log is available and holds bundle versions up to 6
    And the bundle reader reads again
    Then its bundles in force were "3, 5, 6"

  Scenario: A version appended too early does not take force through a peer
    Given the log holds bundle versions 1 to 2
    And a bundle reader that has read them
    And version 4 is appended before version 3
    And the log is unavailable for bundle readers
    And bundle peer "gulberg-1" has bundle version 3
    When the bundle reader reads again
    And the log is available and holds bundle versions up to 2
    And the bundle reader reads again
    Then its bundles in force were "2, 3"

  Scenario: A restated old version does not take force
    Given the log holds bundle versions 1 to 9
    And version 9 is restated and the log drops all older entries
    And version 2 is wrongly restated at the head
    When a bundle reader starts and reads
    Then its bundles in force were "9"

  Scenario: A restatement by a lagging daemon does not hide newer versions
    Given the log holds bundle versions 1 to 5
    And version 3 is restated by a daemon that has read only 3 entries
    And the log has dropped all but the last entry
    And bundle peer "gulberg-1" does not answer
    When a bundle reader starts and reads
    Then the bundle reader is not ready because "no proof of what governs"

  Scenario: A replayed version 1 does not take force
    Given the log holds bundle versions 1 to 3
    And the log has dropped all entries
    And version 1 is appended again
    And bundle peer "gulberg-1" does not answer
    When a bundle reader starts and reads
    And version 1 is appended again
    And the bundle reader reads again
    Then the bundle reader is not ready because "no proof of what governs"

  Scenario: A losing version stays out after the winner's record is dropped
    Given the log holds bundle versions 1 to 3
    And the log has dropped all entries
    And a competing version 3 is appended with its whole body
    And version 3 is restated at the head
    When a bundle reader starts and reads
    Then its bundles in force were "3"
    And its digest is that of version 3

  Scenario: A reader paused beyond the retention period continues at the head
    Given the log holds bundle versions 1 to 3
    And a bundle reader that has read them
    And the log is available and holds bundle versions up to 70
    And version 70 is restated and the log drops all older entries
    When the bundle reader reads again
    Then its bundles in force were "3, 70"
    And the bundle reader recorded event "bundle.gap"

  Scenario: A reader on a losing chain returns to the winning one
    Given the log holds bundle versions 1 to 3
    And the log has dropped all entries
    And a losing version 3 is wrongly restated at the head
    When a bundle reader starts and reads
    And the log is available and holds bundle versions up to 5
    And version 5 is restated at the head
    And the bundle reader reads again
    Then its bundles in force were "3, 5"
    And its digest is that of version 5

  Scenario: The bundle in force is restated before its record is dropped
    Given the log holds bundle versions 1 to 3
    And a bundle reader that has read them
    When an hour passes with the bundle reader reading
    And the log drops everything but restatements
    And a second bundle reader starts and reads
    Then the bundles in force of both end with version 3

  Scenario: A lost acknowledgement is resolved by reading the log
    Given the log holds bundle versions 1 to 3
    And the log loses every acknowledgement
    When version 4 is published, and then published again
    Then both times it is in force
    And the log holds versions "1, 2, 3, 4"

  Scenario: Operators can restate only after the log has dropped all proof
    Given the log holds bundle versions 1 to 3
    When version 4 is restated by operators
    Then publishing is refused with "the log proves what governs"
    When the log drops all entries and operators restate version 4 twice
    Then both times it is in force
    And the log holds versions "4"
    When a bundle reader starts and reads
    Then its bundles in force were "4"

  # Guards against an operator who puts old entitlements in force for new daemons,
  # once the log has dropped the restatement of the newest bundle.
  Scenario: Operators can't restate an older version than the log has signed
    Given the log holds bundle versions 1 to 9
    When the log drops the entries before version 7
    And version 4 is restated by operators
    Then publishing is refused with "version 9 is signed by every member"

  Scenario: A losing publisher is told which version won
    Given the log holds bundle versions 1 to 3
    When a competing version 4 is appended between read and append
    Then publishing is refused with "version 4 was won by"
