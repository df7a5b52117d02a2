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
