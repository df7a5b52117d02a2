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
      | first            | done          |
      | repeats          | at once       |
      | the topic's end  | at once       |
      | repeats          | 0.6 s later   |
      | repeats          | 3 s later     |
      | the topic's end  | 3 s later     |
      | repeats          | never         |
