Feature: evacuation of failure domains

  Scenario: a domain is evacuated
    # Guards against starts in a failure domain that operators have evacuated.
    Given an engine with 2 servers of 8 cores in each of the domains a, b
    When the domains a are evacuated
    And 12 jobs of 1 task of 1 core are submitted
    Then all starts are in the domains b
    When the domains a are taken back
    And 4 jobs of 1 task of 1 core are submitted
    Then starts are in the domains a

  Scenario: what runs in an evacuated domain goes on
    # Guards against stopping tasks that need not move, beyond what their step allows.
    Given an engine with 2 servers of 8 cores in each of the domains a, b
    When a long-running job with a task on each server is submitted
    And the domains a are evacuated
    And 5 s pass in the engine
    Then no stop was ordered, and 4 tasks run

  Scenario: a task ends in an evacuated domain
    # Guards against restarting a task where it has run before.
    Given an engine with 2 servers of 8 cores in each of the domains a, b
    When a long-running job with a task on each server is submitted
    And the domains a are evacuated
    And a task in domain a fails
    Then it has not started again
    When the domains a are taken back
    And 1 s pass in the engine
    Then it has started again

  Scenario: an evacuation begins between the placing and the start of a task
    # Guards against starts that were placed before and are sent after it.
    Given an engine with 2 servers of 8 cores in each of the domains a, b
    When 1 job of 1 task of 1 core is submitted to each server, not sent yet
    And the domains a are evacuated
    And all starts are sent
    Then the starts sent are in the domains b
    When 1 s pass in the engine
    Then all 4 jobs run in the domains b

  Scenario: an evacuation and a change of owner
    # Guards against a successor that doesn't know of the evacuation.
    Given an engine with 2 servers of 8 cores in each of the domains a, b
    When the domains a are evacuated
    And the owner changes to one that has read the operators' records
    And 12 jobs of 1 task of 1 core are submitted
    Then all starts are in the domains b

  Scenario: an owner that has read no configuration
    # Guards against starts by an owner that doesn't know yet what is evacuated.
    Given an engine with 2 servers of 8 cores in each of the domains a, b
    When the owner changes to one that has read no record of operators
    And 12 jobs of 1 task of 1 core are submitted
    Then nothing was started

  Scenario: servers register and restart in an evacuated domain
    # Guards against starts on servers that weren't there when the evacuation began.
    Given an engine with 2 servers of 8 cores in each of the domains a, b
    When the domains a are evacuated
    And 2 servers of 8 cores register in domain a
    And the servers of domain a restart under other ids
    And 30 jobs of 1 task of 1 core are submitted
    Then all starts are in the domains b

  Scenario Outline: several and unknown domains
    # Guards against taking one evacuation for another.
    Given an engine with 2 servers of 8 cores in each of the domains a, b, c
    When the domains <evacuated> are evacuated
    And 30 jobs of 1 task of 1 core are submitted
    Then <outcome>

    Examples:
      | evacuated  | outcome                         |
      | a, b       | all starts are in the domains c |
      | a, b, c    | nothing was started             |
      | nowhere    | starts are in the domains a     |
      | a, nowhere | starts are in the domains b     |

  Scenario: a gang and a best-effort task
    # Guards against ways of placing that look at servers by themselves.
    Given an engine with 2 servers of 8 cores in each of the domains a, b
    When the domains a are evacuated
    And a gang of 4 tasks of 2 cores and a best-effort job of 8 tasks are submitted
    And 4 s pass in the engine
    Then all starts are in the domains b

  Scenario: a domain is evacuated again after it was taken back
    # Guards against keeping one of several changes under the same version.
    Given an engine with 2 servers of 8 cores in each of the domains a, b
    When the domains a are evacuated
    And the domains a are taken back
    And the domains b are evacuated
    And 12 jobs of 1 task of 1 core are submitted
    Then all starts are in the domains a
