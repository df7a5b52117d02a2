Feature: a claim whose answer is lost leaves the shard with an owner

  Scenario Outline: the answer to the next claim is lost
    # Guards against a claimer that gives up when it gets no answer, while other
    # daemons find its claim in the journal and wait for its heartbeats.
    Given a shard with 3 daemons and 4 servers
    And a store that checks <first> first
    When the store takes 0.4 s more for each call
    And 3 s pass
    And the store takes 0.9 s more for each call
    And 5 s pass
    And the store takes 0 s more for each call
    And 0.5 s pass
    And the owner is killed
    And the next claim gets no answer and is applied <applied>
    And a job of 2 steps is submitted through a running daemon
    And 6 s pass
    Then the claim that got no answer was sent
    And there is one owner
    When 10 s pass
    Then every daemon reports the job as completed
    And each task was started at most once
    And the owner has changed once
    And no invariant was violated

    Examples:
      | first           | applied     |
      | duplicates      | at once     |
      | the topic's end | at once     |
      | duplicates      | 0.6 s later |
      | duplicates      | 3 s later   |
      | the topic's end | 3 s later   |
      | duplicates      | never       |

  Scenario Outline: a claim gets no answer
    # Guards against two owners, or none, because the answer to a retry is
    # trusted beyond what it proves.
    Given a journal that a previous owner has written to
    And a separate store that checks <first> first
    When a claim gets no answer and <meanwhile>
    Then the claim <outcome>
    And 10 s later the journal holds <stored> of its attempts
    And what its daemon appends next is stored <next>

    Examples:
      | first           | meanwhile                                                 | outcome      | stored | next  |
      | duplicates      | is applied at once                                        | succeeds     | 1      | once  |
      | the topic's end | is applied at once                                        | succeeds     | 1      | once  |
      | duplicates      | is never applied                                          | succeeds     | 1      | once  |
      | the topic's end | is never applied                                          | succeeds     | 1      | once  |
      | duplicates      | is applied after the journal was read                     | succeeds     | 1      | once  |
      | the topic's end | is applied after the journal was read                     | succeeds     | 1      | once  |
      | duplicates      | is applied after its retry                                | succeeds     | 1      | once  |
      | the topic's end | is applied after its retry                                | succeeds     | 1      | once  |
      | duplicates      | is applied, and another daemon claims at once             | is overtaken | 1      | never |
      | the topic's end | is applied, and another daemon claims at once             | is overtaken | 1      | never |
      | duplicates      | is applied late, and another daemon claims at once        | is overtaken | 0      | never |
      | the topic's end | is applied late, and another daemon claims at once        | is overtaken | 0      | never |
      | duplicates      | is applied late, and another daemon claims after the read | fails        | 1      | never |
      | the topic's end | is applied late, and another daemon claims after the read | is overtaken | 1      | never |
      | duplicates      | its retries get no answer but are applied                 | succeeds     | 1      | once  |
      | the topic's end | its retries get no answer but are applied                 | succeeds     | 1      | once  |
      | duplicates      | is applied, and its daemon is stopped                     | succeeds     | 1      | once  |
      | the topic's end | is applied, and its daemon is stopped                     | succeeds     | 1      | once  |

  Scenario Outline: a claim that is never stored
    # Guards against a claimer that retries for ever, or counts its claim as
    # stored without having read it.
    Given a journal that a previous owner has written to
    And a separate store that checks <first> first
    When a claim gets no answer and <meanwhile>
    Then the claim <outcome>
    And 10 s later the journal holds <stored> of its attempts

    Examples:
      | first           | meanwhile                                 | outcome | stored |
      | duplicates      | the previous owner appends                | fails   | 0      |
      | the topic's end | the previous owner appends                | fails   | 0      |
      | duplicates      | the previous owner appends after the read | fails   | 0      |
      | the topic's end | the previous owner appends after the read | fails   | 0      |
      | duplicates      | its retries are never applied either      | fails   | 0      |
      | the topic's end | its retries are never applied either      | fails   | 0      |
      | duplicates      | its daemon is stopped                     | fails   | 0      |
      | the topic's end | its daemon is stopped                     | fails   | 0      |

  Scenario: a daemon that can't own yet
    # Guards against a claim by a daemon that is still starting: the shard would
    # have an owner that does nothing.
    Given a shard of 1 daemons, the first of which can't own it yet
    When 5 s pass
    Then nobody has claimed the shard
    When the first daemon can own the shard
    And 2 s pass
    Then there is one owner

  Scenario: another daemon claims while a daemon can't own yet
    # Guards against a claim for a loss of the owner that is over.
    Given a shard of 2 daemons, the first of which can't own it yet
    When 5 s pass
    Then there is one owner
    When the first daemon can own the shard
    And 5 s pass
    Then there is one owner
    And the second daemon alone has claimed the shard
