Feature: an owner whose link carries fewer bytes than its shard wants to send

  Scenario Outline: a task is done while the owner can't open a connection to its server
    # Guards against taking a server for lost because messages wait in the owner's own
    # link: its task is done, and is started again before that end is read.
    Given a shard with 1 daemons and 8 servers, on links of 250 KB a second
    When a job of 2 tasks of 3 s is submitted
    And 0.5 s pass
    And for 3 s messages wait 0.9 s in the owner's link <direction>
    And for 8 s messages wait 0.6 s in the owner's link <direction>
    And 10 s pass
    Then no task was started after a run of it was done
    And the job was completed by 2 starts

    Examples:
      | direction    |
      | to others    |
      | to the owner |

  Scenario Outline: connections can't be opened within 0.5 s to a server with long-running tasks
    # Guards against leases that are not extended, so that long-running tasks stop on
    # servers that are well, because messages wait in the owner's own link.
    Given a shard with 1 daemons and 8 servers, on links of 250 KB a second
    When a job of 2 long-running tasks is submitted
    And 0.5 s pass
    And for 3 s messages wait 0.9 s in the owner's link <direction>
    And for 10 s messages wait 0.6 s in the owner's link <direction>
    Then all 2 tasks of the job run, and no run has lost its lease

    Examples:
      | direction    |
      | to others    |
      | to the owner |

  Scenario Outline: more starts are wanted than the owner's link carries
    # Guards against orders that wait in the link for longer than their timeout, and
    # are doubted, stopped and repeated, and against servers taken for silent.
    Given a shard with 4 daemons and <servers> servers, on links of <rate> KB a second
    And a long-running task runs on each server
    When <jobs> jobs of 30 tasks with <payload> bytes each are submitted per second for <span> s
    Then no start was doubted or couldn't be sent
    And no server was taken for silent
    And each task was started at most once

    Examples:
      | servers | rate | jobs | payload | span |
      | 62      | 250  | 5    | 2000    | 20   |
      | 31      | 125  | 4    | 1000    | 10   |

  Scenario: more jobs are submitted than the owner's link carries the starts of
    # Guards against jobs that are accepted, and wait for seconds behind others in the
    # link, instead of being refused at once.
    Given a shard with 4 daemons and 31 servers, on links of 125 KB a second
    And a long-running task runs on each server
    When 4 jobs of 30 tasks with 2000 bytes each are submitted per second for 15 s
    Then some submissions were refused, each within 500 ms and with a time to come back
    And every accepted job is completed 15 s later
