Feature: metrics of a daemon

  Scenario: latencies are collected before they are added to a histogram
    # Guards against latencies that are rendered twice, or not at all.
    When 1000 latencies of up to 5 s are recorded, and rendered after each 70th
    Then the last text has the quantiles and the count of these latencies
