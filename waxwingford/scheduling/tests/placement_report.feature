Feature: explanations where a job would go

  Scenario Outline: a server is left out
    # Guards against a server that is shown though placement leaves it out, and
    # against a wrong reason.
    Given an engine with 3 servers of 8 cores to be explained
    When the first server is <state>
    And a <kind> job is explained
    Then its step leaves out <count> for "<reason>", and 3 servers in all are counted

    Examples:
      | state                    | kind        | count | reason                  |
      | of another service       | short       | 1     | service                 |
      | without a label          | labelled    | 1     | label                   |
      | draining                 | short       | 1     | draining                |
      | evacuated                | short       | 1     | evacuated               |
      | silent                   | short       | 1     | silent                  |
      | withheld                 | short       | 1     | leases withheld         |
      | running unknown runs     | short       | 1     | unknown runs            |
      | backed off               | short       | 1     | refused a start         |
      | excluded                 | short       | 1     | excluded                |
      | slow to answer           | short       | 1     | unanswered starts       |
      | without CPU              | short       | 1     | cpu                     |
      | without memory           | short       | 1     | memory                  |
      | like the others          | accelerated | 3     | accelerators            |
      | reserved                 | short       | 1     | reserved                |
      | kept for a suspect       | short       | 1     | kept for a crash suspect |
      | over its latency target  | best-effort | 1     | interference            |
      | like the others          | advised     | 3     | ticket                  |
      | on another rack          | gang        | 1     | rack                    |

  Scenario: a job of two steps is explained, then submitted
    # Guards against explanations that differ from the placement that follows, and
    # against terms that don't add up to the cost.
    Given an engine with 3 servers of 8 cores to be explained
    When a job of two steps near the data on rack "r1" is explained and submitted
    Then its first task starts on the chosen server
    And each cost is the sum of its terms
    And the second step is explained as if the first one were done

  Scenario: a gang that doesn't fit
    # Guards against a gang that is told to fit as each of its members does.
    Given an engine with 3 servers of 8 cores to be explained
    When a gang of 7 tasks of 4 cores is explained
    Then 6 of 7 members fit, and the gang does not

  Scenario: large gangs
    # Guards against a question that takes as long as its gangs have members.
    Given an engine with 3 servers of 8 cores to be explained
    When a job of 8 gangs of 200 tasks on one rack is explained
    Then places were searched for 400 members, and the report tells of the others

  Scenario Outline: a gang that prefers one rack
    # Guards against another place than the gang gets, as racks without room for all
    # members aren't tried.
    Given an engine with 3 servers of 8 cores to be explained
    When the first server is on another rack
    And a gang of <count> tasks of 4 cores on one rack is explained and submitted
    Then its members start on the shown servers

    Examples:
      | count |
      | 2     |
      | 4     |
      | 6     |

  Scenario: a step that lists an earlier one many times
    # Guards against a question that takes as long as the list, which changes nothing.
    When a job with 8000 duplicates of an earlier step is decoded
    Then its second step is after the first one, once

  Scenario Outline: a job is explained, then submitted, while room is reserved
    # Guards against explanations by another room, or other costs, than those of the
    # placement that follows.
    Given look-ahead is <switch>
    And <servers>
    When <waiting>
    And a <kind> step is explained, then submitted
    Then its first task starts on the server that was explained, "<server>"

    Examples:
      | switch | servers | waiting | kind | server |
      | on  | 2 servers of 16 cores that run a task of 12 cores and 5000 or 6000 ms | a long-running task of 14 cores has waited for 2000 ms | filling in   | s0   |
      | on  | 2 servers of 16 cores that run a task of 12 cores and 5000 or 6000 ms | a long-running task of 14 cores has waited for 2000 ms | too long     | s1   |
      | on  | 1 server of 16 cores that runs a task of 12 cores and 5000 ms | a long-running task of 14 cores has waited for 2000 ms | filling in   | s0   |
      | on  | 1 server of 16 cores that runs a task of 12 cores and 5000 ms | a long-running task of 14 cores has waited for 2000 ms | too long     | none |
      | on  | 1 server of 16 cores that runs a task of 12 cores and 5000 ms | a long-running task of 14 cores has waited for 2000 ms | long-running | none |
      | on  | 1 server of 16 cores that runs a task of 8 cores, 30000 MB and 3000 ms | 1 tasks of 4 cores, 50000 MB and 1000 ms are submitted | best-effort | none |

  Scenario: a question while a profile is outdated
    # Guards against a profile that is made for a question and used by later decisions.
    Given look-ahead is on
    And 1 server of 16 cores that runs a task of 12 cores and 5000 ms
    When a long-running task of 14 cores has waited for 2000 ms
    And a step is explained 300 ms after the latest decision
    Then the profiles of the latest decision are kept

  Scenario: other tasks are pending
    # Guards against counting tasks that come later, or of other services.
    Given an engine with 3 servers of 8 cores to be explained
    When 5 tasks wait that are urgent, 4 that aren't and 2 of another service
    And a wide job is explained
    Then 5 tasks are ahead of it

  Scenario Outline: one of two owners is asked
    # Guards against questions that alter later decisions: by caches, notes, tickets,
    # reservations or rotating selections.
    Given two engines with the same servers and events, and look-ahead <switch>
    When one of them is asked before each event
    Then both have decided, noted and stored the same

    Examples:
      | switch |
      | off    |
      | on     |

  Scenario: a large fleet and a large job
    # Guards against a question that takes the owner's time for as long as it is large.
    Given an engine with 1500 servers of 4 cores that registered together
    When a job of 500 steps is explained
    Then 8 steps and at most 800 servers were evaluated, which the report tells

  Scenario Outline: a job that is written wrongly
    # Guards against a key without effect, and a fault that names no place.
    When the job <document> is decoded
    Then its fault is: <fault>

    Examples:
      | document | fault |
      | { | (whole file): got Input data was truncated, expected a job as JSON |
      | [] | (whole file): got [], expected an object |
      | {"queue": 1} | queue: got 1, expected a string |
      | {"queue": "q"} | steps: got nothing, expected a list of objects |
      | {"queue": "q", "steps": [{"count": true}]} | steps[0].count: got True, expected an integer |
      | {"queue": "q", "steps": [], "fills": 1} | fills: got 1, expected one of job_id, queue, payload, steps, first_due_ms, every_ms, times |
      | {"queue": "q", "steps": [{"count": 1, "needs": {"processors_milli": 1}, "estimate_ms": 1}]} | steps[0].needs.memory_mb: got nothing, expected an integer |
      | {"queue": "q", "steps": [{"count": 1, "needs": {"processors_milli": 1, "memory_mb": 1}, "estimate_ms": 1, "after": [0]}]} | steps[0].after: got 0, expected no step |
      | {"queue": "q", "steps": [{"count": 15000, "needs": {"processors_milli": 1, "memory_mb": 1}, "estimate_ms": 1}, {"count": 15000, "needs": {"processors_milli": 1, "memory_mb": 1}, "estimate_ms": 1}]} | steps: got 30000 tasks, expected 1 to 20000 in all steps |
      | {"queue": "q", "steps": [{"count": 1, "needs": {"processors_milli": 1, "memory_mb": 1}, "estimate_ms": 1, "after": [true]}]} | steps[0].after: got [True], expected a list of integers |
