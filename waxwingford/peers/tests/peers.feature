Feature: Messages between daemons
  What a daemon says about a request that it handed to a peer must be true:
  only a failure to connect proves that the request did not run.

  # Symptom: a caller is told "not run", repeats, and the reservation is doubled.
  # Sequence: forward to a peer; the peer runs it; its answer is lost.
  # Cause: every failed forward taken for one that was never sent.
  Scenario Outline: A failed forward says only what is proved
    Given a peer daemon that <behaviour>
    When a request is forwarded to it
    Then the forwarded outcome is "<outcome>"

    Examples:
      | behaviour                      | outcome  |
      | answers                        | Answered |
      | is not there                   | Refused  |
      | takes the request and dies     | Unknown  |
      | takes the request and hangs    | Unknown  |
      | answers for another request    | Unknown  |

  # Symptom: control traffic grows with the number of failure domains.
  # Sequence: 144 daemons in 18 failure domains exchange heartbeats.
  # Cause: a full mesh.
  Scenario: Heartbeat targets are bounded at the two-year size
    Given 18 failure domains with 8 daemons each
    Then each daemon calls at most 13 targets, and each pair of a domain has one call

  Scenario: A silent or draining peer is no holder, a returned one is
    Given a daemon that heard from "b" and "c" at time 0 ms
    When "c" says that it drains at 1000 ms
    Then at 2000 ms the daemons alive in the domain are "a, b"
    And at 3600 ms the daemons alive in the domain are "a"
    When "b" is heard again at 4000 ms
    Then at 4100 ms the daemons alive in the domain are "a, b"

  # Symptom: a daemon runs a keyed request although a peer could not be asked.
  # Sequence: recall of a key while one of two peers is down.
  # Cause: silence taken for "never seen".
  Scenario: Recall names peers that could not be asked
    Given a peer daemon that answers
    And another peer that is not there
    When the key "k1" is recalled from both
    Then the recalled states are "never_seen, unreachable"
