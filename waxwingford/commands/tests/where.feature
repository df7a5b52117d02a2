Feature: the command that explains where a job would go

  Scenario: the owner is asked
    # Guards against text without server, terms, reasons or tasks ahead.
    Given the owner of a shard with 3 servers, one of them draining, and a standby
    When a job of two steps is asked for at the owner
    Then it exits with 0 and prints these lines
      | line                                                             |
      | queue queue, service service, priority 0, asked d0               |
      | accepted now                                                     |
      | step 0: 4 short tasks                                            |
      | rank  server  rack  cost   utilisation                           |
      | 1     s1      r1    0.250  0.250                                 |
      | 2 of 3 servers fit; left out: 1 draining                         |
      | ahead: 0 tasks for the same service                              |
      | step 1: 2 best-effort tasks, after step 0                        |
    When a job of two steps is asked for at the owner as JSON
    Then it exits with 0 and prints the report of 2 steps

  Scenario: a standby is asked
    # Guards against a command that gives up, or asks without end, at a standby.
    Given the owner of a shard with 3 servers, one of them draining, and a standby
    When a job of two steps is asked for at the standby
    Then it exits with 0 and prints: asked d0
    When the owner has lost the shard
    And a job of two steps is asked for at the standby
    Then it exits with 1 and prints: retry after 1 s

  Scenario: the owner refuses jobs
    # Guards against a job that is told to be accepted while callers are refused.
    Given the owner of a shard with 3 servers, one of them draining, and a standby
    When the owner refuses best-effort jobs for 7 s
    And a job of two steps is asked for at the owner
    Then it exits with 0 and prints: refused for 7 s, until

  Scenario Outline: a file is wrong
    # Guards against a message without the file, the key and what is expected.
    Given the owner of a shard with 3 servers, one of them draining, and a standby
    When a job with <key> set to <value> is asked for at the owner
    Then it exits with 2 and prints: job.json: <key>: got <value>, expected <expected>

    Examples:
      | key   | value      | expected                |
      | queue | 'elsewhere' | one of queue            |
      | steps | 3          | a list of objects       |
      | fills | True       | one of job_id, queue    |

  Scenario: too many questions
    # Guards against questions that take more than 20 ms of the owner's second.
    Given the owner of a shard with 3 servers, one of them draining, and a standby
    When 3 questions take 8 ms each
    And a job of two steps is asked for at the owner
    Then it exits with 1 and prints: no more time for questions; retry after 1 s
    When a second has passed
    And a job of two steps is asked for at the owner
    Then it exits with 0 and prints: accepted now

  Scenario: nobody answers
    # Guards against a trace of an error where a daemon is down.
    Given the owner of a shard with 3 servers, one of them draining, and a standby
    When a job of two steps is asked for at an unused port
    Then it exits with 3 and prints: Cannot connect
