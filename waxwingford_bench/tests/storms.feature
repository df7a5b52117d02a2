Feature: Faults of a whole failure domain in virtual time
  Eight daemons with the real decisions; what they retry must not come in step.

  # Symptom: while the log is away, spikes of reads at the platform, and spikes
  #   of exchanges at backend servers every twelve seconds, with quiet between.
  # Sequence: an outage fails the reads of all daemons in one moment; daemons of
  #   lower ranks are denied all leases in one moment.
  # Cause: each came back after a fixed pause, so they stayed in step.
  Scenario: Ten minutes without the log
    Given a metered failure domain with 8 backend servers that takes jobs
    When its log is away for 600 s and back for 120 s
    Then at most 6 of its 8 daemons retry reads in any 100 ms of the outage
    And no 100 ms hold more than 8% of a minute's requests for leases
    And its message rate is within 20% of steady for 10 s, within 60 s of its end
    And all servers are held and the oracle saw nothing wrong

  # Symptom: the log goes away; all waiting submitters come back at once, and
  #   again, for as long as the outage lasts.
  # Cause: all were answered in one moment with the same time to come back.
  Scenario: Submitters that are sent away in one moment
    When 400 submitters are refused in one moment with 2000 ms to wait
    Then no 100 ms hold more than 5% of those who come back
    And nobody is told to come back before 2000 ms
