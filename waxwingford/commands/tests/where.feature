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
    And it exits with 0 and prints: Z: the owner is overloaded

  Scenario: the owner refuses jobs for lack of room
    # Guards against a job that is told to be accepted while daemons refuse it as the
    # servers of its service have no room.
    Given the owner of a shard with 3 servers, one of them draining, and a standby
    When the servers have no room for 9 s
    And a job of two steps is asked for at the owner
    Then it exits with 0 and prints: refused for 9 s, until
    And it exits with 0 and prints: Z: the servers of service service have no room in time
    When a job of two steps is asked for at the owner as JSON
    Then it exits with 0 and prints: "refusal_cause": "room"

  Scenario Outline: the owner is of another version
    # Guards against a trace of an error, and against a report that isn't shown for
    # keys that it needn't know.
    Given the owner of a shard with 3 servers, one of them draining, and a standby
    When the owner answers with <change> of the report
    And a job of two steps is asked for at the owner
    Then it exits with <code> and prints: <text>

    Examples:
      | change              | code | text                |
      | a new key           | 0    | 2 of 3 servers fit  |
      | a new key of a step | 0    | 2 of 3 servers fit  |
      | no key "queue"      | 1    | unreadable answer: Object missing required field `queue` |
      | no key "gang"       | 1    | unreadable answer: Object missing required field `gang`  |
      | text as steps       | 1    | unreadable answer: Expected `array`, got `str`           |

  Scenario: an owner of another version rejects a job
    # Guards against a trace of an error.
    Given the owner of a shard with 3 servers, one of them draining, and a standby
    When the owner rejects a job with a new key and without "given"
    And a job of two steps is asked for at the owner
    Then it exits with 1 and prints: 400, expected a placement report

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
    # Guards against questions that take more than 20 ms of the owner's second, in the
    # long run as well: 24 ms are paid for in 1.2 s.
    Given the owner of a shard with 3 servers, one of them draining, and a standby
    When 3 questions take 8 ms each
    And a job of two steps is asked for at the owner
    Then it exits with 1 and prints: no more time for questions; retry after 2 s
    When 1100 ms have passed
    And a job of two steps is asked for at the owner
    Then it exits with 1 and prints: no more time for questions; retry after 1 s
    When 200 ms have passed
    And a job of two steps is asked for at the owner
    Then it exits with 0 and prints: accepted now

  Scenario: one question takes long
    # Guards against overruns that aren't paid for: one question of 200 ms in each
    # second would take a fifth of the owner.
    Given the owner of a shard with 3 servers, one of them draining, and a standby
    When 1 questions take 200 ms each
    And a job of two steps is asked for at the owner
    Then it exits with 1 and prints: no more time for questions; retry after 10 s
    When 9900 ms have passed
    And a job of two steps is asked for at the owner
    Then it exits with 1 and prints: no more time for questions; retry after 1 s
    When 200 ms have passed
    And a job of two steps is asked for at the owner
    Then it exits with 0 and prints: accepted now

  Scenario: the time is used while a job is explained
    # Guards against steps that are explained though no time is left for them.
    Given the owner of a shard with 3 servers, one of them draining, and a standby
    When 1 questions take 20 ms each
    Then it exits with 0 and prints: 1 later steps are not explained

  Scenario: nobody answers
    # Guards against a trace of an error where a daemon is down.
    Given the owner of a shard with 3 servers, one of them draining, and a standby
    When a job of two steps is asked for at an unused port
    Then it exits with 3 and prints: Cannot connect
