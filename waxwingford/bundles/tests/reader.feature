Feature: Bundle reader of a daemon
  Symptom: a daemon goes back to limits that were replaced long ago.
  Sequence: a VM starts empty, or was frozen; the log is away or has dropped
  old records; an old record is appended again; a peer is behind.
  Cause: the reader takes the first bundle that it meets.

  Scenario: On its way to the head nothing old takes force
    Given the log holds bundle versions 1 to 9
    When a bundle reader starts and reads
    Then its bundles in force were "9"

  Scenario: An empty VM waits for every daemon of its failure domain
    Given the log holds bundle versions 1 to 3
    And the log is away for bundle readers
    And bundle peer "gulberg-1" has bundle version 2
    And bundle peer "gulberg-2" is silent
    And bundle peer "johar-1" has bundle version 3
    When a bundle reader starts and reads
    Then the bundle reader is not ready because "no answer from gulberg-2"
    When bundle peer "gulberg-2" is there without a bundle
    And the bundle reader reads again
    Then its bundles in force were "3"

  Scenario: Without the log a newer bundle of a peer is taken, an older is not
    Given the log holds bundle versions 1 to 3
    And a bundle reader that read them
    And the log is away for bundle readers
    And bundle peer "gulberg-1" has bundle version 2
    When the bundle reader reads again
    Then its bundles in force were "3"
    When bundle peer "gulberg-1" has bundle version 5
    And the bundle reader reads again
    Then its bundles in force were "3, 5"
    When the log is back and holds bundle versions up to 6
    And the bundle reader reads again
    Then its bundles in force were "3, 5, 6"

  Scenario: A version that came too early does not win by way of a peer
    Given the log holds bundle versions 1 to 2
    And a bundle reader that read them
    And version 4 is appended before version 3
    And the log is away for bundle readers
    And bundle peer "gulberg-1" has bundle version 3
    When the bundle reader reads again
    And the log is back and holds bundle versions up to 2
    And the bundle reader reads again
    Then its bundles in force were "2, 3"

  Scenario: An old bundle that is said again at the head is not taken
    Given the log holds bundle versions 1 to 9
    And the log restates version 9 and keeps nothing older
    And version 2 is restated as if it were in force
    When a bundle reader starts and reads
    Then its bundles in force were "9"

  Scenario: A restatement by a daemon that lagged does not hide newer versions
    Given the log holds bundle versions 1 to 5
    And version 3 is restated by a daemon that has read 3 entries
    And the log keeps only the last entry
    And bundle peer "gulberg-1" is silent
    When a bundle reader starts and reads
    Then the bundle reader is not ready because "no proof of what governs"

  Scenario: A first version that is appended again is not a first version
    Given the log holds bundle versions 1 to 3
    And the log keeps nothing of that
    And version 1 is appended again
    And bundle peer "gulberg-1" is silent
    When a bundle reader starts and reads
    And version 1 is appended again
    And the bundle reader reads again
    Then the bundle reader is not ready because "no proof of what governs"

  Scenario: A lost racer does not win when the winner's record has aged out
    Given the log holds bundle versions 1 to 3
    And the log keeps nothing of that
    And a racer of version 3 comes late, whole
    And version 3 is restated as it should be
    When a bundle reader starts and reads
    Then its bundles in force were "3"
    And its digest is that of version 3

  Scenario: A reader that was frozen past retention finds its place again
    Given the log holds bundle versions 1 to 3
    And a bundle reader that read them
    And the log is back and holds bundle versions up to 70
    And the log restates version 70 and keeps nothing older
    When the bundle reader reads again
    Then its bundles in force were "3, 70"
    And the bundle reader noted "bundle.gap"

  Scenario: A reader on a chain that lost comes back to the one that won
    Given the log holds bundle versions 1 to 3
    And the log keeps nothing of that
    And a lost racer of version 3 is restated as if it were in force
    When a bundle reader starts and reads
    And the log is back and holds bundle versions up to 5
    And version 5 is restated as it should be
    And the bundle reader reads again
    Then its bundles in force were "3, 5"
    And its digest is that of version 5

  Scenario: What is in force is said again before it ages out
    Given the log holds bundle versions 1 to 3
    And a bundle reader that read them
    When an hour passes with the bundle reader reading
    And the log keeps only restatements
    And a second bundle reader starts and reads
    Then the bundles in force of both end with version 3

  Scenario: A change that lost its acknowledgement is resolved by reading
    Given the log holds bundle versions 1 to 3
    And the log loses every acknowledgement
    When version 4 is published, and then published again
    Then both times it is in force
    And the log holds versions "1, 2, 3, 4"

  Scenario: Operators state again what the log has lost, and only then
    Given the log holds bundle versions 1 to 3
    When version 4 is stated again by its operators
    Then publishing is refused with "the log proves what governs"
    When the log loses all, and version 4 is stated again twice
    Then both times it is in force
    And the log holds versions "4"
    When a bundle reader starts and reads
    Then its bundles in force were "4"

  Scenario: The loser of a race is told who won
    Given the log holds bundle versions 1 to 3
    When a racer wins between reading and appending of version 4
    Then publishing is refused with "version 4 was won by"
