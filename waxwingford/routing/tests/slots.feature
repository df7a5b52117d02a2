Feature: Slots of backend servers
  A daemon counts the slots of the servers that it holds, and only they are
  given out.

  # Symptom: a server runs more calls at once than it has slots.
  # Sequence: calls time out while the server is frozen; their slots are given
  # out again; the server thaws and runs old and new calls together.
  # Cause: the end of the caller's wait was taken for the end of the call.
  Scenario: Abandoned calls keep their slots until the server has ended them
    Given a dispatcher that holds 2 servers of 3 slots
    And both servers are frozen and give up 100 ms after the deadline
    When 12 requests with a deadline of 200 ms come at once
    And 12 requests with a deadline of 200 ms come at once
    Then no server had more calls than slots and none was refused as full
    And after 500 ms all slots are free again

  # Symptom: control exchanges find no connection to a busy server.
  # Sequence: a server with more slots than connections gets calls up to its
  # slots; the control exchange cannot connect and the lease lapses.
  # Cause: slots were counted, connections were not.
  Scenario: Calls leave a connection for control
    Given a slot table with one server of 8 slots and 4 connections
    Then 3 slots can be taken

  # Symptom: a server that is about to leave cuts requests off.
  # Sequence: the server says that it is leaving; it is still chosen.
  # Cause: the list of candidates was not changed with the server's state.
  Scenario: A leaving server gets no new call
    Given a slot table with one server of 8 slots and 64 connections
    When the server is leaving
    Then 0 slots can be taken

  # Symptom: two daemons send calls to one server and exceed its slots.
  # Sequence: a server is chosen; the process is frozen; the lease lapses and
  # another daemon acquires it; the process thaws and sends.
  # Cause: the lease was checked when the server was chosen, not at dispatch.
  Scenario: A lease that lapsed between choice and dispatch stops the call
    Given a slot table with one server of 8 slots and 64 connections
    When the server is chosen and its lease lapses before the dispatch
    Then the dispatch is given up
    And no server is chosen until the lease is renewed

  # Symptom: all servers of a service are left out, and it serves nothing.
  # Sequence: a fault elsewhere (a full disk behind the service) fails every
  # call; each server in turn is ejected as an outlier.
  # Cause: ejection without a cap on its share.
  Scenario: No more than a share of servers is ejected
    Given a slot table with 10 servers of 8 slots
    When every call to every server fails 20 times
    Then 3 servers are ejected
    And after the ejection they come back with a slow start

  # Symptom: a server that comes back is flooded and fails again at once.
  # Sequence: the server has no calls, so it looks best to every request.
  # Cause: no slow start.
  Scenario: A new server opens its slots bit by bit
    Given a slot table with a server that is full and a new one of 8 slots
    Then 1 slots can be taken
    And after 2500 ms 4 more slots can be taken
    And after 5000 ms 3 more slots can be taken

  # Symptom: a daemon that starts, or takes servers over, refuses most requests
  # for five seconds though all slots are free.
  # Sequence: it gets all its servers at once, and each opens bit by bit.
  # Cause: slow start where no warm server can take the load instead.
  Scenario: Servers that are all new are open at once
    Given a slot table that gets 3 servers of 8 slots at once
    Then 24 slots can be taken

  # Symptom: a new server is slow because the old holder's calls still run.
  # Sequence: a lease is lost and won again while calls are in flight.
  # Cause: the counts were dropped with the lease.
  Scenario: Counts survive the loss of a lease
    Given a slot table with one server of 8 slots and 64 connections
    When 5 slots are taken and the server is lost and held again
    Then 3 slots can be taken
