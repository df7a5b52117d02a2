Feature: Stand-in backend server
  The contract that daemons build on: the server itself arbitrates who
  commands it, ends what nobody renews and counts what it ran.

  Background:
    Given a stand-in server with 4 slots, 8000 milli and 16000 MB

  # Symptom: two daemons start one task on one server.
  # Sequence: "a" is paused past its lease, "b" acquires, "a" goes on.
  # Cause it rules out: a command under a stale epoch is carried out.
  Scenario: A holder that was paused past its lease can do nothing
    When "a" acquires the server for 3000 ms
    And 3000 ms pass at the stand-in
    And "b" acquires the server for 3000 ms
    And "a" starts task "t/0" under its old epoch
    Then the stand-in denied it and names "b"
    And the stand-in runs nothing

  # Symptom: an attempt runs again that was given up for lost.
  # Sequence: its holder is frozen between two lines, thaws within its lease,
  # and sends a renewal that it decided on long ago.
  # Cause it rules out: a request that is older than it may be is carried out.
  Scenario: A request that was held up for too long does nothing
    When "a" acquires the server for 9000 ms
    And 2001 ms pass at the stand-in
    And "a" starts task "t/0" by a request that is good for 2000 ms
    Then the stand-in denied it and names "a"
    And the stand-in runs nothing

  Scenario: A new acquisition has a higher epoch, a renewal keeps it
    When "a" acquires the server for 3000 ms
    And "a" renews its lease for 3000 ms
    Then the epoch rose by 0
    When "a" acquires the server for 3000 ms
    Then the epoch rose by 1

  Scenario: A lease that is held can't be acquired, one given up can
    When "a" acquires the server for 3000 ms
    And "b" acquires the server for 3000 ms
    Then the stand-in denied it and names "a"
    When "a" gives the server up
    And "b" acquires the server for 3000 ms
    Then the stand-in granted it

  Scenario: An attempt that nobody renews lapses and stays until forgotten
    When "a" acquires the server for 9000 ms
    And "a" starts task "t/0" of 8000 ms under a lease of 2000 ms
    And 1500 ms pass at the stand-in
    And "a" renews task "t/0" to 2000 ms
    And 1900 ms pass at the stand-in
    Then task "t/0" is reported "running"
    When 100 ms pass at the stand-in
    Then task "t/0" is reported "lapsed"
    When "a" forgets task "t/0"
    Then task "t/0" is not reported

  Scenario: An evicted attempt goes on from its checkpoint
    When "a" acquires the server for 9000 ms
    And "a" starts task "t/0" of 5000 ms under a lease of 9000 ms
    And 3000 ms pass at the stand-in
    And "a" checkpoints task "t/0"
    Then task "t/0" ended as "checkpointed" with "ckpt:t/0:1:3000"
    When "a" resumes task "t/0" of 5000 ms from "ckpt:t/0:1:3000"
    And 1999 ms pass at the stand-in
    Then attempt 2 of task "t/0" is reported "running"
    When 1 ms pass at the stand-in
    Then attempt 2 of task "t/0" is reported "done"

  Scenario: A throttled attempt takes longer
    When "a" acquires the server for 90000 ms
    And "a" starts task "t/0" of 1000 ms under a lease of 90000 ms
    And "a" throttles task "t/0" to 50 percent
    And 1999 ms pass at the stand-in
    Then task "t/0" is reported "running"
    When 1 ms pass at the stand-in
    Then task "t/0" is reported "done"

  Scenario Outline: Starts that are refused
    When "a" acquires the server for 9000 ms
    And "a" starts task "t/0" of 5000 ms under a lease of 9000 ms
    And <event>
    And "a" starts task "<task>" with <milli> milli
    Then the start is refused since "<reason>"

    Examples:
      | event                      | task | milli | reason                      |
      | nothing else happens       | u/0  | 7000  | not enough processors_milli |
      | nothing else happens       | t/0  | 1000  | task runs here already      |
      | the server begins to leave | u/0  | 1000  | server is leaving           |

  Scenario: A server that died runs nothing and says so by its boot
    When "a" acquires the server for 9000 ms
    And "a" starts task "t/0" of 5000 ms under a lease of 9000 ms
    And the server dies
    And "b" acquires the server for 3000 ms
    Then the boot id is another one
    And task "t/0" is not reported
    And the audit still knows task "t/0"

  Scenario: Usage arrives with its lag and says how old it is
    Given usage windows of 1000 ms reported after 2000 ms
    When "a" acquires the server for 9000 ms
    And 1000 ms pass at the stand-in
    And "a" renews its lease for 9000 ms
    Then 0 usage samples came
    When 2000 ms pass at the stand-in
    And "a" renews its lease for 9000 ms
    Then the first of 1 usage samples is 2000 ms old

  Scenario: The server itself keeps to its slots
    When 5 requests reach the stand-in at once
    Then 4 of them run and 1 is refused
