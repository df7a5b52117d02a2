Feature: starts of which no run begins

  Scenario Outline: a task that no server runs
    # Guards against a wait that begins anew with each start that was in vain.
    Given an engine with 2 servers of 8 cores
    When a job of 1 task is submitted, whose starts are not answered yet
    And <answer>
    Then its task counts as waiting since its submission
    And its job counts as idle since its submission

    Examples:
      | answer                                     |
      | all its starts are refused for 3 s         |
      | its start is not sent                      |
      | its start has no answer, and is never listed |

  Scenario Outline: a task whose run began
    # Guards against counting the time of a run as a wait.
    Given an engine with 2 servers of 8 cores
    When a job of 1 task is submitted, whose starts are not answered yet
    And <answer>
    Then its task counts as waiting since the end of its run
    And its job counts as idle since the end of its run

    Examples:
      | answer                                         |
      | its start is accepted, and it fails 1 s later  |
      | its start is accepted, and it lapses 1 s later |
      | its start has no answer, and it is listed as stopped 1 s later |

  Scenario: a long-running task is refused again and again
    # Guards against long-running tasks that never become overdue.
    Given an engine with 2 servers of 8 cores
    When a long-running task is submitted, whose starts are not answered yet
    And all its starts are refused for 3 s
    Then its task comes before all others
