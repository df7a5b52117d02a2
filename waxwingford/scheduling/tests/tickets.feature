Feature: steps that need a ticket for each server

  Scenario: a ticket expires before its start is sent
    # Guards against sending a start without a ticket, which the server refuses
    # again and again while appends are slow.
    Given an advised queue, and 2 servers of 8 cores
    When a job of 1 task is submitted
    And the service issues tickets of 3000 ms for 1 server
    And the starts are sent 2500 ms later
    Then no start is sent
    And another ticket request is pending
    When the service issues tickets of 3000 ms for 1 server
    And the starts are sent 50 ms later
    Then 1 start is taken
    And no start is refused

  Scenario: a ticket expires for a member of a gang
    # Guards against settling an unsent run without the rest of its gang.
    Given an advised queue, and 2 servers of 1 core
    When a gang of 2 tasks of 1 core is submitted
    And the service issues tickets of 3000 ms for 2 servers
    And 1 start is sent 50 ms later
    And the starts are sent 2500 ms later
    Then 1 start is taken
    And no start is refused
    And a stop of the other member is ordered

  Scenario: a run is not planned with a ticket that is about to expire
    # Guards against planning with any valid ticket, though the run has to be
    # stored before it starts.
    Given an advised queue, and 1 servers of 1 core
    When a job of 2 tasks is submitted
    And the service issues tickets of 3000 ms for 1 server
    And the starts are sent 50 ms later
    And the run ends 2250 ms later
    Then 1 run was planned in all
    And another ticket request is pending
    When the service issues tickets of 3000 ms for 1 server
    Then 2 runs were planned in all

  Scenario: a ticket of short validity is used
    # Guards against requiring a longer validity than any ticket has left.
    Given an advised queue, and 1 servers of 1 core
    When a job of 1 task is submitted
    And the service issues tickets of 500 ms for 1 server, after 300 ms
    And the starts are sent 40 ms later
    Then 1 start is taken

  Scenario: a gang needs more servers than have tickets
    # Guards against requesting nothing while any server has a ticket.
    Given an advised queue, and 40 servers of 1 core
    And the service allows the servers from 27 to 30 only
    When a gang of 4 tasks of 1 core is submitted
    And the service issues tickets of 30000 ms, each time after 450 ms, for 3 s
    Then 4 runs are planned under one run number

  Scenario Outline: a gang needs more servers than a request names by default
    # Guards against naming the servers that were eligible before, and no others.
    Given an advised queue, and 40 servers of 1 core
    When a gang of 35 tasks of 1 core is submitted
    And the service issues tickets of <validity> ms, each time after 450 ms, for 9 s
    Then 35 runs are planned under one run number

    Examples:
      | validity |
      | 3000     |
      | 1200     |

  Scenario: the tickets of a gang expire at the same time
    # Guards against requesting only the missing tickets: those of the other
    # servers would expire in the meantime.
    Given an advised queue, and 40 servers of 1 core
    And the service allows the servers from 26 to 33 only
    When a gang of 8 tasks of 1 core is submitted
    And the service issues tickets of 1000 ms, each time after 450 ms, for 9 s
    Then 8 runs are planned under one run number

  Scenario: a gang needs more servers than a request may name
    # Guards against naming the same servers each time, those with tickets first.
    Given an advised queue, and 130 servers of 1 core
    When a gang of 120 tasks of 1 core is submitted
    And the service issues tickets of 3000 ms, each time after 450 ms, for 9 s
    Then 120 runs are planned under one run number

  Scenario: servers with tickets are full
    # Guards against a step that is pending beside free servers for which no
    # tickets are requested.
    Given an advised queue, and 40 servers of 1 core
    When a job of 2 tasks is submitted
    And the service issues tickets of 3000 ms for 1 server
    And the starts are sent 50 ms later
    Then 1 start is taken
    And another ticket request is pending
    When the service issues tickets of 3000 ms for 1 server
    Then 2 runs were planned in all

  Scenario: a gang without free resources causes few requests
    # Guards against a request in each placement round, which the service rejects
    # with status 429.
    Given an advised queue, and 10 servers of 1 core
    When a gang of 12 tasks of 1 core is submitted
    And the service issues tickets of 3000 ms, each time after 450 ms, for 9 s
    Then the service got at most 5 requests

  Scenario: a gang that never fits causes few requests
    # Guards against requests for all servers whenever those with tickets don't
    # suffice, which delay the requests of other steps.
    Given an advised queue, and 40 servers of 1 core
    When a gang of 50 tasks of 1 core is submitted
    And the service issues tickets of 3000 ms, each time after 450 ms, for 9 s
    Then the service got at most 5 requests
