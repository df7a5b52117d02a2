Feature: heartbeats fit into records

  Scenario Outline: many servers don't answer
    # Guards against an owner that is deposed, as its heartbeat is too long.
    Given <servers> servers whose ids have <length> bytes, each with a task
    When none of them answers for a second
    Then the heartbeat names <listed> servers and has at most 120000 bytes
    And only the leases of the others are extended once all answer

    Examples:
      | servers | length | listed |
      | 10      | 19     | 10     |
      | 79      | 200    | 79     |
      | 80      | 200    | 80     |
      | 81      | 200    | 80     |
      | 1200    | 19     | 842    |

  Scenario: servers that are named stay named
    # Guards against leases that are extended while a stored heartbeat names them.
    Given 81 servers whose ids have 200 bytes, each with a task
    When the first of them answers, and the others don't for a second
    And after that heartbeat none of them answers for a second
    Then the heartbeat names the same servers as before

  Scenario: the previous owner named more servers than fit
    # Guards against a successor whose first heartbeat is rejected.
    Given a heartbeat of a previous owner that names 3000 servers
    When its successor has not extended any lease
    Then its heartbeat names 842 of them and has at most 120000 bytes

  Scenario Outline: jobs of many queues wait
    # Guards against an owner that is deposed, as its heartbeat is too long.
    Given jobs wait in <queues> queues whose names have 12 bytes
    Then the heartbeat <tells> how many, and has at most 120000 bytes

    Examples:
      | queues | tells        |
      | 680    | tells        |
      | 800    | tells        |
      | 801    | doesn't tell |
      | 20000  | doesn't tell |

  Scenario: any names of queues and servers
    # Guards against names that are counted by characters.
    Then a heartbeat with any names of queues and servers has at most 120000 bytes

  Scenario: heartbeats are rejected for a while
    # Guards against an owner that sends rejected heartbeats without a pause.
    Given a shard with 3 daemons and 4 servers
    When the store rejects all heartbeats of the owner for 1 s
    Then at most 5 heartbeats were rejected
    When a job of 2 steps is submitted
    And 20 s pass
    Then every daemon reports the job as completed
    And no invariant was violated

  Scenario: the counts of queues are too long for heartbeats
    # Guards against a count that other daemons don't get.
    Given a shard with 3 daemons and 1 servers
    When jobs wait in 900 queues whose names have 12 bytes
    Then each daemon counts 1 jobs in each of them
