Feature: emulated days with admission by room

  Scenario: far more best-effort jobs than servers have room for
    # Guards against a switch that the emulator doesn't pass on, and against refused
    # jobs that are run or counted as served.
    When a day at 12 times the load is played with and without admission
    Then only with admission some best-effort jobs are refused
    And no refused job is served

  Scenario: ways to decide
    # Guards against names of features that are taken for constants of modules.
    Then "admission" is read as a feature, and "module.NAME=1" as a constant
    And "admision" is read as neither
