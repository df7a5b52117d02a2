Feature: Daemons with certificates
  Two daemons of one failure domain have certificates of one authority. A third
  has one of another authority, yet trusts the first: only the checks of the
  two keep it out.

  # Symptom: whoever reaches a port passes as a peer, is given requests and
  # learns what is remembered. Sequence: a daemon with a certificate of its own
  # making starts beside the others. Cause to rule out: a side of the connection
  # that encrypts without asking who is there.
  Scenario: A daemon of another authority is no peer
    Given daemons with certificates run, and a stranger beside them
    Then the daemons with certificates hear each other
    And nobody hears the stranger for 3 rounds of heartbeats
    And heartbeats and forwards with the stranger's certificate are refused
    And heartbeats with a good certificate are answered

  Scenario: Callers and operators are served over https only
    Given daemons with certificates run, and a stranger beside them
    Then a request to either daemon is answered over https
    And one of the requests was forwarded between the daemons
    And plain HTTP gets no answer from either port
    And the command-line tool reads the status and submits a job
    And the command-line tool refuses the stranger's certificate
