Feature: Slots of backend servers
  A daemon accounts for the slots of the servers that it holds.

  # Guards against more calls than slots after the callers have timed out.
  Scenario: Abandoned calls occupy their slots until the server has ended them
    Given a dispatcher that holds 2 servers of 3 slots
    And both servers are suspended and overrun deadlines by 100 ms
    When 12 requests with a deadline of 200 ms arrive at once
    And 12 requests with a deadline of 200 ms arrive at once
    Then no server had more calls than slots or rejected one
    And after 500 ms all slots are free again

  # Guards against control exchanges that find no free connection, so that the
  # lease expires.
  Scenario: One connection is reserved for control exchanges
    Given a slot table with one server of 8 slots and 4 connections
    Then 3 slots can be taken

  # Guards against calls that are aborted when the server leaves.
  Scenario: A leaving server gets no new calls
    Given a slot table with one server of 8 slots and 64 connections
    When the server is leaving
    Then 0 slots can be taken

  # Guards against two daemons that use the slots of the same server.
  Scenario: A lease that expires between choice and dispatch prevents the call
    Given a slot table with one server of 8 slots and 64 connections
    When the lease of the chosen server expires before dispatch
    Then the call is not dispatched
    And no server is chosen until the lease is renewed

  # Guards against ejecting all servers for a fault that they have in common.
  Scenario: The ejected fraction of servers is limited
    Given a slot table with 10 servers of 8 slots
    When every call to every server fails 20 times
    Then 3 servers are ejected
    And they return after the ejection with a slow start

  # Guards against overloading a new server, which has the lowest latency.
  Scenario: The slots of a new server become available gradually
    Given a slot table with a server that is full and a new one of 8 slots
    Then 1 slots can be taken
    And after 2500 ms 4 more slots can be taken
    And after 5000 ms 3 more slots can be taken

  # Guards against refusals after a start or takeover while slots are free.
  Scenario: Slow start is skipped if all servers are new
    Given a slot table that gets 3 servers of 8 slots at once
    Then 24 slots can be taken

  # Guards against more calls than slots after a lease is acquired again.
  Scenario: Calls in flight stay counted after the loss of a lease
    Given a slot table with one server of 8 slots and 64 connections
    When 5 slots are taken and the lease is lost and acquired again
    Then 3 slots can be taken
