Feature: Answers that name only what changed
  Control traffic must not grow with the attempts on a server.

  Scenario: A later answer names what changed since, and no more
    Given a changing server with attempts "a" and "b" running
    When the holder asks again with what it knows
    Then the answer is a delta that names ""
    When attempt "a" is stopped and the holder asks again with what it knows
    Then the answer is a delta that names "a"
    When the holder asks for everything
    Then the answer is whole and names "a, b"

  Scenario: What is excepted from renewal lapses, the rest goes on
    # Symptom: an attempt that others may take goes on, or one that nobody
    # suspects lapses. Cause: "all but these" read against another set of
    # attempts than the one that the holder knew.
    Given a changing server with attempts "a" and "b" running
    When the holder renews all that it knows except "b" for 20 seconds
    Then attempt "a" is "running" and attempt "b" is "lapsed"

  Scenario: What came after the known answer is not renewed by it
    Given a changing server with attempts "a" and "b" running
    When attempt "c" starts and its answer is lost
    And the holder renews all that it knew before for 20 seconds
    Then attempt "a" is "running" and attempt "c" is "lapsed"

  Scenario: A forget whose answer was lost does not leave the attempt behind
    Given a changing server with attempts "a" and "b" running
    When "a" is stopped, and forgotten in an exchange whose answer is lost
    And the holder forgets "a" once more
    Then the holder knows of "b" only
