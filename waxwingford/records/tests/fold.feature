Feature: Fold of a failure domain's stream
  Of conflicting records the first one is valid, so all daemons reach the same state.

  Scenario: Of two claims of one attempt only the first is valid
    # Guards against two daemons starting the same attempt on two servers.
    When these records are applied
      | writer | record                  | verdict             |
      | a      | accept qadri.a 2        | valid               |
      | a      | claim qadri.a/0 1 s1    | valid               |
      | b      | claim qadri.a/0 1 s2    | task is claimed     |
      | b      | claim qadri.a/0 2 s2    | task is claimed     |
      | b      | claim qadri.a/1 2 s2    | attempt must be 1   |
    Then task "qadri.a/0" is "claimed" as attempt 1 at "s1"

  Scenario: An attempt ends only once and only on the server of its claim
    When these records are applied
      | writer | record                        | verdict                               |
      | a      | accept qadri.a 1              | valid                                 |
      | a      | claim qadri.a/0 1 s1          | valid                                 |
      | a      | end qadri.a/0 1 s2 done       | attempt is not claimed there, or is over |
      | a      | end qadri.a/0 1 s1 vanished   | how must be one of                    |
      | a      | end qadri.a/0 1 s1 failed     | valid                                 |
      | b      | end qadri.a/0 1 s1 done       | attempt is not claimed there, or is over |
    Then task "qadri.a/0" is "pending" as attempt 1 at "s1"

  Scenario: An evicted task resumes once and from its latest checkpoint
    When these records are applied
      | writer | record                               | verdict                  |
      | a      | accept qadri.a 1                     | valid                    |
      | a      | claim qadri.a/0 1 s1                 | valid                    |
      | a      | end qadri.a/0 1 s1 checkpointed c1   | valid                    |
      | b      | claim qadri.a/0 2 s2                 | resume_from must be 'c1' |
      | b      | claim qadri.a/0 2 s2 c1              | valid                    |
      | a      | claim qadri.a/0 2 s1 c1              | task is claimed          |
    Then task "qadri.a/0" is "claimed" as attempt 2 at "s2"

  Scenario: A group that is appended twice is applied once
    # Guards against running a finished job again when a group is re-appended
    # after a lost acknowledgement.
    When these records are applied
      | writer | record                  | verdict  |
      | a      | accept qadri.a 1        | valid    |
    And the last group is applied again
    Then its verdicts are "repeated"
    And offset 0 is not applied twice

  Scenario: A refuted suspicion cannot end an attempt
    # Guards against starting a task twice on a delayed lapse that refers to a
    # refuted suspicion.
    When these records are applied
      | writer | record                         | verdict                 |
      | a      | accept-lost-after qadri.a 1    | valid                   |
      | a      | claim qadri.a/0 1 s1           | valid                   |
      | b      | lapse qadri.a/0 1 s1 2         | attempt is not suspected |
      | b      | suspect qadri.a/0 1            | valid                   |
      | c      | suspect qadri.a/0 1            | suspicion unchanged     |
      | a      | alive qadri.a/0 1              | valid                   |
      | b      | lapse qadri.a/0 1 s1 3         | attempt is not suspected |
      | c      | suspect qadri.a/0 1            | valid                   |
      | b      | lapse qadri.a/0 1 s1 3         | suspicion stands at 7   |
      | c      | lapse qadri.a/0 1 s1 7         | valid                   |
    Then task "qadri.a/0" is "pending" as attempt 1 at "s1"

  Scenario: Only the owner can cancel a job, and tasks of a cancelled job cannot be claimed
    When these records are applied
      | writer | record                    | verdict               |
      | a      | accept qadri.a 2          | valid                 |
      | a      | claim qadri.a/0 1 s1      | valid                 |
      | a      | cancel qadri.a svatbena   | job of another member |
      | a      | cancel qadri.a qadri      | valid                 |
      | a      | claim qadri.a/1 1 s1      | job cancelled         |
      | a      | end qadri.a/0 1 s1 stopped | valid                |
    Then job "qadri.a" is finished with 0 done, 0 failed, 2 cancelled

  Scenario: A finished job is not accepted again
    When these records are applied
      | writer | record                  | verdict   |
      | a      | accept qadri.a 1        | valid     |
      | a      | claim qadri.a/0 1 s1    | valid     |
      | a      | end qadri.a/0 1 s1 done | valid     |
      | b      | accept qadri.a 1        | duplicate |
    And 2001 more jobs finish
    And these records are applied
      | writer | record                  | verdict   |
      | b      | accept qadri.a 1        | duplicate |

  Scenario: A task that fails on four servers is marked as failed
    When these records are applied
      | writer | record                      | verdict |
      | a      | accept qadri.a 1            | valid   |
      | a      | claim qadri.a/0 1 s1        | valid   |
      | a      | end qadri.a/0 1 s1 failed x | valid   |
      | a      | claim qadri.a/0 2 s2        | valid   |
      | a      | end qadri.a/0 2 s2 failed x | valid   |
      | a      | claim qadri.a/0 3 s3        | valid   |
      | a      | end qadri.a/0 3 s3 failed x | valid   |
      | a      | claim qadri.a/0 4 s4        | valid   |
      | a      | end qadri.a/0 4 s4 failed x | valid   |
    Then job "qadri.a" is finished with 0 done, 1 failed, 0 cancelled

  Scenario: A snapshot restores the state, and its encoding is deterministic
    Given a state with tasks in every stage
    When the state is written as a snapshot and restored
    Then both states apply further records identically
    And the snapshot of the restored state has the same bytes

  Scenario: Incomplete, interleaved and corrupt snapshots are ignored
    # Guards against restoring an inconsistent state when a writer stops between
    # chunks or two writers interleave their chunks.
    Given a state with tasks in every stage
    When chunks of two large snapshots are interleaved and the newer one is incomplete
    Then the assembler returns the older snapshot
    When the missing chunk is added with a corrupt payload
    Then the assembler returns the older snapshot
    When all chunks of the newer snapshot are added
    Then the assembler returns the newer snapshot

  Scenario: A snapshot cannot cover more than the state it contains
    Given a state with tasks in every stage
    Then a snapshot that covers one more offset is rejected

  # Guards against a rolling restart of two versions that stops the reader of the
  # older one.
  Scenario: A snapshot of a later version is ignored
    Given a snapshot, and a newer one with a task stage of a later version
    Then the assembler returns the older snapshot
