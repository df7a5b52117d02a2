Feature: a daemon tells when it loses its store

  Scenario: the store is lost and found again
    # Symptom: callers are refused by one daemon, and nothing tells why.
    # Sequence: the store doesn't answer for some seconds, then it does.
    # Cause: a lost dependency without a line, or one line for each failed read.
    Given a daemon that has read its configuration
    When the store has not answered for 1 s
    Then nothing is told of it
    When the store has not answered for 4 s
    Then "store lost" is told once, with the seconds since its last answer
    And the daemon isn't ready as "the store does not answer"
    When the store answers with the same configuration
    Then "store regained" is told once, with the version in force
    And the daemon isn't ready as "the shard has no owner yet"
