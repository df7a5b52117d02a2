Feature: Urgent tasks
  # Guards against a slow start when the daemon ranked first holds no server.
  Scenario: An urgent task does not wait for a daemon without servers
    Given a virtual domain in which one of 3 daemons holds the only server
    When 8 jobs of priority 90 are submitted
    Then all of them run 1500 ms later

  Scenario: Other tasks are left longer to the daemon that ranks first
    Given a virtual domain in which one of 3 daemons holds the only server
    When 8 jobs of priority 10 are submitted
    Then some of them do not run 1500 ms later, but all do after 7500 ms
