Feature: demand for best-effort work over what servers have left

  Scenario: images that interfere little with one service and much with another
    # Guards against using up the allowance of servers on which a task interferes.
    Given 2 servers of 64 cores, one of which serves red, the other blue
    And best-effort tasks are known to take 4 of the headroom of red, and 0.4 of that of blue
    When a best-effort job of 3 tasks of 7 cores is submitted
    Then 3 of its tasks start on the server that serves blue

  Scenario: the server on which a task interferes little is in use
    # Guards against leaving servers idle on which a task interferes a little more.
    Given 2 servers of 64 cores, one of which serves red, the other blue
    And best-effort tasks are known to take 1 of the headroom of red, and 0.8 of that of blue
    When a best-effort job of 6 tasks of 7 cores is submitted
    Then 3 of its tasks start on the server that serves blue

  Scenario: serving steps whose loads have their crests at different times
    # Guards against servers on which some serving task always has its crest.
    Given 3 servers of 64 cores
    When a serving job of 2 tasks of 16 cores starts
    And another serving job of 4 tasks of 16 cores starts
    Then no server has tasks of both

  Scenario: serving steps on full servers
    # Guards against serving tasks that wait for a server of their own.
    Given 2 servers of 64 cores
    When a serving job of 6 tasks of 16 cores starts
    And another serving job of 2 tasks of 16 cores starts
    Then all 8 tasks run
