Feature: rows of steps

  Scenario: any change of a task
    # Guards against a row that is kept although what it was encoded from changed:
    # a successor would run a task twice, or lose the end of one.
    When the tasks of a step change in any way, and each time its row is encoded
    Then each row is the same as that of an equal step that was never encoded
