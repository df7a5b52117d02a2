Feature: a submission is refused only when it surely isn't stored

  Scenario: the first try has no answer and the others are refused
    # Symptom: a job runs whose caller was told that it never would.
    # Sequence: an append is done without an answer, the next ones are refused
    # by the store, the daemon tells its caller "not accepted".
    # Cause: taking the refusal of a repeat for the outcome of all tries.
    Given a store that answers "unknown, refused, refused, refused"
    When a job is stored with 3 s left
    Then the outcome is "MayBeStored"

  Scenario: all tries are refused
    Given a store that answers "refused, refused, refused"
    When a job is stored with 3 s left
    Then the outcome is "NotStored"

  Scenario: the second try is acknowledged
    Given a store that answers "unknown, appended"
    When a job is stored with 3 s left
    Then the outcome is "Stored"

  Scenario: the store is known to be away
    # Symptom: callers get no definite answer, and can't try again.
    # Sequence: the store answers no daemon; each submission is tried.
    # Cause: trying although the newest calls had no answer.
    Given a store that answers "appended"
    And the store is known to be away
    When a job is stored with 3 s left
    Then the outcome is "NotStored"
    And nothing was tried
