Feature: jobs of all sizes on an overloaded cluster

  Scenario: more best-effort jobs than servers have room for
    # Guards against large jobs that are served far less often than the rest.
    When 3 days of more best-effort jobs than servers have room for are played
    Then the largest tenth of the best-effort jobs is served at least half as often as all
    And the next largest fifth is served at least half as often as all
