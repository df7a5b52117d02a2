Feature: Randomised runs of a failure domain
  Three daemons, four backend servers and one log with faults at any time. An
  oracle checks what runs after each step; at the end all jobs must finish.

  Scenario: No sequence of faults duplicates or loses a task or over-commits a VM
    When hypothesis runs sequences of operations and faults
    Then no invariant was violated, and all accepted jobs finished

  Scenario: Long runs with fixed seeds violate no invariant
    When randomised runs with seeds 11, 12 and 13 execute 400 actions each
    Then no invariant was violated, and all accepted jobs finished
    And the runs include checkpoints, refusals and unknown outcomes
