Feature: Urgent tasks
  # Symptom: an urgent task starts after more than three seconds on an idle
  # failure domain (measured with real processes: up to 3.5 s).
  # Sequence: the daemon that ranks first for the task holds no server; the
  # others leave the task to it for the delay of a rank.
  # Cause: the delay that spares lost races was the same for urgent tasks.
  Scenario: An urgent task does not wait for a daemon without servers
    Given a virtual domain in which one of 3 daemons holds the only server
    When 8 jobs of priority 90 are submitted
    Then all of them run 1500 ms later

  Scenario: Other tasks are left to the daemon that ranks first for longer
    Given a virtual domain in which one of 3 daemons holds the only server
    When 8 jobs of priority 10 are submitted
    Then some of them do not run 1500 ms later, but all do after 7500 ms
