Feature: storing a job through the owner

  Scenario: the owner doesn't answer in time
    # Guards against taking a timeout, which is an OSError, for a failure to connect:
    # the owner may still receive the request and store the job.
    Given an owner that accepts connections and never answers
    When a job is sent to the owner with 0.3 s left
    Then the outcome of the call is "MayBeStored"

  Scenario: the owner's process has ended
    Given no process listens on the owner's endpoint
    When a job is sent to the owner with 0.3 s left
    Then the outcome of the call is "NotStored"

  Scenario: packets to the owner's VM are dropped
    # Guards against spending the whole timeout on connecting, which leaves no time to
    # store the job directly.
    Given an owner whose VM drops connection attempts
    When a job is sent to the owner with 10 s left
    Then the outcome of the call is "NotStored"
    And the call took less than half of that time

  Scenario: the caller's request has already timed out
    # Guards against an internal error when a negative timeout is encoded.
    Given an owner that accepts connections and never answers
    When a job is sent to the owner with -0.5 s left
    Then the outcome of the call is "NotStored"
