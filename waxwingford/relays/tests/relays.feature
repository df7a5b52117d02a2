Feature: daemons that stand by carry out calls for the owner

  Scenario: the payload of a job is sent to a relay once
    # Guards against an owner whose link is full of the payload of a job, once for
    # each of its tasks.
    Given an owner and 1 relay
    When 20 tasks of a job with a payload of 1000 bytes are started
    Then 20 starts have reached the servers with that payload
    And the owner has sent less than 4000 bytes

  Scenario: the starts of a wide step are shared among relays
    # Guards against a relay whose own link is full of the starts of a wide step.
    Given an owner and 4 relays
    When 40 tasks of a job with a payload of 1000 bytes are started
    Then 40 starts have reached the servers with that payload
    And no relay has sent more than 13 of them

  Scenario: the outcome of each kind of call comes back as it was
    Given an owner and 1 relay
    When each kind of call is made, with each kind of outcome
    Then each outcome is the same as without a relay

  Scenario: a relay is lost with a call in progress
    # Guards against taking a lost relay for a crash of the server behind it.
    Given an owner and 1 relay whose servers don't answer
    When a task is started
    And the relay is lost
    Then the outcome of the start is unknown, and no crash of its server
    And the next call goes to the server directly

  Scenario: a relay doesn't answer
    # Guards against an owner that waits for a suspended relay, or goes on using it.
    Given an owner and 2 relays
    When the relay of a server is cut off
    And that server is polled
    Then the outcome is unknown after 1200 ms
    And that server is then polled directly
    And other calls go to the other relay

  Scenario: a relay is stopped as planned
    # Guards against calls that are lost with a relay that is about to stop.
    Given an owner and 1 relay whose servers answer after 300 ms
    When a task is started
    And the relay announces that it leaves
    Then the start is accepted
    And the next call goes to the server directly

  Scenario: a relay no longer has a payload
    # Guards against starting a task with the payload of none, or for ever failing to.
    Given an owner and 1 relay that keeps 2500 bytes of payloads
    When a task of each of 4 jobs with a payload of 1000 bytes is started
    And another task of the first job is started
    Then it has reached its server with its payload

  Scenario: the shard changes its owner
    # Guards against a relay that stays with a former owner.
    Given an owner and 1 relay
    When another daemon owns the shard
    And 1 s passes for relays
    Then the relay is connected to the new owner only

  Scenario Outline: a peer sends <what>
    # Guards against a daemon that a malformed frame of another version stops.
    Given an owner and 2 relays
    When a relay sends <what>
    Then its connection is closed, and the log says "frame"
    And calls go to the other relay

    Examples:
      | what                  |
      | no MessagePack        |
      | an unknown message    |
      | a frame of 9000000 bytes |
      | a message cut short   |

  Scenario Outline: a server's answer to a relay is odd
    # Guards against one server for which relays are lost, with all that they do.
    Given an owner and 1 relay
    When a server's poll answer <is odd>, and another one answers as usual
    Then the outcome of the first call is unknown, and that of the other known
    And the relay is still connected

    Examples:
      | is odd                                 |
      | raises an error                        |
      | has a clock that no message can hold   |
      | is longer than a frame may be          |

  Scenario: many long payloads at once
    # Guards against a frame that is too long because of its sum.
    Given an owner and 1 relay
    When 60 starts of jobs with payloads of 260000 bytes are sent at once
    Then all of them are carried out
    And the relay is still connected

  Scenario: frames that were changed at random
    # Guards against an exception that ends a daemon because of what another one sent.
    Then frames with random changes raise no error but that they can't be read

  Scenario Outline: when relays are used
    # Guards against relays that cost small fleets a hop, and against an owner whose
    # link is full, or whose event loop is late, while others stand by.
    Given a link of 2 Mbit/s
    When the owner sends <rate> bytes a second for 3 s with a lag of <lag> ms
    Then relays are <used>
    When the owner sends 1000 bytes a second for 20 s with a lag of 0 ms
    Then relays are not used

    Examples:
      | rate   | lag | used     |
      | 20000  | 1   | not used |
      | 90000  | 1   | used     |
      | 20000  | 60  | used     |
