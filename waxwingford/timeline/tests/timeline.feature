Feature: Timeline of events of all processes
  Guards against a merged timeline that shows effects before their causes,
  lists events twice or omits leases that are still held.

  Scenario: An effect never precedes its cause despite clock skew
    Given a daemon "a" and a daemon "b" whose wall clock is 5000 ms behind
    When "a" records "forward.sent" and "b" records its effect "forward.taken"
    And "b" records "forward.answered" and "a" records its effect "forward.done"
    Then the merged order is "forward.sent, forward.taken, forward.answered, forward.done"
    And positions on the axis never decrease

  Scenario: Ring buffers are bounded and events read twice are merged once
    Given a daemon "a" and a daemon "b" whose wall clock is 0 ms behind
    When "a" records 100 events in a ring buffer of 64
    Then the merged timeline of two reads has 64 events

  Scenario: A lease without an end lasts to the last event
    Given a daemon "a" and a daemon "b" whose wall clock is 0 ms behind
    When "a" acquires a lease, loses it 40 ms later and acquires it again
    Then there are 2 lease bars and the timeline can be plotted

  Scenario: A filter takes no subject that only begins alike
    # Guards against the events of other tasks in the history of one.
    Given events of "task:a", "task:ab" and a server whose detail names "task:a"
    When the events are filtered for "task:a"
    Then the events of "task:a" and of the server are left
