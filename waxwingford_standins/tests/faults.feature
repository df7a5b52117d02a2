Feature: Fault injection into a deployment of real processes
  Four daemons in two failure domains are under request and batch load during
  each fault. The audit compares responses and log with what the servers ran.

  # Guards against evicted tasks that restart from the beginning or run twice
  # when replies to checkpoint commands are lost.
  Scenario: All tasks are evicted at once
    Given the small deployment is running
    When it is under load while all tasks are evicted and replies are lost
    Then the audit has no findings
    And every accepted job finished
    And some tasks resumed from their checkpoints

  # Guards against work that is placed on a leaving server.
  Scenario: A backend server enters the leaving state
    Given the small deployment is running
    When it is under load while a backend server enters the leaving state
    Then the audit has no findings
    And every accepted job finished

  # Guards against state that must be durable but was only held in memory: a
  # request or task runs twice, or a job is lost.
  Scenario: A daemon is killed and restarted
    Given the small deployment is running
    When it is under load while a daemon is killed and restarted
    Then the audit has no findings
    And every accepted job finished

  # Guards against a lease that is checked before the pause but not after it.
  Scenario: A daemon is paused past its leases
    Given the small deployment is running
    When it is under load while a daemon is paused past its leases
    Then the audit has no findings
    And every accepted job finished

  # Guards against an unacknowledged append that is treated as failed.
  Scenario: The log hangs and then loses acknowledgements
    Given the small deployment is running
    When it is under load while the log hangs and then loses acknowledgements
    Then the audit has no findings
    And every accepted job finished
    And most calls were answered

  # Guards against a takeover based on state from before the outage, when
  # appends of the killed daemon are still in flight.
  Scenario: A daemon is killed while the log hangs
    Given the small deployment is running
    When it is under load while a daemon is killed while the log hangs
    Then the audit has no findings
    And every accepted job finished

  # Guards against serving that depends on anything outside of the failure
  # domain, and against its tasks running again elsewhere.
  Scenario: A failure domain is partitioned
    Given the small deployment is running
    When it is under load while a failure domain is partitioned
    Then the audit has no findings
    And every accepted job finished
    And callers of the failure domain were answered during the partition

  # Guards against tasks that keep running after their end was logged.
  Scenario: A backend server crashes and others lose control replies
    Given the small deployment is running
    When it is under load while a backend server crashes and replies are lost
    Then the audit has no findings
    And some attempts ended by a server crash
    And every accepted job finished

  # Guards against a graceful stop that cuts off requests in progress.
  Scenario: A daemon is terminated gracefully
    Given the small deployment is running
    When it is under load while a daemon is terminated gracefully
    Then the audit has no findings
    And no call was cut off by a connection error
    And the daemon exited by itself with code 0
