Feature: decisions of a shard's engine

  Scenario: a draining server gets no starts, and its long-running task moves
    # Guards against long-running tasks that are restarted only when the lease of a server that
    # has shut down expires.
    Given an engine with 2 servers of 8 cores
    And a running long-running job of 1 task
    When the server of the task drains
    Then a stop of the task is ordered
    When the server lists it as stopped
    Then the task is planned on the other server

  Scenario: a server drains between the placing and the start of a task
    # Guards against starts that were placed before a drain and are sent after it.
    Given an engine with 2 servers of 8 cores
    When a job of 1 task is placed, not sent yet
    And its server drains before the start is sent
    Then the start is not sent
    When 1 s pass in the engine
    Then the task is planned on the other server

  Scenario: a queue moves to another service between the placing and the start of a task
    # Guards against starts at a service that the queue has left.
    Given an engine with 2 servers of 8 cores
    And configuration 5 assigns the queue to service "service"
    When a job of 1 task is placed, not sent yet
    And the queue moves to another service before the start is sent
    Then the start is not sent
    When a server of that service registers
    And 1 s pass in the engine
    Then the task is planned on that server

  Scenario: a queue is removed between the placing and the start of a task
    # Guards against accepted jobs that never start, as their queue is removed.
    Given an engine with 2 servers of 8 cores
    And configuration 5 assigns the queue to service "service"
    When a job of 1 task is placed, not sent yet
    And the queue is removed before the start is sent
    Then the start is sent

  Scenario: a gang is placed as a whole or not at all
    # Guards against members of a gang that hold resources while they wait for others.
    Given an engine with 1 servers of 3 cores
    When a gang of 4 tasks of 1 core is submitted
    Then nothing is planned
    When another server of 3 cores registers
    Then 4 runs are planned under one run number

  Scenario: a gang that has lost a member is stopped
    Given an engine with 2 servers of 3 cores
    And a gang of 4 tasks of 1 core that runs
    When one member is refused by its server
    Then a stop of the 3 other members is ordered

  Scenario: a task that fails on every server fails its job after its last attempt
    # Guards against jobs that are retried for ever, or given up because of one bad server.
    Given an engine with 4 servers of 8 cores
    When a job is submitted whose task fails 3 times on different servers
    Then the job is reported as failed
    And it was placed on 3 different servers

  Scenario: a run whose lease expired is no failed attempt
    Given an engine with 4 servers of 8 cores
    When a job is submitted whose task loses its lease 5 times
    Then the job is reported as running

  Scenario: only best-effort tasks that harm other tasks are slowed
    # Guards against slowing all best-effort tasks on a server alike.
    Given an engine with 1 servers of 32 cores
    And a serving task with a target of 18 ms, beside best-effort tasks "calm" and "wild"
    When its tail latency is 7 ms with "calm" alone and 25 ms beside "wild", for 20 s
    Then "wild" was slowed to under 50 percent
    And "calm" runs at 100 percent at the end

  Scenario: an unexplained tail latency above its target halts all best-effort tasks
    # Guards against a serving task that misses its target beside images whose
    # interference is still unknown.
    Given an engine with 1 servers of 32 cores
    And a serving task with a target of 18 ms, beside best-effort tasks "calm" and "wild"
    When its tail latency is 30 ms for 2.5 s
    Then "calm" runs at 0 percent at the end
    And "wild" runs at 0 percent at the end

  Scenario: a slowed best-effort task moves to a server where it harms no task
    # Guards against best-effort tasks that stay slow on one server while others are idle.
    Given an engine with 1 servers of 32 cores
    And a serving task with a target of 18 ms, beside best-effort tasks "calm" and "wild"
    When its tail latency is 7 ms with "calm" alone and 40 ms beside "wild", for 10 s
    Then "wild" was slowed to under 31 percent
    And no stop is ordered
    When another server of 32 cores registers
    And its tail latency is 7 ms with "calm" alone and 40 ms beside "wild", for 3 s
    Then stops are ordered of "wild" only

  Scenario: a step that finds no server is noted with the reasons that exclude servers
    # Guards against jobs that wait without any log line.
    Given an engine with 2 servers of 8 cores
    When a job of 3 tasks of 6 cores is submitted and is pending for 2500 ms
    Then its wait was noted 2 times, with 2 servers excluded by "cpu"

  Scenario: a long-running task is not starved by short tasks after its run ends
    # Guards against placing short tasks first without a bound, and against giving freed
    # resources to smaller tasks before there is room for the long-running one.
    Given an engine with 3 servers of 8 cores
    And a running long-running job of 1 task of 6 cores
    When urgent tasks of 1 core and 700 ms need twice the cores there are
    And the run of the long-running task ends as stopped
    Then it is planned again within 5 s
    And short tasks were planned throughout

  Scenario: resources freed one by one are kept for an overdue long-running task
    # Guards against placing tasks that fit now in resources that the overdue task needs.
    Given an engine with 3 servers of 8 cores
    And a running long-running job of 1 task of 6 cores
    When urgent tasks of 1 core and 500 to 900 ms need twice the cores there are
    And the run of the long-running task ends as stopped
    Then it is planned again within 5 s

  Scenario Outline: overdue tasks that fit on no server delay no other overdue task
    # Guards against looking for a server for the first few overdue tasks only.
    Given an engine with 3 servers of 8 cores
    When a long-running job of <count> tasks of 9 cores is pending for 1 s
    And urgent tasks of 1 core and 500 to 900 ms need twice the cores there are
    And another long-running job of 1 task of 4 cores is submitted
    Then the other long-running job is planned within 5 s

    Examples:
      | count |
      | 1     |
      | 16    |
      | 80    |

  Scenario Outline: resources that will not become free soon are not reserved
    # Guards against reserving room for a long-running task on a server where a best-effort
    # or a long task holds it.
    Given an engine with 2 servers of 8 cores
    When a <kind> task of <cores> cores, <memory_mb> MB and 60 s runs
    And urgent tasks of 1 core and 500 to 900 ms need twice the cores there are
    And another long-running job of 1 task of 4 cores and 8000 MB is submitted
    Then the other long-running job is planned within 5 s

    Examples:
      | kind | cores | memory_mb |
      | best-effort | 1     | 26000     |
      | long | 5     | 1000      |

  Scenario: a long-running task that no server can hold blocks no other task
    # Guards against idle resources that are reserved for a task that never fits.
    Given an engine with 2 servers of 8 cores
    And a running long-running job of 2 tasks of 5 cores
    When a long-running job of 1 task of 4 cores is pending for 5 s
    And urgent tasks of 1 core and 700 ms need twice the cores there are
    Then all 6 cores beside the long-running tasks are in use

  Scenario: a run without progress is restarted on another server
    # Guards against jobs that never end because a server lists a stalled run.
    Given an engine with 2 servers of 8 cores
    And a job of 1 task that runs
    When it makes no progress for 3 s
    Then a stop of the task is ordered
    When the server lists it as stopped
    Then the task is planned on the other server

  Scenario: nothing starts on a server that lists unknown runs
    # Guards against exceeding the capacity of a server by a delayed start of a previous
    # owner.
    Given an engine with 1 servers of 8 cores
    When the server lists an unknown run
    And a job of 1 task is submitted
    Then nothing is planned
    And a stop of the unknown run is ordered

  Scenario: a start that was not sent is placed on another server at once
    # Guards against waiting for a lease that was never granted, and against further starts
    # on a server that has gone.
    Given an engine with 2 servers of 8 cores
    When a job of 1 task is submitted whose start is not sent
    Then the task is planned on the other server
    And no run is recorded on the first one
    And a second job of 4 tasks of 1 core is placed on the other server only
    When all servers answer a poll
    Then a third job of 4 tasks of 1 core is placed on the first one

  Scenario: a start without an answer is not placed on another server
    Given an engine with 2 servers of 8 cores
    When a job of 1 task is submitted whose start has no answer
    Then 1 run was planned in all
    And its first run may still be present

  Scenario: a gang is stopped if the start of a member was not sent
    # Guards against members of a gang that wait for one that never starts.
    Given an engine with 2 servers of 3 cores
    And a gang of 4 tasks of 1 core that runs
    When the start of one member was not sent
    Then a stop of the 3 other members is ordered

  Scenario: rare failures do not exclude a server
    # Guards against a failure score that grows with each failure of a long-running task, however
    # rare, until its servers are excluded.
    Given an engine with 2 servers of 8 cores
    And a running long-running job of 1 task
    When its run fails 5 times, 20 s apart
    Then it runs again within 1.3 s each time
    And a second job of 15 tasks of 1 core is planned at once

  Scenario: the last eligible servers are not excluded after failures
    # Guards against a long-running task that waits while the only servers with its label are
    # idle.
    Given an engine with 2 servers of 8 cores
    And 2 servers of 8 cores without the label
    And a running long-running job of 1 task that requires the label
    When its run fails 10 times, 1 s apart
    Then it runs again within 1.3 s each time

  Scenario: a server that has restarted in place gets labelled tasks once it is registered
    # Guards against starting a task on a server that came back without its label.
    Given an engine with 1 servers of 8 cores
    And a running long-running job of 1 task that requires the label
    When the server restarts in place and answers a poll
    And 2 s pass in the engine
    Then its task has 1 runs
    When the server is registered without the label
    And 2 s pass in the engine
    Then its task has 1 runs
    When the server is registered with the label
    And 1 s pass in the engine
    Then its task has 2 runs

  Scenario: a registration that is older than a restart in place
    # Guards against polling an idle server without a pause for an outdated registration.
    Given an engine with 1 servers of 8 cores
    When the server restarts in place and answers a poll
    And a registration with an earlier, unknown start is read
    Then the server is to be polled at once
    When all servers answer a poll
    And a registration with an earlier, unknown start is read
    Then the server is not to be polled at once

  Scenario: a poll of a former incarnation is answered by the next one
    # Guards against dropping the runs of an incarnation that is known already.
    Given an engine with 1 servers of 8 cores
    When the server restarts in place and answers a poll
    And a job of 1 task is submitted
    And a registration with a later start is read
    And all servers answer a poll
    And 1 s pass in the engine
    And the next incarnation answers a poll of the former one
    Then its task has 2 runs
    And its task runs

  Scenario: a start that a former incarnation has accepted
    # Guards against a task that waits for the stop of a run that ended with its server.
    Given an engine with 1 servers of 8 cores
    When the server restarts in place and answers a poll
    And a job of 1 task is submitted whose start is accepted late
    And a registration with a later start is read
    And the next incarnation answers a poll and lists no runs
    Then the former run is settled without a stop

  Scenario: a start that was stopped ends as done after a restart in place
    # Guards against repeating a task whose stopped start was carried out by the next
    # incarnation, which knows no stop.
    Given an engine with 1 servers of 8 cores that tell when they started
    When a job of 1 task is submitted whose start has no answer
    And the start is stopped, and its server lists no runs
    Then its task has 2 runs
    When its server restarts in place and lists the first run as done
    Then the job is reported as completed

  Scenario: stopped starts that fail after a restart in place count as attempts
    # Guards against exceeding the number of attempts.
    Given an engine with 1 servers of 8 cores that tell when they started
    When a job of 1 task is submitted whose start has no answer
    And the start is stopped, and its server lists no runs
    And its server restarts in place and lists the first run as failed
    Then the task has failed 1 times

  Scenario: the last server with room for a long-running task is not excluded after failures
    # Guards against counting servers full of other long-running tasks as alternatives.
    Given an engine with 2 servers of 8 cores
    And a running long-running job of 2 tasks of 5 cores
    When its run fails 6 times, 1 s apart
    Then it runs again within 1.3 s each time

  Scenario: a server on which every task fails gets few tasks
    # Guards against a broken server that attracts tasks because it always has room.
    Given an engine with 4 servers of 8 cores
    When urgent tasks of 700 ms arrive for 30 s and all fail on the first server
    Then at most 7 percent of them were placed there

  Scenario: restarts are limited on a broken server that is the only one with room
    # Guards against tasks that restart, and are stored, many times per second.
    Given an engine with 2 servers of 8 cores
    And a running long-running job of 1 task of 8 cores
    When a long-running job of 8 tasks is submitted, whose tasks all fail at once for 30 s
    Then they were started at most 300 times

  Scenario: a repetition starts when it is due
    Given an engine with 1 servers of 8 cores
    When a job is submitted that is due in 5 s, twice, 3 s apart
    Then nothing is planned
    When 6 s pass in the engine
    Then 1 run was planned in all
    When 3 s pass in the engine
    Then 2 runs were planned in all

  Scenario: a task of an advised queue starts only on a server with a ticket
    Given an engine with 2 servers of 8 cores
    And the queue is advised
    When a job of 1 task is submitted
    Then nothing is planned
    When the advice service grants a ticket for the second server only
    Then the task is planned on the second server
    And its start carries the ticket

  Scenario: a ticket that arrives for an ended job is ignored
    # Guards against an error that ends the owner of the shard.
    Given an engine with 2 servers of 8 cores
    And the queue is advised
    When a job of 1 task is submitted
    And the advice service is asked, and the job is cancelled and removed
    And the advice service grants a ticket for the second server afterwards
    Then nothing is planned

  Scenario: an older configuration that arrives late is ignored
    # Guards against placing tasks on the servers of a service that is no longer configured.
    Given an engine with 1 servers of 8 cores
    And configuration 5 assigns the queue to service "service"
    When configuration 4 arrives, which assigns it to service "other"
    And a job of 1 task is submitted
    Then 1 run was planned in all

  Scenario: a run that is being stopped still occupies its server
    # Guards against exceeding the capacity of a server before a stopped run has ended.
    Given an engine with 1 servers of 2 cores
    And a job of 1 task that runs
    When it makes no progress for 3 s
    And a second job of 2 tasks of 1 core is submitted
    Then 1 task of the second job is planned

  Scenario: the first lease on a server that was idle allows for clock drift
    # Guards against a lease that outlasts the time that a new owner waits for, so that a
    # task runs twice.
    Given an engine with 1 servers of 8 cores
    When a job of 1 task is submitted after 25 s without a poll
    Then its lease expires after 5 s at most, by a clock that is 2 percent slow

  Scenario: a pace is ordered again if the order got no answer
    # Guards against a best-effort task that harms a serving task after an order to slow it was lost.
    Given an engine with 1 servers of 32 cores
    And a serving task with a target of 18 ms, beside best-effort tasks "calm" and "wild"
    When its tail latency is 30 ms for 2.5 s
    And the order that slows "wild" has no answer
    And its tail latency is 30 ms for 1 s
    Then "wild" was ordered to slow down twice

  Scenario: a start that every server refuses as invalid is retried with increasing delays
    # Guards against sending an order that no server accepts many times per second.
    Given an engine with 4 servers of 8 cores
    When a job of 1 task is submitted whose starts are all refused as invalid, for 20 s
    Then it was started at most 20 times
    When 3 s pass in the engine
    Then its task runs

  Scenario: a late end as done completes the task
    # Guards against a task that is restarted although a server lists it as done.
    Given an engine with 1 servers of 8 cores
    When a job of 1 task is submitted
    And its server is silent until the lease expires, and then lists the run as done
    Then the job is reported as completed
    And the task was started 1 times

  Scenario: late ends as failed count as attempts
    # Guards against exceeding the number of attempts when servers were silent.
    Given an engine with 1 servers of 8 cores
    When a job of 1 task is submitted
    And its server is silent until the lease expires, and then lists the run as failed
    And its server is silent until the lease expires, and then lists the run as failed
    Then the job is reported as running
    When its server is silent until the lease expires, and then lists the run as failed
    Then the job is reported as failed
    And the task was started 3 times

  Scenario: a late end is counted by the next owner
    # Guards against attempts that are forgotten when the owner changes.
    Given an engine with 1 servers of 8 cores
    When a job of 1 task is submitted
    And its server is silent until the lease expires, and the owner changes
    And the server lists the run as failed
    And the server lists the next run as failed
    And the server lists the next run as failed
    Then the job is reported as failed
    And the task was started 3 times

  Scenario: an end that was already counted is ignored by the next owner
    # Guards against counting an attempt twice.
    Given an engine with 1 servers of 8 cores
    When a job of 1 task is submitted
    And the server lists the run as failed
    And the owner changes
    And all servers answer a poll
    And the server lists the next run as failed
    Then the job is reported as running

  Scenario: a repeated job that has ended is forgotten
    # Guards against a decision that takes longer with each repeated job of the day.
    Given an engine with 1 servers of 8 cores
    When a job is submitted that is due in 0 s, twice, 1 s apart
    And 1 s pass in the engine
    And the repeated job is cancelled
    Then no decision looks at the job any more
