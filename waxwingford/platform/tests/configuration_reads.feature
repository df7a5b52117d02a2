Feature: a daemon learns of a new version in time

  Scenario Outline: reads of the configuration are hindered
    # Guards against an owner that starts jobs by a version under which daemons
    # beside it no longer accept them.
    Given a store whose reads are <hindered>
    When operators write a version
    Then the daemon applies it within 2 s

    Examples:
      | hindered                                     |
      | answered                                     |
      | answered after 0.3 s                         |
      | not answered where one is in progress        |
      | refused for 1 s                              |
