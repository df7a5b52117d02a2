Feature: what a driver sends to its backend server, and when

  Scenario: paces are changed while starts wait for a proof of ownership
    # Symptom: a serving task is harmed for seconds though its fills were to slow.
    # Sequence: the owner's heartbeats are not stored for seconds, starts to a
    # server wait for that; a pace is ordered there.
    # Cause: starts that wait while they hold the few places for orders.
    Given a driver of a server, and no proof of ownership
    When 4 starts and then a change of pace are ordered
    And 0.1 s pass at the driver
    Then the server has got the change of pace and 0 starts
    When the proof comes
    And 0.1 s pass at the driver
    Then the server has got the change of pace and 4 starts
