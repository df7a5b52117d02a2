Feature: order of the requests that a driver sends to its backend server

  Scenario: a change of pace is sent while starts wait for a proof of ownership
    # Guards against waiting starts that occupy the slots for concurrent orders.
    Given a driver without a proof of ownership
    When 4 starts and then a change of pace are ordered
    And 0.1 s pass at the driver
    Then the server has received the change of pace and 0 starts
    When ownership is proven
    And 0.1 s pass at the driver
    Then the server has received the change of pace and 4 starts
