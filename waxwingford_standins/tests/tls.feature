Feature: Mutual TLS between daemons
  Two daemons have certificates of one authority. A third daemon has a
  certificate of another authority but trusts both, so that only the checks of
  the first two can reject it.

  # Guards against a side of a connection that encrypts without verifying the
  # certificate of its peer.
  Scenario: A daemon with a certificate of another authority is rejected
    Given two trusted daemons and an untrusted daemon run
    Then the trusted daemons receive heartbeats from each other
    And the untrusted daemon exchanges no heartbeats for 3 rounds
    And heartbeats and forwards with the untrusted certificate are rejected
    And heartbeats with a trusted certificate are answered

  Scenario: Callers and operators are served over https only
    Given two trusted daemons and an untrusted daemon run
    Then a request to either trusted daemon is answered over https
    And one of the requests was forwarded between the trusted daemons
    And plain HTTP gets no answer from either port
    And the command-line tool reads the status and submits a job
    And the command-line tool rejects the untrusted certificate
