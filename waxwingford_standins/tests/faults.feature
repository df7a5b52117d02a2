Feature: A deployment of real processes under faults
  Callers and a night's batch load four daemons in two failure domains while
  something fails. The audit compares what callers saw and what the log says
  with what the backend servers ran.

  # Symptom: evicted work starts afresh, or goes on in two places.
  # Sequence: operators evict everything that runs while a part of the control
  # answers is lost: the holder can't know which checkpoints were taken.
  Scenario: Everything is evicted in a wave
    Given the small deployment runs
    When it is loaded while all tasks are evicted and answers are lost
    Then the audit finds nothing
    And every accepted job ended
    And some tasks went on from their checkpoints

  # Symptom: work on a VM that is about to go is cut off or lost.
  # Sequence: a backend server says that it is leaving; work goes on coming.
  Scenario: A backend server leaves
    Given the small deployment runs
    When it is loaded while a backend server leaves
    Then the audit finds nothing
    And every accepted job ended

  # Symptom: a task or a reservation runs twice, or a job is forgotten.
  # Sequence: the process dies with claims, calls and leases in its memory;
  # servers run its requests only afterwards, callers have come back elsewhere.
  # Cause to rule out: something that must last stood only in that memory.
  Scenario: A daemon is killed
    Given the small deployment runs
    When it is loaded while a daemon is killed and started again
    Then the audit finds nothing
    And every accepted job ended

  # Symptom: two holders command one backend server.
  # Sequence: a holder is frozen past its lease, another takes over, the first
  # goes on in the middle of its line. Cause to rule out: a lease checked
  # before the freeze and not again.
  Scenario: A daemon is frozen past its leases
    Given the small deployment runs
    When it is loaded while a daemon is frozen past its leases
    Then the audit finds nothing
    And every accepted job ended

  # Symptom: a task starts without a claim, or results are lost.
  # Sequence: the log hangs; appends take effect only when it comes back.
  # Cause to rule out: an append without an answer taken for one that failed.
  Scenario: The log is away, and answers of appends are lost
    Given the small deployment runs
    When it is loaded while the log hangs and then loses answers
    Then the audit finds nothing
    And every accepted job ended
    And most calls were answered

  # Symptom: claimed work is started by two, or what was accepted is gone.
  # Sequence: the log hangs with appends in flight, their writer dies, another
  # takes its servers over without reading what the log will still take in.
  # Cause to rule out: a takeover that trusts a state older than the outage.
  Scenario: A daemon is killed while the log is away
    Given the small deployment runs
    When it is loaded while a daemon is killed while the log is away
    Then the audit finds nothing
    And every accepted job ended

  # Symptom: callers of a failure domain that is cut off get no answers, or its
  # tasks run again elsewhere. Cause to rule out: serving that depends on what
  # is outside.
  Scenario: A failure domain is cut off
    Given the small deployment runs
    When it is loaded while a failure domain is cut off
    Then the audit finds nothing
    And every accepted job ended
    And callers of the failure domain were answered during the cut

  # Symptom: a task runs on although its end stands in the log.
  # Sequence: a server dies; others lose control answers after the effect.
  Scenario: A backend server dies and others lose their answers
    Given the small deployment runs
    When it is loaded while a backend server dies and answers are lost
    Then the audit finds nothing
    And some attempts ended with their server
    And every accepted job ended

  # Symptom: a caller's answer ends in the middle, or never comes.
  # Sequence: a planned stop while requests are in progress.
  Scenario: A daemon is asked to stop
    Given the small deployment runs
    When it is loaded while a daemon is asked to stop
    Then the audit finds nothing
    And no call was broken off
    And the daemon ended by itself with code 0
