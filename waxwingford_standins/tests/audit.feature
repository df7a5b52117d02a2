Feature: Audit of a run
  Each scenario violates one invariant and expects the corresponding finding.

  Scenario: A correct run has no findings
    Given a call "c1" that ended "refused, answered" and ran 1 times
    And attempt 1 of "t/0" ran on "s1" from 0 to 500 ms and ended "checkpointed"
    And attempt 2 of "t/0" ran on "s2" from 600 to 900 ms and ended "done"
    When the run is audited
    Then the findings are ""

  Scenario Outline: Responses that contradict the executions
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

  Scenario: Two attempts of a task overlap
    Given attempt 1 of "t/0" ran on "s1" from 0 to 500 ms and ended "lapsed"
    And attempt 2 of "t/0" ran on "s2" from 499 to 900 ms and ended "done"
    When the run is audited
    Then the findings are "task_in_two_places"

  Scenario: An attempt is started on two servers
    Given attempt 1 of "t/0" ran on "s1" from 0 to 500 ms and ended "lapsed"
    And attempt 1 of "t/0" ran on "s2" from 600 to 900 ms and ended "done"
    When the run is audited
    Then the findings are "attempt_started_twice"

  Scenario: A task completes twice
    Given attempt 1 of "t/0" ran on "s1" from 0 to 500 ms and ended "done"
    And attempt 2 of "t/0" ran on "s2" from 600 to 900 ms and ended "done"
    When the run is audited
    Then the findings are "task_done_twice"

  Scenario: An evicted task restarts without its checkpoint
    Given attempt 1 of "t/0" ran on "s1" from 0 to 500 ms and ended "checkpointed"
    And attempt 2 of "t/0" ran without a checkpoint on "s2" from 600 to 900 ms
    When the run is audited
    Then the findings are "resumed_from_elsewhere"

  Scenario: An accepted job is missing from the log
    Given the job "m.j" was accepted but is missing from the log
    When the run is audited
    Then the findings are "job_lost"

  Scenario: The log records a completed task that no server ran
    Given the log records that 1 task of "t" is done
    When the run is audited
    Then the findings are "done_without_run"

  Scenario: A server receives work long after it began to leave
    Given server "s1" received work 9000 ms after it began to leave
    When the run is audited
    Then the findings are "work_on_leaving_server"
