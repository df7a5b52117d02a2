Feature: Launcher
  # Guards against processes that outlive an interrupted launcher and respond
  # in a later run.
  Scenario: An interrupted launcher leaves no process running
    Given a launcher of the small deployment
    When it prints "all ready" and receives SIGTERM
    Then it exits with code 130
    And no port of the deployment is open

  Scenario: All errors of an invalid deployment file are reported
    Given a deployment file with "slots = 8" replaced by "slotz = 8"
    When the deployment file is read
    Then it is rejected with "servers.slots: got nothing"
    And it is rejected with "servers.slotz"
