Feature: copies of stragglers

  Scenario: the first end of two runs counts
    # Guards against jobs that wait for a slow server, a run that goes on beside the end
    # of the other, and a start after the end.
    Given a step with copies, of which a task runs on a slow server
    When 3000 ms pass with copies
    Then the slow task was started 2 times, on two servers
    And the job is completed
    And a stop of its slow run is ordered
    And the log tells of "run.copied", "copy.won"

  Scenario Outline: tasks that get no copy
    # Guards against copies that can't gain time, that take room from tasks that wait,
    # or that put the job at risk.
    Given a step with copies, of which a task runs on a slow server
    But <case>
    When 1700 ms pass with copies
    Then the slow task was started <starts> times

    Examples:
      | case                                          | starts |
      | copies are off                                | 1      |
      | all servers are as slow                       | 1      |
      | its step permits no copies                    | 1      |
      | a task of priority 0 waits                    | 1      |
      | a task of priority 2 waits                    | 2      |
      | the task has one attempt left                 | 1      |
      | the task may have crashed a server            | 1      |
      | all other servers are cold                    | 1      |
      | all other servers drain                       | 1      |
      | all other servers have failed runs            | 1      |
      | all other servers have failed its runs        | 1      |
      | its run is 0.5 times as fast                  | 1      |
      | few tasks are known, and the run goes on      | 1      |
      | few tasks are known, and the run stalls       | 2      |
      | few tasks are known, and the run stalls alone | 1      |

  Scenario Outline: several stragglers
    # Guards against copies that take much of a service's capacity.
    Given a step of 16 tasks with copies, and <others> tasks beside it
    Then at most <most> of its tasks have two runs at a time

    Examples:
      | others | most |
      | 1      | 1    |
      | 20     | 2    |

  Scenario Outline: one of two runs ends without success, or late
    # Guards against a third run beside the other one, attempts that count twice, and
    # checkpoints that are replaced by older ones.
    Given a copied task
    When <event>
    Then run <left> goes on, with <failures> failures and checkpoint "<checkpoint>"

    Examples:
      | event                                  | left | failures | checkpoint |
      | its second run ends as failed          | 1    | 1        | half       |
      | its first run ends as failed           | 2    | 1        | half       |
      | its second run ends as stopped         | 1    | 0        | half       |
      | the server of its copy is lost         | 1    | 0        | half       |
      | the server of its first run is lost    | 2    | 0        | half       |
      | its copy ends as stopped, further on   | 1    | 0        | further    |
      | the owner changes, and both are listed | 1    | 0        | half       |
      | the owner changes, and both are listed | 2    | 0        | half       |

  Scenario: both servers are lost
    # Guards against a task that waits for ever, or begins anew without its checkpoint.
    Given a copied task
    When the server of its copy is lost
    And the server of its first run is lost
    Then run 3 goes on, with 0 failures and checkpoint "half"

  Scenario: a new owner sees two runs end
    # Guards against a checkpoint that the slower run replaces by its older one.
    Given a copied task
    When the owner changes, and both are listed
    And the server of its first run is lost
    And its second run ends as stopped
    Then run 3 goes on, with 0 failures and checkpoint "half"

  Scenario Outline: ends that come together, late, or around a change of the owner
    # Guards against counting an end twice, a start after it, and a run that a new owner
    # leaves beside it.
    Given a copied task
    When <event>
    Then the task is done once, and a stop of what is left is ordered
    And the slow task was started 2 times

    Examples:
      | event                                         |
      | both of its runs end as done in one answer    |
      | the owner changes before an end of its copy   |
      | the owner changes after an end of its copy    |
      | its copy is given up, and then listed as done |

  Scenario: the first checkpoint of a copied task
    # Guards against a checkpoint that is discarded as older than none.
    Given a copied task without a checkpoint
    When its copy ends as stopped, with its first checkpoint
    Then run 1 goes on, with 0 failures and checkpoint "first"

  Scenario: a new owner sees a copy end that it has never listed
    # Guards against a new checkpoint that is replaced by the one with which the other
    # run was restored.
    Given a copied task
    When the owner changes, and its copy has ended as stopped with a checkpoint
    And the server of its first run is lost
    Then run 3 goes on, with 0 failures and checkpoint "further"

  Scenario Outline: many stragglers at a time
    # Guards against rounds whose work grows with the square of the stragglers.
    Then the work of a round with twice as many <kind> runs is at most 3 times as much

    Examples:
      | kind    |
      | stalled |
      | slow    |

  Scenario: long tasks that are listed in whole percent
    # Guards against copies of runs whose progress changes only every few seconds.
    Given a step of 4 tasks of 90000 ms with copies, listed in whole percent
    When 6000 ms pass with copies
    Then no task has two runs

  Scenario: a straggler whose step has no eligible server
    # Guards against stragglers that take all searches of each round.
    Given 5 stragglers that no other server can run, and one that gains less
    When 3000 ms pass with copies
    Then the slow task was started 2 times, on two servers

  Scenario: any course of events
    # Guards against a third run, and a start after an end that counts.
    Then no course of ends, losses and changes of owner starts a run too many

  Scenario Outline: a server drains
    # Guards against work that is lost although there was time to end it, or to begin it
    # elsewhere.
    Given a task of 4000 ms <kind> runs for 500 ms
    When its server drains, with <notice> ms left
    Then the run <outcome>

    Examples:
      | kind                | notice | outcome    |
      | without checkpoints | 5500   | goes on    |
      | without checkpoints | 2000   | is stopped |
      | without checkpoints | 0      | goes on    |
      | with checkpoints    | 5500   | goes on    |
      | with checkpoints    | 2000   | is stopped |
      | with checkpoints    | 0      | is stopped |

  Scenario Outline: a run without listed progress on a draining server
    # Guards against stops of runs that only restore, or whose progress is rounded to 0.
    Given a task of <length> ms is <kind>
    When its server drains, with <notice> ms left
    Then the run goes on

    Examples:
      | length | kind                    | notice |
      | 60000  | listed in whole percent | 90000  |
      | 2000   | restoring a checkpoint  | 5500   |

  Scenario: a server answers after its notice
    # Guards against stops that lose work although the server stays.
    Given a task of 4000 ms without checkpoints runs for 500 ms
    When its server drains, and answers after its notice has passed
    Then the run goes on

  Scenario: a notice is read again and again
    # Guards against a notice that begins anew with each look at the registration.
    Given a task of 4000 ms without checkpoints runs for 500 ms
    When its server drains, with 5500 ms left
    And its server is listed as before for 2000 ms, and its run gets slower
    Then the run is stopped

  Scenario Outline: a cold server
    # Guards against short tasks that are slow although other servers have room.
    Given 2 servers, of which one is cold for 5000 ms
    When <passed> ms pass, and 2 tasks are submitted that are <kind>
    Then the cold server gets <count> of them

    Examples:
      | passed | kind         | count |
      | 0      | short        | 0     |
      | 5000   | short        | 1     |
      | 0      | long-running | 1     |
