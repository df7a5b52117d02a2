Feature: the number of jobs that have not begun

  Scenario Outline: what the servers answer to the starts of a job
    # Guards against counting a job as begun of which no server has accepted a run.
    Given an engine with 2 servers of 8 cores
    When a job of 1 task is submitted, whose starts are not answered yet
    And <answer>
    Then the owner counts <count> jobs that have not begun
    And a daemon that reads the store counts <stored> jobs
    When the owner changes
    Then the owner counts <stored> jobs that have not begun

    Examples:
      | answer                                          | count | stored |
      | all its starts are refused for 3 s              | 1     | 1      |
      | its start is not sent                           | 1     | 1      |
      | its start has no answer                         | 1     | 1      |
      | its start has no answer, and its server lists it | 0     | 0      |
      | its start is accepted, and 1 s passes           | 0     | 0      |
      | its start is accepted and its lease lapses      | 0     | 0      |
      | its start is accepted and it fails              | 0     | 0      |

  Scenario: a run that was accepted just before the owner changed
    # Guards against a successor that counts a running job as waiting.
    Given an engine with 2 servers of 8 cores
    When a job of 1 task is submitted, whose starts are not answered yet
    And its start is accepted
    And the owner changes
    And all servers answer a poll
    Then the owner counts 0 jobs that have not begun

  Scenario: rows of an older version
    # Guards against reading rows that lack the mark as those of jobs that wait.
    Given an engine with 2 servers of 8 cores
    When a job of 1 task is submitted, whose starts are not answered yet
    And its start is accepted
    And an older version has stored its row
    Then the owner counts 0 jobs that have not begun
    And a daemon that reads the store counts 0 jobs
