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

  Scenario: owners that change one after the other once a run was accepted
    # Guards against counting a running job as waiting for as long as owners change.
    Given an engine with 2 servers of 8 cores
    When a job of 1 task is submitted, whose starts are not answered yet
    And its start is accepted
    And the owner changes
    And all servers answer a poll
    And the owner decides
    Then a daemon that reads the store counts 0 jobs
    When the owner changes
    Then the owner counts 0 jobs that have not begun

  Scenario: rows of an older version
    # Guards against reading rows that lack the mark as those of jobs that wait.
    Given an engine with 2 servers of 8 cores
    When a job of 1 task is submitted, whose starts are not answered yet
    And its start is accepted
    And an older version has stored its row
    Then the owner counts 0 jobs that have not begun
    And a daemon that reads the store counts 0 jobs

  Scenario Outline: the phase of a job by what the servers answer
    # Guards against reporting a job as running, and as waiting, at the same time.
    Given an engine with 2 servers of 8 cores
    When a job of 1 task is submitted, whose starts are not answered yet
    And <answer>
    Then the owner and a daemon that reads the store report it as <phase>
    When the owner changes
    Then the owner and a daemon that reads the store report it as <phase>

    Examples:
      | answer                                           | phase   |
      | all its starts are refused for 3 s               | queued  |
      | its start is not sent                            | queued  |
      | its start has no answer                          | queued  |
      | its start has no answer, and its server lists it | running |
      | its start is accepted, and 1 s passes            | running |
      | its start is accepted and its lease lapses       | running |
      | its start is accepted and it fails               | running |

  Scenario Outline: the owner changes after a start was accepted
    # Guards against a running job that is reported as queued again.
    Given an engine with 2 servers of 8 cores
    When a job of 1 task is submitted, whose starts are not answered yet
    And its start is accepted, and the owner changes <delay_ms> ms later
    Then its phase was never reported as queued after running
    And the owner and a daemon that reads the store report it as running

    Examples:
      | delay_ms |
      | 0        |
      | 100      |
      | 300      |
      | 500      |
      | 700      |

  Scenario Outline: a row that can't be read
    # Guards against a successor that counts a job otherwise than a daemon that reads
    # the store.
    Given an engine with 2 servers of 8 cores
    When a job of 1 task is submitted, whose starts are not answered yet
    And the record of its <record> is unreadable
    Then the owner counts 0 jobs that have not begun
    And a daemon that reads the store counts 0 jobs

    Examples:
      | record |
      | step   |
      | end    |

  Scenario: the phase of a job whose step can't be read
    # Guards against a job that is reported as queued by one daemon and as running by
    # another.
    Given an engine with 2 servers of 8 cores
    When a job of 1 task is submitted, whose starts are not answered yet
    And the record of its step is unreadable
    Then the owner and a daemon that reads the store report it as running
