Feature: verdicts on recorded plays

  Scenario: a play that broke no rule, but served too few of the largest jobs
    # Guards against hunts that pass for clean as they are read for broken rules only.
    Given an entry with the plays
      | name    | rules | short                                                       | gate |
      | quiet-1 |       |                                                             | yes  |
      | mix     |       | of the largest tenth of compare 0.12 were served, of all 0.66 | no   |
    When the verdict is asked for
    Then it is "not clean: 2 played, 0 broke a rule, 1 short (1 by size)"
    And a line says "mix: of the largest tenth of compare 0.12 were served, of all 0.66"

  Scenario: a play that served too little of a class, whatever the size
    # Guards against counting only the largest jobs as short.
    Given an entry with the plays
      | name | rules | short                                                             | gate |
      | mix  |       | 0.01 of the worth owed to class watch was earned; the floor is 0.04 | no   |
    When the verdict is asked for
    Then it is "not clean: 1 played, 0 broke a rule, 1 short (0 by size)"

  Scenario: a play that broke a rule
    # Guards against verdicts that lose broken rules beside what is short.
    Given an entry with the plays
      | name | rules | short | gate |
      | mix  | LOST  |       | no   |
    When the verdict is asked for
    Then it is "not clean: 1 played, 1 broke a rule, 0 short (0 by size)"
    And a line says "mix: broke LOST 1"

  Scenario: plays without findings
    # Guards against verdicts that are never clean.
    Given an entry with the plays
      | name    | rules | short | gate |
      | quiet-1 |       |       | yes  |
    When the verdict is asked for
    Then it is "clean: 1 played, 0 broke a rule, 0 short (0 by size)"

  Scenario: a command that was ended before it recorded a play
    # Guards against calling clean what was never played.
    Given an entry without plays
    When the verdict is asked for
    Then it is "not clean: 0 played, 0 broke a rule, 0 short (0 by size), 1 without result"

  Scenario: no entry is selected
    # Guards against a wrong name of a deployment that passes for a clean hunt.
    Given an entry with the plays
      | name    | rules | short | gate |
      | quiet-1 |       |       | yes  |
    When the verdict is asked for with "--deployment elsewhere"
    Then it is "not clean: 0 played, 0 broke a rule, 0 short (0 by size)"

  Scenario: a play whose figures weren't judged
    # Guards against entries of plays that were given up, which end the tool.
    Given an entry of a play that doesn't count because of "out of memory"
    When the verdict is asked for
    Then it is "not clean: 1 played, 1 broke a rule, 0 short (0 by size)"
    And a line says "mix: does not count: out of memory"

  Scenario: an entry that lacks a field
    # Guards against counting plays of which nothing is known as clean.
    Given an entry whose play has no rules
    When the verdict is asked for
    Then the tool fails and names the file, the key and what it expects
