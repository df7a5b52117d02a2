Feature: Mutation tests of the protections
  With one protection disabled, a randomised run or a scripted sequence violates
  an invariant; with all of them enabled the same run does not.

  Scenario Outline: A randomised run without "<protection>" violates an invariant
    When randomised runs are executed without "<protection>", seed <seed> first
    Then one of them reports a violation with "<rule>"
    And the same seed violates no invariant with the protection

    Examples:
      | protection                | seed | rule          |
      | apply_unread_claims       | 1    | capacity      |
      | accept_conflicting_claims | 1    | single_run    |
      | accept_any_epoch          | 11   | runs at       |
      | end_adopted_attempts      | 3    | runs at       |
      | forget_before_logged      | 1    | was done      |
      | lapse_immediately         | 3    | runs at       |
      | overstate_snapshot        | 1    | started twice |
      | skip_capacity_checks      | 1    | runs at       |
      | keep_epoch                | 60   | runs at       |
      | accept_old_answers        | 24   | was done      |

  Scenario: A daemon suspended between planning and sending a start does not send it
    # Guards against running a task twice because the lease is checked only when
    # the start is planned.
    Given a job that lapses when out of contact, on a server that only its holder reaches
    When the holder is suspended before it sends the start
    And the other daemons end the attempt as lapsed and start the next one
    And the holder resumes
    Then the task runs on one server

  Scenario: Without the check before sending the task runs twice
    Given the protection "send_after_expiry" is disabled
    And a job that lapses when out of contact, on a server that only its holder reaches
    When the holder is suspended before it sends the start
    And the other daemons end the attempt as lapsed and start the next one
    And the holder resumes
    Then the task runs on two servers

  Scenario: A holder without the log stops renewing attempts that may be suspected
    # Guards against running a task twice when the holder reaches only the server
    # and the other daemons only the log.
    Given a job that lapses when out of contact, on a server that only its holder reaches
    When the task runs and the holder loses the log
    And the other daemons end the attempt as lapsed and start the next one
    Then the task runs on one server

  Scenario: With a holder that goes on renewing the task runs twice
    Given the protection "renew_suspected" is disabled
    And a job that lapses when out of contact, on a server that only its holder reaches
    When the task runs and the holder loses the log
    And the other daemons end the attempt as lapsed and start the next one
    Then the task runs on two servers

  Scenario: A holder that refutes a suspicion keeps its attempt
    Given a job that lapses when out of contact, on a server that only its holder reaches
    When the task runs and another daemon suspects it
    Then after 120 seconds the first attempt still runs

  Scenario: Tasks of a VM that is no longer listed are started elsewhere
    # Guards against tasks that stay claimed because no daemon contacts an
    # unlisted server.
    Given a job that lapses when out of contact, on a server that only its holder reaches
    When the task runs and its VM fails and is no longer listed
    And the other daemons end the attempt as lapsed and start the next one
    Then the task runs on one server

  Scenario: An attempt of a job without lost_after is never ended as lapsed
    Given a job that never lapses, on a server that only its holder reaches
    When the task runs and the holder crashes
    Then after 300 seconds no other attempt was claimed
    When the server is reachable again
    Then the task is started a second time and finishes

  Scenario: An abandoned claim is never started
    # Guards against running a task twice when a server stops leaving after the
    # end of the claim was offered to the log.
    Given a claim on a server that is leaving
    When the next exchange is planned
    Then the claim is abandoned and its end is offered
    When the server is no longer leaving and the next exchange is planned
    Then nothing is started and the end is offered again

  Scenario: An end that names another suspicion is rejected
    Given the protection "accept_any_suspicion" is disabled
    Then a lapse by a refuted suspicion ends the attempt
    When all protections are enabled
    Then a lapse by a refuted suspicion is ignored
