Feature: Traffic of a daemon

  # Guards against a link that is full of requests that no line of the log tells.
  Scenario: bytes are logged by kind of call and direction
    Given calls to the store of 100 bytes sent and 20 received
    When the traffic of an interval is reported
    And 2 more calls to the store are made
    And the traffic of another interval is reported
    Then the last line tells 2 calls, 200 bytes sent and 40 received
    And the metrics tell 300 bytes sent
