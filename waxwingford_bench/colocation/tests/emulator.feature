Feature: Emulator of colocation

  Scenario: A run depends on nothing but its seed
    When policy "learned" runs 60 s of scenario "noisy_wave" twice with seed 7
    Then both runs of the emulator give the same figures

  Scenario Outline: No policy over-commits an emulated VM under faults
    When policy "<policy>" runs 120 s of scenario "<scenario>" with seed 7
    Then no decision would have over-committed an emulated VM
    And the emulated members got work done

    Examples:
      | policy        | scenario           |
      | learned       | rack_lost          |
      | learned       | wrong_declarations |
      | evict_at_once | bad_server         |

  # Guards against delivering samples early, which would favour a policy.
  Scenario: A sample arrives no sooner than its lag
    When an emulated server runs 60 s with a lag of 30 s
    Then its first sample arrives after 35 s and says that it is 30 s old
