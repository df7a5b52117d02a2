Feature: a list that an answer cuts is read to its end before absence counts

  Scenario Outline: a server has many ends to list, and the owner is killed
    # Guards against a new owner that takes done tasks for ones that never began,
    # as their ends aren't in its first list.
    Given a shard with 3 daemons, and <servers> servers with room for <tasks> tasks
    When <tasks> tasks are started that end together
    And the owner is killed <before_s> s before they end
    And 20 s pass
    Then each task was started at most once
    And all jobs are completed
    And all ends have been acknowledged
    And no invariant was violated

    Examples:
      | servers | tasks | before_s |
      | 1       | 499   | 0.1      |
      | 1       | 500   | 0.1      |
      | 1       | 501   | 0.1      |
      | 1       | 1700  | 0.1      |
      | 2       | 1300  | 0.1      |

  Scenario Outline: a server has many ends to list, and the owner goes on
    # Guards against stops of runs that have ended and aren't in the list yet.
    Given a shard with 3 daemons, and 1 servers with room for 1200 tasks
    When 1200 tasks are started that end together
    And <trouble>
    And 25 s pass
    Then each task was started at most once
    And all jobs are completed
    And no invariant was violated

    Examples:
      | trouble                                                           |
      | nothing happens                                                   |
      | the owner can't reach the servers for 2 s as they end             |
      | the owner can't store anything for 2 s as they end                |
      | the owner is killed as they end, and its successor 0.3 s later    |
      | the owner is killed as they end, and its successor 1.2 s later    |
      | the owner is killed as they end, and its successor 1.35 s later   |

  Scenario: stops and many ends
    # Guards against a stopped run that is taken for one that never began, as its end
    # isn't in the list.
    Given a shard with 3 daemons, and 1 servers with room for 1200 tasks
    When 1200 tasks are started that end together
    And half of their jobs are cancelled as they end
    And 20 s pass
    Then each task was started at most once
    And no invariant was violated

  Scenario: any lists of ends
    # Guards against a task that runs again after its end, in any order of events.
    Then no done task starts again, whatever servers list and owners follow
