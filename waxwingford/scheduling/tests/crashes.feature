Feature: tasks under which servers crash

  Scenario Outline: a lost run's line tells how long its server outlived the start
    # A task that crashes its server can't be told from one that was lost with it.
    Given an engine with 2 servers of 8 cores
    And a job of 1 task that has run for <span_ms> ms
    When the server of the task crashes
    Then the line about the lost run tells that the server outlived its start by <told>

    Examples:
      | span_ms | told             |
      | 0       | 0 ms             |
      | 1500    | at least 1000 ms |
