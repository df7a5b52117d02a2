Feature: what an owner goes on with from the rows of its predecessor

  Scenario: a run that stands still is given up by the next owner too
    # Symptom: a job never ends, its task is listed as running.
    # Sequence: a server keeps a task without any progress; before that is
    # noticed the owner changes.
    # Cause: the pace of every inherited run counts as unknown, that of tasks that
    # are never paced too, and runs whose pace isn't full are not given up.
    Given an engine with 2 servers of 8 cores
    And a job of 1 task that runs
    When its progress stands still for 1 s
    And the owner changes
    And its progress stands still until a stop is ordered, for 10 s at most
    Then a stop of the task is ordered
    When the server lists it as stopped
    Then the task is planned on the other server

  Scenario: a lasting run that isn't at work is given up by the next owner too
    # Symptom: a lasting task isn't at work for minutes, with room for it elsewhere.
    # Sequence: a server keeps it at the start of its work; the owner changes.
    # Cause: as above.
    Given an engine with 2 servers of 8 cores
    And a lasting job of 1 task that runs
    When its progress stands still for 1 s
    And the owner changes
    And its progress stands still until a stop is ordered, for 10 s at most
    Then a stop of the task is ordered
    When the server lists it as stopped
    Then the task is planned on the other server

  Scenario: a run that is first seen long after the takeover isn't given up at once
    # Symptom: a task that has just begun is stopped, and its server blamed.
    # Sequence: a run is at its very beginning when the owner changes; its server
    # is reached only seconds later, and lists no progress yet.
    # Cause: counting the time without progress from the takeover.
    Given an engine with 2 servers of 8 cores
    And a job of 1 task that runs
    When the owner changes
    And 5 s pass before it reaches the server, which lists 0 percent for 2 s
    Then no stop is ordered
