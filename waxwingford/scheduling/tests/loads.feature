Feature: the load of a step is followed through the tails of its tasks

  Scenario Outline: a load that swings is known half a second ahead
    # Symptom: fills are let up just before a tail passes its target.
    # Sequence: all tasks of a step see the same users, whose number swings.
    # Cause: taking the tails of the last look for those of the next.
    Given a load that swings by 0.45 with a period of <period> s
    When its tails are sampled 8 times a second for 40 s, with noise of 0.16
    Then 0.5 s ahead its error is under <most>
    And the newest tails alone miss by more than 0.17

    Examples:
      | period | most |
      | 8      | 0.15 |
      | 10     | 0.08 |
      | 12     | 0.15 |

  Scenario: a tail that has run away is hardly taken for load
    Given a load that swings by 0.0 with a period of 10 s
    When its tails are sampled 8 times a second for 20 s, with noise of 0.0
    And one tail is twenty times as long
    Then 0.1 s ahead its error is under 0.13

  Scenario: loads of steps that have ended are dropped
    Given a load that swings by 0.45 with a period of 10 s
    When its tails are sampled 8 times a second for 5 s, with noise of 0.0
    And everything older than 6 s is dropped
    Then nothing is known of it
