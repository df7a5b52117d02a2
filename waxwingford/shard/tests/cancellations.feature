Feature: nothing of a job starts after its cancellation was acknowledged

  Scenario Outline: a job is stored late, after its cancellation
    # Guards against a job that runs though its caller was told that it doesn't exist.
    Given a shard with 3 daemons and 4 servers
    When the store is to carry out the appends of a job <late_s> s late, unanswered
    And the job is submitted through a standby, and its caller leaves after <left_s> s
    And <event>
    And the job is cancelled through <daemon> until that is acknowledged
    And <later>
    And its late appends are carried out
    And 8 s pass
    Then no task was started
    And every daemon reports the job as cancelled
    And no invariant was violated

    Examples:
      | late_s | left_s | event                       | daemon           | later                       |
      | 6      | 3      | 0 s pass                    | that standby     | 0 s pass                    |
      | 6      | 3      | 0 s pass                    | the owner        | 0 s pass                    |
      | 6      | 3      | 0 s pass                    | another standby  | 0 s pass                    |
      | 6      | 0.8    | 0 s pass                    | another standby  | 0 s pass                    |
      | 6      | 3      | that standby is started anew | another standby | 0 s pass                    |
      | 6      | 3      | that standby is started anew | that standby    | 0 s pass                    |
      | 9      | 3      | 0 s pass                    | the owner        | the owner is killed         |
      | 9      | 3      | the owner is killed         | that standby     | 4 s pass                    |
      | 60     | 3      | 0 s pass                    | another standby  | all daemons are started anew |
      | 400    | 3      | 0 s pass                    | another standby  | 300 s pass                  |

  Scenario: a job is submitted again after its cancellation was acknowledged
    # Guards against a retry that overtakes the cancellation, or follows it, and runs.
    Given a shard with 3 daemons and 4 servers
    When a job that was never submitted is cancelled through each daemon
    And the job is submitted through each daemon
    And 5 s pass
    Then no task was started
    And every daemon reports the job as cancelled

  Scenario: a cancellation is repeated long after the first one
    # Guards against a row that is deleted by its age while it was just acknowledged.
    Given a shard with 3 daemons and 4 servers
    When a job that was never submitted is cancelled through each daemon
    And 590 s pass
    And the job is cancelled through the owner until that is acknowledged
    And 90 s pass
    And all daemons are started anew
    And 5 s pass
    And the job is submitted through each daemon
    And 5 s pass
    Then no task was started
    When 1300 s pass
    Then the intake has no rows
    And the owner remembers no ended job

  Scenario Outline: the cancellation of an unknown job can't be stored
    # Guards against an acknowledgement that no store keeps.
    Given a shard with 3 daemons and 4 servers
    When <fault>
    Then the cancellation of an unknown job isn't acknowledged by any daemon

    Examples:
      | fault                                               |
      | the store answers no call                           |
      | the store refuses all calls                         |
      | the store loses all appends of cancellations        |
      | the store carries all appends of cancellations out late |

  Scenario Outline: the store refuses a repeated submission
    # Guards against a refusal of a job that an earlier attempt is to store.
    Given a shard with 3 daemons and 4 servers
    When the store is to carry out the appends of a job 9 s late, unanswered
    And the job is submitted through a standby, and its caller leaves after 3 s
    And the store refuses all appends
    Then the job isn't refused by <daemon>

    Examples:
      | daemon       |
      | that standby |
      | the owner    |

  Scenario: many unknown jobs are cancelled at a time
    # Guards against a write to the store for each of them.
    Given a shard with 3 daemons and 4 servers
    When 400 unknown jobs are cancelled at once through all daemons
    Then all of them are acknowledged with at most 20 appends to the intake

  Scenario: more unknown jobs are cancelled than the owner has memory for
    # Guards against an owner that is ended by cancellations, and against jobs that are
    # refused for them.
    Given a shard with 3 daemons and 4 servers
    When the owner has 400000 bytes for jobs
    And 400 unknown jobs are cancelled at once through all daemons
    Then some cancellations were refused with a time to come back
    And the owner remembers at most 50 cancellations of unknown jobs
    And each daemon stores a job of one task
