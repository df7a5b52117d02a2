Feature: Randomised runs of a failure domain
  Three daemons with the real decisions, four backend servers, one log; all
  faults at any time, together or twice. After each step an oracle looks at
  what truly runs; at the end all faults end and everything must finish.

  Scenario: No sequence of faults doubles, loses or over-commits anything
    When hypothesis plays sequences of work and faults
    Then no sequence broke a rule, and what was accepted finished

  Scenario: Long seeded runs keep the rules too
    When the seeds 11, 12 and 13 are played for 400 actions each
    Then no sequence broke a rule, and what was accepted finished
    And the runs met checkpoints, refusals and unknown answers
