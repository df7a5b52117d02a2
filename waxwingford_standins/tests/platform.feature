Feature: Simulated platform
  The log and the VM list provide no stronger guarantees than the platform.

  # Writers must not treat an unknown outcome as a failed append.
  Scenario: An append whose acknowledgement is lost takes effect
    Given a simulated log that loses 100 percent of acknowledgements
    When "x" is appended to the simulated log
    Then the outcome of the append is unknown
    And the simulated log holds "x" from offset 0

  Scenario: Appends and reads are refused during an outage
    Given a simulated log
    When the simulated log goes out of service
    And "x" is appended to the simulated log
    Then the append is refused
    And the simulated log can't be read
    When the simulated log recovers
    Then the simulated log holds "" from offset 0

  Scenario: Entries beyond the retained count are dropped, offsets increase
    Given a simulated log that retains 2 entries
    When "x, y, z" are appended to the simulated log
    Then the simulated log holds "y, z" from offset 1
    And the next offset is 3

  Scenario: Entries older than the retention period are dropped
    Given a simulated log that retains entries for 1000 ms
    When "x" is appended to the simulated log
    And 1001 ms pass at the platform
    Then the simulated log holds "" from offset 1

  Scenario: Appends above the rate limit are refused with a retry delay
    Given a simulated log that accepts 2 appends a second
    When "x, y, z" are appended to the simulated log
    Then the append is refused
    When 1000 ms pass at the platform
    And "w" is appended to the simulated log
    Then the simulated log holds "x, y, w" from offset 0

  Scenario: The VM list lags, shows leaving VMs and drops silent ones
    Given a simulated VM list with a lag of 1000 ms
    When VM "s" is "live" on the platform
    Then the simulated VM list shows ""
    When 1000 ms pass at the platform
    And VM "s" is "leaving" on the platform
    Then the simulated VM list shows "s live"
    When 1000 ms pass at the platform
    Then the simulated VM list shows "s leaving"
    When 6000 ms pass at the platform
    Then the simulated VM list shows "s leaving"
    When 1000 ms pass at the platform
    Then the simulated VM list shows ""
