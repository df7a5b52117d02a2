Feature: Faults of a whole failure domain in virtual time
  Retries of the daemons and submitters must not be synchronised.

  # Without jitter, an outage synchronises the read retries and the lease
  # requests of all daemons.
  Scenario: Retries stay spread during a log outage of ten minutes
    Given a metered failure domain of 8 daemons and 8 backend servers
    When its log is unavailable for 600 s and available for 120 s
    Then at most 6 daemons retry reads in any 100 ms of the outage
    And no 100 ms contain more than 8% of a minute's lease acquisition requests
    And the message rate is within 20% of steady state over 10 s, at most 60 s after the outage
    And all servers are leased and the oracle found no violation

  # Without jitter, submitters refused at the same time retry at the same time.
  Scenario: Retries of submitters refused at once are spread
    When 400 submitters are refused at once with a delay of 2000 ms
    Then no 100 ms contain more than 5% of the retried submissions
    And no submitter is told to retry before 2000 ms

