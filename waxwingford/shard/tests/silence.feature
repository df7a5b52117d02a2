Feature: what an owner concludes from a server that doesn't answer

  Scenario: the only server with a task stops answering
    # Guards against waiting for ever for a lost server because no other server is
    # asked, so that nothing tells whether the owner or its link is the cause.
    Given a shard with 3 daemons and 4 servers
    When a job of 1 tasks of 20 s is submitted
    And 8 s pass
    And a server with tasks is cut off
    And 10 s pass
    Then all 1 tasks of the job run on servers that are not cut off
    And no invariant was violated

  Scenario: a server stops answering while runs end on others
    # Guards against taking a poll that is answered early, because a run has ended, for
    # one that is answered late: lost runs would never start again on a busy fleet.
    Given a shard with 3 daemons and 8 servers
    When a job of 8 tasks of 60 s is submitted
    And 5 jobs with a task of 1.5 s are submitted per second for 4 s
    And a server with tasks is cut off
    And 5 jobs with a task of 1.5 s are submitted per second for 10 s
    Then all 8 tasks of the job run on servers that are not cut off
    And no invariant was violated

  Scenario: a server leaves along with the owner while all others are idle
    # Guards against waiting for an answer that tells whether silence counts where the
    # lost server has no registration, so that no server seems silent and none is asked.
    Given a shard with 3 daemons and 4 servers
    When a job of 1 tasks of 60 s is submitted
    And 8 s pass
    And a server with tasks leaves and the owner is killed
    And 12 s pass
    Then all 1 tasks of the job run on servers that are not cut off
    And no invariant was violated

  Scenario: one of many servers answers late
    # Guards against a single slow server that keeps the silence of all others from
    # counting.
    Given an owner that gets an answer each 0.5 s
    When for 5 s a server answers after 0.35 s each second beside 20 prompt answers
    Then silence counts

  Scenario: answers are late for their timeouts
    # Guards against leases that are withheld from servers that are well, as a server
    # that was named as silent gets none before the next heartbeat but one.
    Given an engine whose only server with a run is silent for 700 ms
    When leases are withheld while answers are late
    Then no server is named as silent
    When leases are withheld while answers are in time
    Then that server is named as silent
    When leases are withheld while answers are late
    Then that server is named as silent

  Scenario Outline: answers that come <when>
    # Guards against taking servers for lost whose answers wait in the owner's link.
    Given an owner that gets an answer each 0.5 s
    When these answers take <delay> s for <span> s
    Then silence <counts>

    Examples:
      | when        | delay | span | counts         |
      | in time     | 0.01  | 0.5  | counts         |
      | late        | 0.4   | 3    | doesn't count  |

  Scenario: answers are in time again
    # Guards against taking a server for lost by a poll that was sent while answers
    # were late.
    Given an owner that gets an answer each 0.5 s
    When these answers take 0.4 s for 3 s
    And these answers take 0.01 s for 1 s
    Then silence doesn't count
    When these answers take 0.01 s for 1.5 s
    Then silence counts
    When no answer comes for 2 s
    Then silence doesn't count

  Scenario: orders wait in the link
    # Guards against a window that grows while orders wait for longer than their
    # timeout, as the event loop is on time.
    Given an owner that gets an answer each 0.5 s
    When 20 orders to servers that take 0.05 s are answered after 0.06 s
    Then its usual lateness is 0 to 0.02 s
    When 40 orders to servers that take 0.05 s are answered after 0.3 s
    Then its usual lateness is 0.18 to 0.2 s
    When no answer comes for 3 s
    Then its usual lateness is 0 to 0.01 s

  Scenario Outline: the window of starts while decisions are far apart
    # Guards against a window that shrinks to next to nothing, or doesn't grow, because
    # its starts are answered before the next decision looks at it.
    Given an owner that decides each 0.25 s, and whose event loop is <lag> ms late
    When each of <rounds> decisions fills its window, and all starts are answered
    Then its window is <least> to <most> starts

    Examples:
      | lag | rounds | least | most |
      | 20  | 10     | 50    | 100  |
      | 150 | 4      | 4     | 8    |
