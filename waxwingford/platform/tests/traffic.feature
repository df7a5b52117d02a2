Feature: names of calls to the platform

  Scenario: each kind of call to the platform is named
    Then a call to "/api/hold" is named "hold"
    And a call on topic "keyed.op" to "/api/log-read" is named "log-read keyed.op"
