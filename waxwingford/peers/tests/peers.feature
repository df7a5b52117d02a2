Feature: RPCs between daemons
  Only a failure to connect proves that a forwarded request was not executed.

  # Guards against reporting a lost reply as "not executed", after which the
  # caller retries and the request is executed twice.
  Scenario Outline: A failed forward is refused only if nothing was sent
    Given a peer daemon that <behaviour>
    When a request is forwarded to it
    Then the forwarded outcome is "<outcome>"

    Examples:
      | behaviour                       | outcome  |
      | answers                         | Answered |
      | is not running                  | Refused  |
      | receives the request and stops  | Unknown  |
      | receives the request and hangs  | Unknown  |
      | replies with another request id | Unknown  |

  # Guards against a full mesh, whose heartbeat traffic grows with the number
  # of failure domains.
  Scenario: The number of heartbeat targets is bounded in a large fleet
    Given 18 failure domains with 8 daemons each
    Then each daemon calls at most 13 targets, and each pair in a domain has one caller

  Scenario: Silent and draining peers do not count as alive until they return
    Given a daemon that got heartbeats from "b" and "c" at 0 ms
    When "c" sends a draining heartbeat at 1000 ms
    Then at 2000 ms the daemons alive in the domain are "a, b"
    And at 3600 ms the daemons alive in the domain are "a"
    When "b" sends a heartbeat again at 4000 ms
    Then at 4100 ms the daemons alive in the domain are "a, b"

  # Guards against counting an unreachable peer as one that has never seen the
  # key, after which a request could be executed twice.
  Scenario: Recall reports unreachable peers
    Given a peer daemon that answers
    And another peer that is not running
    When the key "k1" is recalled from both peers
    Then the recalled states are "never_seen, unreachable"

  # Guards against a peer of a later version that stops the lookup of a key, and so
  # the request that waits for it.
  Scenario: Recall gets a state that this version doesn't know
    Given a peer daemon that knows keys in a later state
    When the key "k1" is recalled from both peers
    Then the recalled states are "unreachable"

  # Guards against a daemon whose heartbeats stop when its list of peers changes.
  Scenario: A heartbeat is sent to a peer that is not configured
    Given a peer daemon that answers
    When a heartbeat is sent to the peer "z"
    Then no heartbeat is received
