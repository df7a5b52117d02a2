Feature: records in the store that can't be read

  Scenario Outline: a record of ours can't be read
    # Guards against owners that end, one after the other, with a record that they can't read.
    Given a shard with 3 daemons and 4 servers
    When a job of 2 steps is submitted
    And 5 s pass
    And the record "<key>" of the topic "<topic>" is <content>
    And the owner is killed
    And 4 s pass
    And a job of 2 steps is submitted
    And 5 s pass
    Then there is one owner
    And the shard has changed hands once
    And the job is shown as completed by every daemon
    And one line tells that the record can't be read
    And nothing was breached

    Examples:
      | topic   | key                     | content         |
      | intake  | job/00000000000000ff    | cut short       |
      | intake  | job/00000000000000ff    | of another type |
      | journal | 00000000000000ff.zero.0 | cut short       |
      | journal | ended/00000000000000ff  | of another type |
      | journal | effects                 | cut short       |
      | journal | effects                 | of another type |
      | journal | something else          | cut short       |

  Scenario Outline: a step's row can't be read
    # Guards against a task that runs twice, as the run that the row tells of is not known.
    Given a shard with 3 daemons and 4 servers
    When a long job is submitted
    And 1 s pass
    And the record of the job's step is <content>
    And the owner is killed
    And 4 s pass
    Then nothing of the job was started again
    And one line tells that the record can't be read
    And nothing was breached

    Examples:
      | content               |
      | cut short             |
      | of another type       |
      | of more tasks than it |

  Scenario: the owner's heartbeat can't be read
    # Guards against daemons that stand by no more, or claim in turn.
    Given a shard with 3 daemons and 4 servers
    When the record "owner" of the topic "owners" is of another type
    And 1 s pass
    And the owner is killed
    And 6 s pass
    And a job of 2 steps is submitted
    And 5 s pass
    Then there is one owner
    And the job is shown as completed by every daemon
