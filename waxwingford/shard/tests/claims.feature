Feature: a claim whose answer is lost leaves the shard an owner

  Scenario Outline: the answer to the next claim is lost
    # Symptom: nobody acts for seconds though daemons and store are there.
    # Sequence: a store that was slow for a while has made all daemons patient;
    # the owner is killed, the next claim is done, at once or late, or never, and
    # not answered.
    # Cause: a claimer that gives up when it gets no answer, though its claim
    # fences the former owner; the other daemons then find that claim in the
    # journal and wait for heartbeats that nobody sends.
    Given a shard with 3 daemons and 4 servers
    And a store that looks at <first> first
    When the store takes 0.4 s more for each call
    And 3 s pass
    And the store takes 0.9 s more for each call
    And 5 s pass
    And the store takes 0 s more for each call
    And 0.5 s pass
    And the owner is killed
    And the next claim gets no answer and is done <done>
    And a job of 2 steps is submitted through a daemon that lives
    And 6 s pass
    Then the claim that got no answer was sent
    And there is one owner
    When 10 s pass
    Then the job is shown as completed by every daemon
    And each task was started at most once
    And the shard has changed hands once
    And nothing was breached

    Examples:
      | first           | done        |
      | repeats         | at once     |
      | the topic's end | at once     |
      | repeats         | 0.6 s later |
      | repeats         | 3 s later   |
      | the topic's end | 3 s later   |
      | repeats         | never       |

  Scenario Outline: what becomes of a claim without an answer
    # Symptom: two daemons take the shard for their own, or none does.
    # Sequence: a claim gets no answer; before it is repeated, or after that, it is
    # done, or another daemon claims.
    # Cause: an answer to a repeat that is taken for more than it says.
    Given a journal that a former owner has written to
    And a store of its own that looks at <first> first
    When a claim gets no answer and <meanwhile>
    Then the claim <outcome>
    And 10 s later the journal holds <stored> of its tries
    And what its daemon appends next is stored <next>

    Examples:
      | first           | meanwhile                                              | outcome      | stored | next  |
      | repeats         | is done at once                                        | counts       | 1      | once  |
      | the topic's end | is done at once                                        | counts       | 1      | once  |
      | repeats         | is never done                                          | counts       | 1      | once  |
      | the topic's end | is never done                                          | counts       | 1      | once  |
      | repeats         | is done after the journal was read                     | counts       | 1      | once  |
      | the topic's end | is done after the journal was read                     | counts       | 1      | once  |
      | repeats         | is done after its repeat                               | counts       | 1      | once  |
      | the topic's end | is done after its repeat                               | counts       | 1      | once  |
      | repeats         | is done, and another daemon claims at once             | is overtaken | 1      | never |
      | the topic's end | is done, and another daemon claims at once             | is overtaken | 1      | never |
      | repeats         | is done late, and another daemon claims at once        | is overtaken | 0      | never |
      | the topic's end | is done late, and another daemon claims at once        | is overtaken | 0      | never |
      | repeats         | is done late, and another daemon claims after the read | has failed   | 1      | never |
      | the topic's end | is done late, and another daemon claims after the read | is overtaken | 1      | never |
      | repeats         | its repeats get no answer but are done                 | counts       | 1      | once  |
      | the topic's end | its repeats get no answer but are done                 | counts       | 1      | once  |
      | repeats         | is done, and its daemon is stopped                     | counts       | 1      | once  |
      | the topic's end | is done, and its daemon is stopped                     | counts       | 1      | once  |

  Scenario Outline: a claim that is never stored
    # Symptom: a daemon owns a shard without a record of it.
    # Sequence: a claim gets no answer, and neither do its repeats; or the former
    # owner goes on; or the daemon is told to stop.
    # Cause: repeating a claim without end, or counting it without having read it.
    Given a journal that a former owner has written to
    And a store of its own that looks at <first> first
    When a claim gets no answer and <meanwhile>
    Then the claim <outcome>
    And 10 s later the journal holds <stored> of its tries

    Examples:
      | first           | meanwhile                               | outcome    | stored |
      | repeats         | the former owner appends                | has failed | 0      |
      | the topic's end | the former owner appends                | has failed | 0      |
      | repeats         | the former owner appends after the read | has failed | 0      |
      | the topic's end | the former owner appends after the read | has failed | 0      |
      | repeats         | its repeats are never done either       | has failed | 0      |
      | the topic's end | its repeats are never done either       | has failed | 0      |
      | repeats         | its daemon is stopped                   | has failed | 0      |
      | the topic's end | its daemon is stopped                   | has failed | 0      |
