Feature: Fold of a failure domain's stream
  The first valid record in offset order wins; all daemons reach one state.

  Scenario: Of two claims of one attempt the first wins
    # Symptom prevented: a task runs on two servers. Two daemons claim the same
    # attempt at once. Cause: neither knows of the other's append.
    When these records are folded
      | writer | record                  | verdict             |
      | a      | accept qadri.a 2        | valid               |
      | a      | claim qadri.a/0 1 s1    | valid               |
      | b      | claim qadri.a/0 1 s2    | task is claimed     |
      | b      | claim qadri.a/0 2 s2    | task is claimed     |
      | b      | claim qadri.a/1 2 s2    | attempt must be 1   |
    Then task "qadri.a/0" is "claimed" as attempt 1 at "s1"

  Scenario: An attempt ends once, only where it was claimed
    When these records are folded
      | writer | record                        | verdict                               |
      | a      | accept qadri.a 1              | valid                                 |
      | a      | claim qadri.a/0 1 s1          | valid                                 |
      | a      | end qadri.a/0 1 s2 done       | attempt is not claimed there, or is over |
      | a      | end qadri.a/0 1 s1 vanished   | how must be one of                    |
      | a      | end qadri.a/0 1 s1 failed     | valid                                 |
      | b      | end qadri.a/0 1 s1 done       | attempt is not claimed there, or is over |
    Then task "qadri.a/0" is "pending" as attempt 1 at "s1"

  Scenario: Evicted work resumes exactly once, from its last checkpoint
    When these records are folded
      | writer | record                               | verdict                  |
      | a      | accept qadri.a 1                     | valid                    |
      | a      | claim qadri.a/0 1 s1                 | valid                    |
      | a      | end qadri.a/0 1 s1 checkpointed c1   | valid                    |
      | b      | claim qadri.a/0 2 s2                 | resume_from must be 'c1' |
      | b      | claim qadri.a/0 2 s2 c1              | valid                    |
      | a      | claim qadri.a/0 2 s1 c1              | task is claimed          |
    Then task "qadri.a/0" is "claimed" as attempt 2 at "s2"

  Scenario: A group that lands twice counts once
    # Symptom prevented: a job that finished and was forgotten runs again. The
    # acknowledgement of an append was lost, the writer appended the group again,
    # and the first copy landed long after. Cause: the log may be late.
    When these records are folded
      | writer | record                  | verdict  |
      | a      | accept qadri.a 1        | valid    |
    And the last group is folded again
    Then its verdicts are "repeated"
    And offset 0 is not applied twice

  Scenario: A suspicion that was answered cannot end the attempt later
    # Symptom prevented: a task runs twice. Its server was out of contact, its
    # holder objected to the suspicion, and the end that rested on that suspicion
    # landed after a second suspicion. Cause: an end that names no suspicion.
    When these records are folded
      | writer | record                         | verdict                 |
      | a      | accept-losable qadri.a 1       | valid                   |
      | a      | claim qadri.a/0 1 s1           | valid                   |
      | b      | lapse qadri.a/0 1 s1 2         | attempt is not suspected |
      | b      | suspect qadri.a/0 1            | valid                   |
      | c      | suspect qadri.a/0 1            | nothing to mark         |
      | a      | alive qadri.a/0 1              | valid                   |
      | b      | lapse qadri.a/0 1 s1 3         | attempt is not suspected |
      | c      | suspect qadri.a/0 1            | valid                   |
      | b      | lapse qadri.a/0 1 s1 3         | suspicion stands at 7   |
      | c      | lapse qadri.a/0 1 s1 7         | valid                   |
    Then task "qadri.a/0" is "pending" as attempt 1 at "s1"

  Scenario: Only the owner cancels, and a cancelled task is not claimed
    When these records are folded
      | writer | record                    | verdict               |
      | a      | accept qadri.a 2          | valid                 |
      | a      | claim qadri.a/0 1 s1      | valid                 |
      | a      | cancel qadri.a svatbena   | job of another member |
      | a      | cancel qadri.a qadri      | valid                 |
      | a      | claim qadri.a/1 1 s1      | job cancelled         |
      | a      | end qadri.a/0 1 s1 stopped | valid                |
    Then job "qadri.a" is finished with 0 done, 0 failed, 2 cancelled

  Scenario: A finished job is not run again
    When these records are folded
      | writer | record                  | verdict   |
      | a      | accept qadri.a 1        | valid     |
      | a      | claim qadri.a/0 1 s1    | valid     |
      | a      | end qadri.a/0 1 s1 done | valid     |
      | b      | accept qadri.a 1        | duplicate |
    And 2001 more jobs finish
    And these records are folded
      | writer | record                  | verdict   |
      | b      | accept qadri.a 1        | duplicate |

  Scenario: A task that fails on four servers is given up with its reason
    When these records are folded
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

  Scenario: A snapshot restores the state, and equal states give equal bytes
    Given a state with jobs in every stage
    When it is written as a snapshot and restored
    Then both states go on alike
    And the snapshot of the restored state has the same bytes

  Scenario: Torn, mixed and corrupt snapshots are passed over
    # Symptom prevented: a new VM starts from a state that never was. A writer
    # died between chunks, or two wrote at once. Cause: chunks of one snapshot
    # are separate entries of the log.
    Given a state with jobs in every stage
    When the chunks of two large snapshots come mixed, the newer one torn
    Then the assembler gives the older one
    When the missing chunk comes corrupt
    Then the assembler gives the older one
    When the missing chunk comes whole
    Then the assembler gives the newer one

  Scenario: A snapshot cannot claim to cover more than it does
    Given a state with jobs in every stage
    Then a snapshot that claims one offset more is refused
