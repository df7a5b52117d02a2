Feature: a daemon reports the loss of its store

  Scenario: the store is lost and regained
    # Guards against a lost store that is not logged, or is logged for each failed
    # read.
    Given a daemon that has read its configuration
    When the store has not responded for 1 s
    Then no loss of the store is logged
    When the store has not responded for 4 s
    Then "store lost" is logged once, with the seconds since the last read
    And the daemon is not ready because of "the store does not answer"
    When the store returns the same configuration
    Then "store regained" is logged once, with the configuration version
    And the daemon is not ready because of "the shard has no owner yet"

  Scenario: a version is read after a newer one
    # Guards against a daemon that returns to an older version.
    Given a daemon that has read its configuration
    When it reads versions 5, 4, 6 and 5 in turn
    Then it has applied versions 5 and 6 in turn
