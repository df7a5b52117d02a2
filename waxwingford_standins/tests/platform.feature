Feature: Stand-in platform
  The log and the list promise no more than the brief does.

  # Symptom: a record stands twice in the stream.
  # Sequence: an append takes effect, its answer is lost, the writer retries.
  # Cause that writers must handle: "unknown" is neither done nor failed.
  Scenario: An append whose acknowledgement is lost is in the log
    Given a stand-in log that loses 100 percent of acknowledgements
    When "x" is appended to the stand-in log
    Then the append is unknown
    And the stand-in log holds "x" from offset 0

  Scenario: Outages refuse appends and reads
    Given a stand-in log
    When the stand-in log goes out of service
    And "x" is appended to the stand-in log
    Then the append is refused
    And the stand-in log can't be read
    When the stand-in log comes back
    Then the stand-in log holds "" from offset 0

  Scenario: Old entries are dropped by count, offsets go on
    Given a stand-in log that keeps 2 entries
    When "x, y, z" are appended to the stand-in log
    Then the stand-in log holds "y, z" from offset 1
    And its head is 3

  Scenario: Old entries are dropped by age
    Given a stand-in log that keeps entries for 1000 ms
    When "x" is appended to the stand-in log
    And 1001 ms pass at the platform
    Then the stand-in log holds "" from offset 1

  Scenario: Appends above the rate cap are refused with a time to come back
    Given a stand-in log that takes 2 appends a second
    When "x, y, z" are appended to the stand-in log
    Then the append is refused
    When 1000 ms pass at the platform
    And "w" is appended to the stand-in log
    Then the stand-in log holds "x, y, w" from offset 0

  Scenario: The list lags, shows who leaves and drops who is silent
    Given a stand-in list with a lag of 1000 ms
    When VM "s" is "live" on the platform
    Then the stand-in list shows ""
    When 1000 ms pass at the platform
    And VM "s" is "leaving" on the platform
    Then the stand-in list shows "s live"
    When 1000 ms pass at the platform
    Then the stand-in list shows "s leaving"
    When 6000 ms pass at the platform
    Then the stand-in list shows "s leaving"
    When 1000 ms pass at the platform
    Then the stand-in list shows ""
