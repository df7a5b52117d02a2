Feature: the owner refuses jobs that it has no memory for

  Scenario: all daemons submit large jobs at once
    # Guards against an owner that is ended by what others accept for it, and against
    # a refusal of a job that is stored.
    Given a shard with 3 daemons and 4 servers
    When the owner has 2000000 bytes for jobs
    And each daemon submits 6 jobs of 300 tasks at once
    Then 4 of them are stored, and the others are refused with a time to come back
    And each daemon answers that a stored one is stored
    And each daemon stores a job of one task

  Scenario: a job that the owner could never keep
    # Guards against callers who come back for ever.
    Given a shard with 3 daemons and 4 servers
    When the owner has 2000000 bytes for jobs
    Then the owner rejects a job of 1500 tasks for good

  Scenario: the owner is out of memory while an earlier attempt is in doubt
    # Guards against a refusal of a job whose append is still to be applied.
    Given a shard with 3 daemons and 4 servers
    And an attempt to store a best-effort job is applied 9 s after it, unanswered
    When the owner has 1000 bytes for jobs
    Then the daemon of that attempt doesn't refuse the job

  Scenario: many jobs that have ended
    # Guards against an owner that is ended by jobs that are cancelled at once, whose
    # ends it keeps for ten minutes.
    Given a shard with 3 daemons and 4 servers
    When the owner has 150000 bytes for jobs
    And 200 jobs are submitted and cancelled, one after the other
    Then some of them were refused with a time to come back
