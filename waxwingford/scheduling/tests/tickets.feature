Feature: steps that need a ticket for each server

  Scenario: a ticket runs out before its start is sent
    # Symptom: a job of an advised queue doesn't start, and its server refuses
    # one start after the other for want of a ticket.
    # Sequence: a run is planned on a valid ticket; its record is stored late, or
    # other orders to the server go first, until the ticket has run out.
    # Cause: a start that is sent without a ticket. It is refused, planned again
    # 60 ms later, and so on for as long as appends are slow.
    Given an advised queue, and 2 servers of 8 cores
    When a job of 1 task is submitted
    And the service gives tickets of 3000 ms for 1 server
    And the starts are sent 2500 ms later
    Then no start is sent
    And the service is asked again
    When the service gives tickets of 3000 ms for 1 server
    And the starts are sent 50 ms later
    Then 1 start is taken
    And no start is refused

  Scenario: a ticket runs out for a member of a gang
    # Symptom: members of a gang wait for one that is never sent.
    # Cause: settling a run that isn't sent without the rest of its gang.
    Given an advised queue, and 2 servers of 1 core
    When a gang of 2 tasks of 1 core is submitted
    And the service gives tickets of 3000 ms for 2 servers
    And 1 start is sent 50 ms later
    And the starts are sent 2500 ms later
    Then 1 start is taken
    And no start is refused
    And a stop of the other member is ordered

  Scenario: a run is not planned on a ticket that is about to run out
    # Symptom: starts that are given up, or refused, just after they were planned.
    # Sequence: a server becomes free while its ticket has 50 ms left.
    # Cause: planning on any valid ticket, though the record of a run has to be
    # stored before it starts.
    Given an advised queue, and 1 servers of 1 core
    When a job of 2 tasks is submitted
    And the service gives tickets of 3000 ms for 1 server
    And the starts are sent 50 ms later
    And the run ends 2250 ms later
    Then 1 run was planned in all
    And the service is asked again
    When the service gives tickets of 3000 ms for 1 server
    Then 2 runs were planned in all

  Scenario: a ticket that has little left when it comes is used
    # Symptom: a job whose tickets are valid for a short time never starts.
    # Cause: asking for more time than any ticket has.
    Given an advised queue, and 1 servers of 1 core
    When a job of 1 task is submitted
    And the service gives tickets of 500 ms for 1 server, after 300 ms
    And the starts are sent 40 ms later
    Then 1 start is taken

  Scenario: a gang needs more servers than have tickets
    # Symptom: a gang waits beside enough free servers until its tickets expire,
    # and then again.
    # Sequence: the service allows fewer of the servers that were named first
    # than the gang has members.
    # Cause: asking nothing while any server has a ticket.
    Given an advised queue, and 40 servers of 1 core
    And the service allows the servers from 27 to 30 only
    When a gang of 4 tasks of 1 core is submitted
    And the service gives tickets of 30000 ms, each time after 450 ms, for 3 s
    Then 4 runs are planned under one run number

  Scenario Outline: a gang needs more servers than one question names
    # Symptom: a gang never starts beside enough free servers.
    # Sequence: it has more members than a question names servers at most, and
    # each server has room for one.
    # Cause: each question names those that were eligible before, and no others.
    Given an advised queue, and 40 servers of 1 core
    When a gang of 35 tasks of 1 core is submitted
    And the service gives tickets of <validity> ms, each time after 450 ms, for 9 s
    Then 35 runs are planned under one run number

    Examples:
      | validity |
      | 3000     |
      | 1200     |

  Scenario: the tickets of a gang don't run out in turn
    # Symptom: a gang never starts beside enough free servers.
    # Sequence: while the service is asked about the rest of its servers, the
    # tickets of the first ones run out, and the other way round.
    # Cause: asking about those without a ticket only.
    Given an advised queue, and 40 servers of 1 core
    And the service allows the servers from 26 to 33 only
    When a gang of 8 tasks of 1 core is submitted
    And the service gives tickets of 1000 ms, each time after 450 ms, for 9 s
    Then 8 runs are planned under one run number

  Scenario: a gang needs more servers than any question may name
    # Symptom: a gang never starts beside enough free servers.
    # Cause: naming the same servers each time, those with tickets first.
    Given an advised queue, and 130 servers of 1 core
    When a gang of 120 tasks of 1 core is submitted
    And the service gives tickets of 3000 ms, each time after 450 ms, for 9 s
    Then 120 runs are planned under one run number

  Scenario: servers with tickets are full
    # Symptom, not seen: a step waits beside free servers whose tickets nobody
    # has asked for.
    Given an advised queue, and 40 servers of 1 core
    When a job of 2 tasks is submitted
    And the service gives tickets of 3000 ms for 1 server
    And the starts are sent 50 ms later
    Then 1 start is taken
    And the service is asked again
    When the service gives tickets of 3000 ms for 1 server
    Then 2 runs were planned in all

  Scenario: the service is not asked without need
    # Symptom: the service answers 429, and steps that need it wait.
    # Sequence: a gang waits for room, and the servers with room have tickets; a
    # decision is made with each answer of a server.
    # Cause: asking with each decision, also while the service is at work on the
    # same question.
    Given an advised queue, and 10 servers of 1 core
    When a gang of 12 tasks of 1 core is submitted
    And the service gives tickets of 3000 ms, each time after 450 ms, for 9 s
    Then it was asked 5 times at most

  Scenario: the service is not asked for a gang that has no room
    # Symptom: other steps wait for the service while it is asked about a gang that
    # can't be placed with any number of tickets.
    # Cause: asking about all servers whenever those with tickets don't suffice.
    Given an advised queue, and 40 servers of 1 core
    When a gang of 50 tasks of 1 core is submitted
    And the service gives tickets of 3000 ms, each time after 450 ms, for 9 s
    Then it was asked 5 times at most
