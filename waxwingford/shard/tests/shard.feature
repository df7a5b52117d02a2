Feature: a shard has one owner at a time and loses nothing

  Scenario: a job of two steps is completed
    Given a shard with 3 daemons and 4 servers
    When a job of 2 steps is submitted
    And 6 s pass
    Then every daemon reports the job as completed
    And no invariant was violated

  Scenario: the last task ends on a server are acknowledged
    # Guards against task ends that an idle server keeps listing because no
    # later poll acknowledges them.
    Given a shard with 3 daemons and 4 servers
    When a job of 2 steps is submitted
    And 6 s pass
    Then every daemon reports the job as completed
    And all ends have been acknowledged

  Scenario: the owner is killed while tasks run
    # Guards against a successor that judges running tasks before it has polled
    # the servers under its own fencing token.
    Given a shard with 3 daemons and 4 servers
    When a job of 2 steps is submitted
    And 0.4 s pass
    And the owner is killed
    And 4 s pass
    Then there is one owner
    When 6 s pass
    Then every daemon reports the job as completed
    And each task was started at most once
    And no invariant was violated

  Scenario: a task hangs on its server, and its owner is killed
    # Guards against a successor that never detects a hung task because it does
    # not know the progress of inherited runs.
    Given a shard with 3 daemons and 4 servers
    When a server hangs
    And a job of 2 steps is submitted
    And 0.4 s pass
    And the owner is killed
    And 20 s pass
    Then every daemon reports the job as completed
    And no invariant was violated

  Scenario: a daemon with an outdated copy is asked while the shard has no owner
    # Guards against a daemon that takes the result of a single read for
    # everything that is stored.
    Given a shard with 4 daemons and 4 servers
    When a job of 2 steps is submitted
    And 4 s pass
    And the owner is killed
    Then every daemon reports the job as completed
    When 5 s pass
    And 6 jobs of 2 steps are submitted over 6 s
    And 4 s pass
    And the store returns at most 5 records per read
    And the owner is killed
    Then every daemon reports the job as completed

  Scenario: an owner is asked for a job that it has not read yet
    # Guards against an owner that denies an accepted job because one read did
    # not reach the end of the intake.
    Given a shard with 3 daemons and 4 servers
    When the store returns at most 5 records per read
    And 12 jobs are stored at once, bypassing the owner
    Then the owner knows the last one

  Scenario: several daemons suspect the owner at the same time
    # Guards against daemons that depose each other in turn because a claim
    # proceeds although another daemon has just claimed.
    Given a shard with 6 daemons and 4 servers
    When the owner is killed
    And 4 s pass
    Then there is one owner
    And the owner has changed once

  Scenario: owners die one after the other
    # Guards against a suspicion timeout that grows with each failover because
    # it includes the time without an owner.
    Given a shard with 5 daemons and 4 servers
    When 3 owners are killed, each 0.1 s after its takeover
    Then a successor took over within 1.4 s each time

  Scenario: an owner is deposed whose heartbeat is still the newest
    # Guards against a deposed owner that reclaims the shard because the first
    # heartbeat of its successor is stored late.
    Given a shard with 3 daemons and 4 servers
    When the store takes 0.4 s more for each call
    And 3 s pass
    And the store takes 0.9 s more for each call
    And 5 s pass
    And the store takes 0 s more for each call
    And 0.5 s pass
    And the owner is cut off from the store until another daemon has claimed
    And the first heartbeat of the new owner is stored after 3.3 s
    And a job of 2 steps is submitted
    And 8 s pass
    Then another daemon owns the shard
    And the owner has changed once
    And every daemon reports the job as completed
    And no invariant was violated

  Scenario: the store refuses the daemon that a caller asks
    # Guards against a job that is refused although other daemons reach the
    # store.
    Given a shard with 3 daemons and 4 servers
    When the store refuses a standby's calls
    And a job of 2 steps is submitted through that standby
    And 6 s pass
    Then every daemon reports the job as completed

  Scenario: the logs show the history of a job across a failover
    # Guards against a decision about a job that is not logged, or is logged
    # without the id of the job.
    Given a shard with 3 daemons and 4 servers
    When a job of 2 steps is submitted through a standby
    And 0.4 s pass
    And the owner is killed
    And 10 s pass
    Then the logs of all daemons show its events in this order
      | event         | daemon |
      | shard.claimed | first  |
      | job.known     | first  |
      | run.planned   | first  |
      | owner.lost    | other  |
      | shard.claimed | other  |
      | job.known     | other  |
      | run.settled   | other  |
      | run.planned   | other  |
      | job.ended     | other  |
    And its submission was logged by a daemon other than the first owner
    And each run that was planned was settled

  Scenario: the owner resigns
    Given a shard with 3 daemons and 4 servers
    When the owner resigns
    And 0.5 s pass
    Then there is one owner

  Scenario: the owner resigns while a heartbeat is in flight
    # Guards against a resignation that is sent under the heartbeat's sequence
    # number, so that the store acknowledges but does not store it.
    Given a shard with 3 daemons and 4 servers
    When the store takes 0.3 s more for each call
    And 3 s pass
    And the owner resigns in the middle of a heartbeat
    Then the resignation is stored

  Scenario: a daemon whose claim has failed is stopped
    # Guards against a daemon that deposes the owner by resigning under the
    # higher epoch of its failed claim.
    Given a shard with 3 daemons and 4 servers
    When a standby's claim fails and it resigns
    And 3 s pass
    Then the owner has never changed

  Scenario: the owner resigns during its takeover
    # Guards against an owner that goes on with the takeover after it has
    # resigned.
    Given a shard with 3 daemons and 4 servers
    When the store takes 0.3 s more for each call
    And the owner is killed
    And the next owner resigns as soon as it has claimed
    And 12 s pass
    Then there is one owner
    And the resigned daemon does not own the shard

  Scenario: a daemon is stopped before its claim is answered
    # Guards against heartbeats of a stopped daemon that prevent claims, because
    # its own claim was not answered yet when it was stopped.
    Given a shard with 3 daemons and 4 servers
    When the store takes 0.3 s more for each call
    And 3 s pass
    And the owner resigns
    And a standby resigns while its claim is in flight
    And 3 s pass
    Then there is one owner
    And the resigned daemon does not own the shard
    And its last heartbeat is a resignation

  Scenario: a cancelled job is stopped although its owner is killed at once
    # Guards against tasks that run on because the successor reads the
    # cancellation before the rows of the job.
    Given a shard with 3 daemons and 4 servers
    When a long-running job is submitted
    And 1 s pass
    And the owner is killed just before the job is cancelled
    And 5 s pass
    Then nothing of the job runs
    And every daemon reports the job as cancelled
    And no invariant was violated

  Scenario: the owner is cut off from the store and its servers
    # Guards against an owner that still starts tasks after it has been deposed.
    Given a shard with 3 daemons and 4 servers
    When a job of 2 steps is submitted
    And the owner is cut off from the store for 5 s
    And 6 s pass
    Then there is one owner
    And every daemon reports the job as completed
    And no invariant was violated

  Scenario: the owner is cut off from most servers but not from the store
    # Guards against an owner that stays, while leases expire on servers that
    # other daemons reach.
    Given a shard with 3 daemons and 6 servers
    When a job of 24 tasks of 9 s is submitted
    And 4 s pass
    And the owner is cut off from all servers but one
    And 4 s pass
    Then another daemon owns the shard
    When 12 s pass
    Then every daemon reports the job as completed
    And each task was started at most once
    And no invariant was violated

  Scenario: an owner gets no answer to its reads of the intake
    # Guards against an owner that waits for the intake without a limit, while
    # its heartbeats prevent claims.
    Given a shard with 3 daemons and 4 servers
    When a long job is submitted
    And 1 s pass
    And the owner is killed
    And the next owner gets no answer to its reads of the intake
    And 6 s pass
    Then another daemon owns the shard
    When 14 s pass
    Then every daemon reports the job as completed
    And the owner has changed twice
    And no invariant was violated

  Scenario: an owner that could not read the intake leaves the shard to others
    # Guards against a daemon that claims the shard again right after it
    # resigned because it could not read the intake.
    Given a shard with 2 daemons and 4 servers
    When the owner is killed
    And the next owner gets no answer to its reads of the intake
    And 6 s pass
    And the daemon that was killed is started again
    And 1 s pass
    Then another daemon owns the shard

  Scenario: an owner slowly reads a long intake
    # Guards against an owner that resigns although its reads of the intake make
    # progress.
    Given a shard with 3 daemons and 4 servers
    When 400 cancellations are stored in the intake
    And the owner is killed
    And each read of the intake by the next owner takes 1 s more
    And 12 s pass
    Then there is one owner
    And the owner has changed once

  Scenario: a server stops answering and its leases expire
    # Guards against a second run of a task whose server is unreachable but
    # still holds a lease.
    Given a shard with 2 daemons and 4 servers
    When a long job is submitted
    And 1 s pass
    And a server with tasks is cut off
    And 3 s pass
    Then no invariant was violated
    When 30 s pass
    Then every daemon reports the job as completed
    And no invariant was violated

  Scenario Outline: tasks are placed on idle servers that have vanished
    # Guards against waiting for a lease to expire although the start order was
    # never sent.
    Given a shard with 3 daemons and 6 servers
    When 2 s pass
    And 3 idle servers vanish and connections to them fail after <connect_s> s
    And a long-running job is submitted
    And <span_s> s pass
    Then all 4 tasks of the job run on servers that are not cut off
    And no invariant was violated

    Examples:
      | connect_s | span_s |
      | 0         | 0.5    |
      | 0.5       | 1.2    |

  Scenario: the only server refuses connections for a moment
    # Guards against a server that is never polled again after it was marked as
    # silent.
    Given a shard with 3 daemons and 1 servers
    When 2 s pass
    And the next 2 starts are not sent
    And a long-running job is submitted
    And 1.5 s pass
    Then all 4 tasks of the job run on servers that are not cut off
    And no invariant was violated

  Scenario: a server is cut off, and then its owner is killed
    # Guards against a successor that waits for the longest possible lease
    # although the previous owner had stopped extending this one.
    Given a shard with 3 daemons and 6 servers
    When a long-running job is submitted
    And 1 s pass
    And a server with tasks is cut off
    And 2 s pass
    And the owner is killed
    And 10 s pass
    Then all 4 tasks of the job run on servers that are not cut off
    And no invariant was violated

  Scenario: a server leaves while nobody owns the shard
    # Guards against a wait for leases that restarts with each claim, although
    # only owners that sent heartbeats can have granted leases.
    Given a shard with 4 daemons and 6 servers
    When a long-running job is submitted
    And 1 s pass
    And a server with tasks leaves and the owner is killed
    And the next 2 owners are killed as soon as they have claimed
    And 9 s have passed since the server left
    Then all 4 tasks of the job run on servers that are not cut off
    And no invariant was violated

  Scenario Outline: owners are killed just after their first heartbeat
    # Guards against a first heartbeat that restarts the wait for leases
    # although its sender has extended none.
    Given a shard with 4 daemons and 6 servers
    When a long-running job is submitted
    And 1 s pass
    And a server with tasks leaves and the owner is killed
    And the next 2 owners are killed <later_s> s after their first heartbeat
    And 9 s have passed since the server left
    Then all 4 tasks of the job run on servers that are not cut off
    And no invariant was violated

    Examples:
      | later_s |
      | 0.001   |
      | 0.04    |
      | 0.2     |

  Scenario: an owner has not stored yet that it extends leases
    # Guards against a task that runs twice because leases are extended before
    # the heartbeat that says so is stored.
    Given a shard with 4 daemons and 6 servers
    When a long-running job is submitted
    And 1 s pass
    And the owner is killed, and the next one loses the store 0.04 s after its first heartbeat and alone reaches a server
    And 12 s pass
    Then no invariant was violated
    And there is one owner

  Scenario: a server is silent while owners follow each other
    # Guards against a successor that does not learn which leases the previous
    # owner had stopped extending.
    Given a shard with 4 daemons and 6 servers
    When a long-running job is submitted
    And 1 s pass
    And a server with tasks is cut off
    And 2 s pass
    And the owner is killed
    And 3 s pass
    And the owner is killed
    And 9 s have passed since the server left
    Then all 4 tasks of the job run on servers that are not cut off
    And no invariant was violated

  Scenario: a silent server answers again just before its owner is killed
    # Guards against extending a lease that the newest heartbeat reports as
    # about to expire.
    Given a shard with 4 daemons and 6 servers
    When a long-running job is submitted
    And 1 s pass
    And a server with tasks is cut off
    And 2.5 s pass
    And the server is reachable for 0.3 s, just after a heartbeat
    And the owner is killed
    And 12 s pass
    Then all 4 tasks of the job run on servers that are not cut off
    And no invariant was violated

  Scenario: a deposed owner still extends leases on a server that only it reaches
    # Guards against a successor that waits for the lease only, and not for the
    # greatest age of a proof of ownership.
    Given a shard with 4 daemons and 6 servers
    When a long-running job is submitted
    And 1 s pass
    And a server with tasks is cut off from all daemons but the owner
    And the owner is cut off from the store for 10 s
    And 3 s pass
    Then all 4 tasks of the job run on servers that are not cut off
    And no invariant was violated

  Scenario: the owner loses the store while starts are queued
    # Guards against a start that is sent without a recent proof of ownership,
    # with a lease that outlasts the wait of the successor.
    Given a shard with 3 daemons and 1 servers
    When each order to a server takes 2 s
    And a job of 8 tasks of 20 s is submitted
    And 0.1 s pass
    And the owner loses the store, the others lose the server, and another server joins
    And 14 s pass
    Then no invariant was violated

  Scenario: tickets expire while starts are queued
    # Guards against checking a ticket when a run is planned, and not when the
    # start is sent.
    Given a shard with 3 daemons and 1 servers
    And starts need tickets that are valid for 500 ms
    When each order to a server takes 0.15 s
    And a job of 8 tasks of 20 s is submitted
    And 5 s pass
    Then no start was without a valid ticket
    And all 8 tasks of the job run

  Scenario: an append takes longer than tickets are valid
    # Guards against starts that are retried with expired tickets while the
    # store is slow.
    Given a shard with 3 daemons and 1 servers
    And starts need tickets that are valid for 500 ms
    When the store takes 0.6 s more for each call
    And a job of 8 tasks of 20 s is submitted
    And 5 s pass
    And the store takes 0 s more for each call
    And 2 s pass
    Then no start was without a valid ticket
    And all 8 tasks of the job run

  Scenario: an owner logs which servers it waits for
    # Guards against a wait for leases that is logged only once it is over.
    Given a shard with 3 daemons and 6 servers
    When a long-running job is submitted
    And 1 s pass
    And a server with tasks leaves and the owner is killed
    And 3 s pass
    Then one log line tells that the owner waits for the server, and for how long

  Scenario: orders are carried out late
    # Guards against placing a task again without a stop order that the server
    # remembers.
    Given a shard with 2 daemons and 4 servers
    When a quarter of the orders is carried out late
    And 6 jobs of 2 steps are submitted over 6 s
    And 60 s pass
    Then all jobs are completed
    And no invariant was violated

  Scenario: answers of the store are lost
    # Guards against taking an append without an answer for stored, or for not
    # stored.
    Given a shard with 3 daemons and 4 servers
    When a third of the appends get no answer, half of them applied late
    And 6 jobs of 2 steps are submitted over 6 s
    And 60 s pass
    Then all jobs are completed
    And no invariant was violated

  Scenario Outline: random faults
    # Guards against decisions that rest on an outcome that is not known.
    When a shard is simulated for 60 s with random faults and seed <seed>
    Then all jobs are completed
    And no invariant was violated

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
      | 7    |
      | 8    |

  Scenario Outline: random faults, with gangs, repetitions and hanging servers
    # Guards against jobs and timers that a successor loses.
    When a shard with jobs of all kinds is simulated for 60 s with seed <seed>
    Then all jobs are completed
    And all long-running tasks are running, except those of cancelled jobs
    And no stored job was reported as unknown
    And no invariant was violated

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
