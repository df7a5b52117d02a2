Feature: Simulated backend server
  Daemons rely on the server to arbitrate its control lease, to end attempts
  whose lease expires and to record what it ran.

  Background:
    Given a simulated server with 4 slots, 8000 milli and 16000 MB

  # Guards against the execution of commands under a stale epoch.
  Scenario: A holder that was paused past its lease is denied
    When "a" acquires the server for 3000 ms
    And 3000 ms pass at the simulated server
    And "b" acquires the server for 3000 ms
    And "a" starts task "t/0" under its old epoch
    Then the request is denied since the holder is "b"
    And the simulated server ran no attempt

  # Guards against the execution of an outdated request from a holder that was
  # paused before it sent the request.
  Scenario: A request past its validity period is denied
    When "a" acquires the server for 9000 ms
    And 2001 ms pass at the simulated server
    And "a" starts task "t/0" by a request that is valid for 2000 ms
    Then the request is denied since the holder is "a"
    And the simulated server ran no attempt

  Scenario: An acquisition increments the epoch, a renewal does not
    When "a" acquires the server for 3000 ms
    And "a" renews its lease for 3000 ms
    Then the epoch increased by 0
    When "a" acquires the server for 3000 ms
    Then the epoch increased by 1

  Scenario: A held lease can't be acquired until it is released
    When "a" acquires the server for 3000 ms
    And "b" acquires the server for 3000 ms
    Then the request is denied since the holder is "a"
    When "a" releases the server
    And "b" acquires the server for 3000 ms
    Then the request is granted

  Scenario: An attempt whose lease expires is reported until forgotten
    When "a" acquires the server for 9000 ms
    And "a" starts task "t/0" of 8000 ms under a lease of 2000 ms
    And 1500 ms pass at the simulated server
    And "a" renews task "t/0" to 2000 ms
    And 1900 ms pass at the simulated server
    Then task "t/0" is reported "running"
    When 100 ms pass at the simulated server
    Then task "t/0" is reported "lapsed"
    When "a" forgets task "t/0"
    Then task "t/0" is not reported

  Scenario: An evicted attempt resumes from its checkpoint
    When "a" acquires the server for 9000 ms
    And "a" starts task "t/0" of 5000 ms under a lease of 9000 ms
    And 3000 ms pass at the simulated server
    And "a" checkpoints task "t/0"
    Then task "t/0" ended as "checkpointed" with "ckpt:t/0:1:3000"
    When "a" resumes task "t/0" of 5000 ms from "ckpt:t/0:1:3000"
    And 1999 ms pass at the simulated server
    Then attempt 2 of task "t/0" is reported "running"
    When 1 ms pass at the simulated server
    Then attempt 2 of task "t/0" is reported "done"

  Scenario: A throttled attempt runs longer
    When "a" acquires the server for 90000 ms
    And "a" starts task "t/0" of 1000 ms under a lease of 90000 ms
    And "a" throttles task "t/0" to 50 percent
    And 1999 ms pass at the simulated server
    Then task "t/0" is reported "running"
    When 1 ms pass at the simulated server
    Then task "t/0" is reported "done"

  Scenario Outline: Refused starts
    When "a" acquires the server for 9000 ms
    And "a" starts task "t/0" of 5000 ms under a lease of 9000 ms
    And <event>
    And "a" starts task "<task>" with <milli> milli
    Then the start is refused since "<reason>"

    Examples:
      | event                      | task | milli | reason                      |
      | no other event occurs      | u/0  | 7000  | not enough processors_milli |
      | no other event occurs      | t/0  | 1000  | task runs here already      |
      | the server begins to leave | u/0  | 1000  | server is leaving           |

  Scenario: A crashed server loses its attempts and changes its boot id
    When "a" acquires the server for 9000 ms
    And "a" starts task "t/0" of 5000 ms under a lease of 9000 ms
    And the simulated server crashes
    And "b" acquires the server for 3000 ms
    Then the boot id changed
    And task "t/0" is not reported
    And the audit still contains task "t/0"

  Scenario: Usage samples are delayed and carry their age
    Given usage windows of 1000 ms reported after 2000 ms
    When "a" acquires the server for 9000 ms
    And 1000 ms pass at the simulated server
    And "a" renews its lease for 9000 ms
    Then 0 usage samples are reported
    When 2000 ms pass at the simulated server
    And "a" renews its lease for 9000 ms
    Then the first of 1 usage samples is 2000 ms old

  Scenario: Requests above the number of slots are refused
    When 5 concurrent requests reach the simulated server
    Then 4 of them run and 1 is refused
