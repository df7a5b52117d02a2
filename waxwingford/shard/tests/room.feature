Feature: every daemon refuses jobs that servers have no room for

  Scenario: the owner tells that there is no room
    # Guards against a refusal that says of a stored job that it doesn't run, and against
    # urgent jobs that are refused for work that is less urgent.
    Given a shard with 3 daemons and 4 servers
    And a best-effort job was accepted
    When the owner has no room for best-effort jobs for 4 s
    Then each daemon answers that the accepted job is stored
    And each daemon refuses a new best-effort job for 4 to 7 s, as there is no room
    And each daemon accepts an urgent job

  Scenario: the owner is lost while it refuses jobs
    # Guards against refusals for which nobody knows the reason any more.
    Given a shard with 3 daemons and 4 servers
    When the owner has no room for best-effort jobs for 4 s
    And the owner is lost for 1.1 s
    Then the other daemons accept a best-effort job

  Scenario: the store can't be read
    # Guards against a refusal of a job that an earlier attempt may have stored.
    Given a shard with 3 daemons and 4 servers
    When the owner has no room for best-effort jobs for 4 s
    And a daemon that stands by can't read the intake
    Then it stores a best-effort job through the owner

  Scenario: an earlier attempt through the same daemon is applied later
    # Guards against a refusal of a job whose append is still to be applied.
    Given a shard with 3 daemons and 4 servers
    And an attempt to store a best-effort job is applied 9 s after it, unanswered
    When the owner has no room for best-effort jobs for 4 s
    Then the daemon of that attempt doesn't refuse the job
    And the daemon of that attempt refuses a new best-effort job
    And 15 s later it refuses a job of such an attempt that was never applied

  Scenario Outline: the store doesn't tell whether a refused job is stored
    # Guards against a refusal of a job that an earlier attempt may have stored, and
    # against a question that outlasts the caller.
    Given a shard with 3 daemons and 4 servers
    When a daemon that stands by is to refuse jobs because of the <cause>
    And its view of the store <fault>
    Then it stores a best-effort job through the owner within 3 s

    Examples:
      | cause | fault            |
      | room  | can't be read    |
      | owner | can't be read    |
      | room  | doesn't catch up |
      | owner | doesn't catch up |

  Scenario: the store is lost while jobs are to be refused
    # Guards against a refusal of a job that an earlier attempt may have stored.
    Given a shard with 3 daemons and 4 servers
    When a daemon that stands by is to refuse jobs because of the room
    And its view of the store can't be read
    And neither the store nor the owner takes jobs from it
    Then it says of a best-effort job that it may be stored

  Scenario: the owner resigns
    # Guards against gauges of a former owner that look like those of the present one.
    Given a shard with 3 daemons and 4 servers
    When the owner shows the room of services, and resigns
    Then it shows no gauges of the room of services

  Scenario: heartbeats of other versions
    # Guards against daemons that can't read heartbeats of others during an update.
    Then a heartbeat without times for services refuses nothing
    And a heartbeat with such times is read by a version that doesn't know them

  Scenario Outline: times for many services
    # Guards against an owner that is deposed, as its heartbeat is too long.
    Given there is no room in <services> services whose names have 12 bytes
    Then the heartbeat tells the times of <told>

    Examples:
      | services | told |
      | 800      | 800  |
      | 801      | 800  |
