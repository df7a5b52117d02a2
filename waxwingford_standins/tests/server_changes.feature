Feature: Incremental control replies
  Control traffic must not grow with the number of attempts on a server.

  Scenario: A reply reports only the attempts that changed
    Given a server that reports changes with attempts "a" and "b" running
    When the holder requests changes since its version
    Then the reply is a delta that reports ""
    When attempt "a" is stopped and the holder requests changes since its version
    Then the reply is a delta that reports "a"
    When the holder requests all attempts
    Then the reply is complete and reports "a, b"

  # Guards against exceptions that are applied to other attempts than those
  # known to the holder.
  Scenario: Attempts excepted from renewal lapse, others keep running
    Given a server that reports changes with attempts "a" and "b" running
    When the holder renews all known attempts except "b" for 20 seconds
    Then attempt "a" is "running" and attempt "b" is "lapsed"

  Scenario: Attempts unknown to the holder are not renewed
    Given a server that reports changes with attempts "a" and "b" running
    When attempt "c" starts and the reply is lost
    And the holder renews all known attempts for 20 seconds
    Then attempt "a" is "running" and attempt "c" is "lapsed"

  Scenario: A forgotten attempt disappears although the reply was lost
    Given a server that reports changes with attempts "a" and "b" running
    When "a" is stopped and forgotten, and the reply is lost
    And the holder forgets "a" again
    Then the holder knows only "b"
