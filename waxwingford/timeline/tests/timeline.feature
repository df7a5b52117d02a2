Feature: Time line over all processes
  Symptom: a merged time line shows an answer before its question, so that the
  reader blames the wrong process.
  Sequence: a daemon whose wall clock is 5 s behind answers another one.
  Cause: ordering by wall time alone.

  Scenario: An effect never stands before its cause when clocks disagree
    Given a daemon "a" and a daemon "b" whose wall clock is 5000 ms behind
    When "a" notes "forward.sent" and "b" notes "forward.taken" because of it
    And "b" notes "forward.answered" and "a" notes "forward.done" because of it
    Then the merged order is "forward.sent, forward.taken, forward.answered, forward.done"
    And places on the axis never go back

  Scenario: A ring is bounded and rings that were read twice give no doubles
    Given a daemon "a" and a daemon "b" whose wall clock is 0 ms behind
    When "a" notes 100 events into its ring of 64
    Then the merged time line of two readings has 64 events

  Scenario: A lease that is never closed is drawn to the end
    Given a daemon "a" and a daemon "b" whose wall clock is 0 ms behind
    When "a" acquires a lease, loses it 40 ms later and acquires it again
    Then there are 2 lease bars and a picture can be drawn
