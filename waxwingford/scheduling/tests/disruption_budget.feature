Feature: limit of interrupted tasks of a step

  Scenario: any sequence of stops, ends, losses and changes of owner
    # Guards against more interrupted tasks than max_unavailable allows, also while
    # ends are listed late, while tasks start again, and after a takeover.
    Then no sequence of voluntary stops exceeds the budget

  Scenario: a step at work
    # Guards against a budget that never allows a stop.
    Given a serving step of 4 tasks of which 1 may be unavailable
    Then one task may be stopped, and a second one only once the first is at work again

  Scenario: a task fails by itself
    # Guards against counting a task as unavailable before the notice has passed, and
    # against not counting it afterwards.
    Given a serving step of 4 tasks of which 1 may be unavailable
    When a task fails and isn't at work again for 300 ms
    Then another task may be stopped
    When a task fails and isn't at work again for 1600 ms
    Then no other task may be stopped

  Scenario: a server that leaves
    # Guards against ending all tasks of a step at once where the notice leaves time,
    # and against keeping them on a server that exits.
    Given a serving step of 4 tasks of which 1 may be unavailable
    When all of its servers are draining
    Then 1 of its tasks is stopped at once
    And all of them after 1000 ms

  Scenario: preemption of a limited step
    # Guards against preemption that ends more tasks than the step allows.
    Given a serving step of 4 tasks of which 1 may be unavailable
    When urgent tasks that need all of their memory wait for 3000 ms
    Then 1 of its tasks was stopped
