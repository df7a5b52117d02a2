Feature: Launcher
  # Symptom: daemons and stand-ins of an earlier run answer in a later one.
  # Sequence: the launcher is interrupted in the middle of a run.
  # Cause to rule out: what was started is stopped only at the regular end.
  Scenario: An interrupted launcher leaves nothing running
    Given a launcher of the small deployment
    When it says "all ready" and gets SIGTERM
    Then it exits with code 130
    And no port of the deployment is open

  Scenario: A deployment with mistakes is refused with all of them
    Given a deployment file in which "slots = 8" reads "slotz = 8"
    When the deployment file is read
    Then it is refused for "servers.slots: got nothing"
    And it is refused for "servers.slotz"
