Feature: Audit of a run
  An audit that finds nothing proves something only if it finds what is there:
  each scenario breaks one invariant and expects its finding.

  Scenario: A run in which all is well has no findings
    Given a call "c1" that ended "refused, answered" and ran 1 times
    And attempt 1 of "t/0" ran on "s1" from 0 to 500 ms and ended "checkpointed"
    And attempt 2 of "t/0" ran on "s2" from 600 to 900 ms and ended "done"
    When the run is audited
    Then the findings are ""

  Scenario Outline: Calls
    Given a call "c1" that ended "<outcomes>" and ran <runs> times
    When the run is audited
    Then the findings are "<findings>"

    Examples:
      | outcomes         | runs | findings           |
      | answered         | 2    | key_ran_twice      |
      | foreign          | 1    | foreign_answer     |
      | refused, refused | 1    | false_refusal      |
      | unreachable      | 1    | false_refusal      |
      | refused, unknown | 1    |                    |
      | unknown          | 0    |                    |
      | answered         | 0    | answer_without_run |

  Scenario: A task in two places
    Given attempt 1 of "t/0" ran on "s1" from 0 to 500 ms and ended "lapsed"
    And attempt 2 of "t/0" ran on "s2" from 499 to 900 ms and ended "done"
    When the run is audited
    Then the findings are "task_in_two_places"

  Scenario: An attempt that was started on two servers
    Given attempt 1 of "t/0" ran on "s1" from 0 to 500 ms and ended "lapsed"
    And attempt 1 of "t/0" ran on "s2" from 600 to 900 ms and ended "done"
    When the run is audited
    Then the findings are "attempt_started_twice"

  Scenario: A task that was done twice
    Given attempt 1 of "t/0" ran on "s1" from 0 to 500 ms and ended "done"
    And attempt 2 of "t/0" ran on "s2" from 600 to 900 ms and ended "done"
    When the run is audited
    Then the findings are "task_done_twice"

  Scenario: An evicted task that starts afresh lost its work
    Given attempt 1 of "t/0" ran on "s1" from 0 to 500 ms and ended "checkpointed"
    And attempt 2 of "t/0" ran afresh on "s2" from 600 to 900 ms
    When the run is audited
    Then the findings are "resumed_from_elsewhere"

  Scenario: A job that was accepted and is not in the log
    Given the job "m.j" was accepted and is not in the log
    When the run is audited
    Then the findings are "job_lost"

  Scenario: Work that the log calls done and no server ran
    Given the log says that 1 task of "t" is done
    When the run is audited
    Then the findings are "done_without_run"

  Scenario: Work on a server that began to leave long ago
    Given server "s1" got work 9000 ms after it began to leave
    When the run is audited
    Then the findings are "work_on_leaving_server"
