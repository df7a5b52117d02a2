Feature: Control leases at their holder
  The holder relies on its lease for less time than the server grants it.

  # Guards against two daemons that command one server after a slow answer or
  # a paused holder.
  Scenario: The lease term starts before the request is sent, less a margin
    Given a control lease of 6000 ms with a margin of 500 ms
    When it is requested and granted with epoch 1, sent at 1000, read at 4000
    Then it is held at 6499
    And it is not held at 6500

  Scenario: A lease that expired while the holder was paused is lost
    Given a control lease of 6000 ms with a margin of 500 ms
    When it is requested and granted with epoch 1, sent at 1000, read at 1010
    And the holder checks for expiry at 90000
    Then its state is "lost"

  # Guards against a delayed request that starts an attempt which was already
  # given up.
  Scenario: A start of unknown outcome needs a new epoch before any command
    Given a control lease of 6000 ms with a margin of 500 ms
    When it is requested and granted with epoch 1, sent at 1000, read at 1010
    And the outcome of a start command is unknown
    Then it is held at 2000
    And it may not send commands at 2000
    When it is granted with epoch 2, sent at 2000, read at 2010
    Then it may send commands at 2011

  Scenario: The validity of a request refers to the clock of the server
    Given a control lease of 6000 ms with a margin of 500 ms
    When it is requested and granted with epoch 1, sent at 1000, read at 1010
    Then a request until 4010 is valid for 3000 ms after stamp 77

  Scenario: A lease that is handed over is no longer valid
    Given a control lease of 6000 ms with a margin of 500 ms
    When it is requested and granted with epoch 1, sent at 1000, read at 1010
    And it is handed over
    Then it is not held at 1100
    When it is granted with epoch 1, sent at 1200, read at 1210
    Then its state is "unheld"

  Scenario: A lease that is denied to its holder is lost
    Given a control lease of 6000 ms with a margin of 500 ms
    When it is requested and granted with epoch 1, sent at 1000, read at 1010
    And it is denied
    Then its state is "lost"

  Scenario: Each daemon is the first choice for an equal share of the servers
    When 720 servers are ranked for 8 daemons
    Then each daemon is the first choice for 90 servers
    And the ranking does not depend on the order of its inputs
    When 6 servers are ranked for 2 daemons
    Then each daemon is the first choice for 3 servers

  Scenario: Unstable membership does not move a lease
    Given a holder that was the first choice
    When it is second choice for 9999 ms and then first choice again
    Then it keeps the lease
    When it is second choice for 10000 ms
    Then it hands the lease over

  Scenario: A fallback waits for its turn and then holds the lease
    Given a daemon that is third choice from time 0
    Then it tries at 24000
    When it gets the lease at 24000
    Then it keeps the lease at 300000

  Scenario: A released lease is requested early
    Given a daemon that is third choice from time 0
    When it learns at 1000 that the lease was released
    Then it tries at 1600

  # Guards against a first choice that is treated as a fallback because its rank
  # changed between request and grant, and holds too many servers.
  Scenario: A daemon that requested a lease as the first choice is no fallback
    Given a daemon that requests a lease as the first choice
    When it is second choice before the lease is granted at 100
    Then it hands the lease over
