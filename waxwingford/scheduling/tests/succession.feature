Feature: recovery of a new owner from the rows of its predecessor

  Scenario: the next owner stops a run without progress
    # Guards against stall detection that is off for all restored runs because their speed
    # limit is unknown.
    Given an engine with 2 servers of 8 cores
    And a job of 1 task that runs
    When it makes no progress for 1 s
    And the owner changes
    And it makes no progress until a stop is ordered, for 10 s at most
    Then a stop of the task is ordered
    When the server lists it as stopped
    Then the task is planned on the other server

  Scenario: the next owner stops the run of a long-running task that isn't ready
    # Guards against the same for long-running tasks.
    Given an engine with 2 servers of 8 cores
    And a running long-running job of 1 task
    When it makes no progress for 1 s
    And the owner changes
    And it makes no progress until a stop is ordered, for 10 s at most
    Then a stop of the task is ordered
    When the server lists it as stopped
    Then the task is planned on the other server

  Scenario: a run that is first listed long after the takeover isn't stopped at once
    # Guards against counting the time without progress from the takeover.
    Given an engine with 2 servers of 8 cores
    And a job of 1 task that runs
    When the owner changes
    And 5 s pass before the owner reaches the server, which lists 0 percent for 2 s
    Then no stop is ordered

  Scenario: a job completes whose repetitions ended under different owners
    # Guards against a new owner that counts ended repetitions as outstanding.
    Given an engine with 1 servers of 8 cores
    When a job is submitted that is due in 1 s, twice, 3 s apart
    And 2 s pass in the engine
    And the last planned run ends as done
    And the owner changes
    And 3 s pass in the engine
    Then 2 runs were planned in all
    And the job is reported as running
    When the last planned run ends as done
    Then the job is reported as completed

  Scenario: a job with overlapping repetitions doesn't complete too soon
    # Guards against counting a repetition twice, or one that has begun as ended.
    Given an engine with 1 servers of 8 cores
    When a job is submitted that is due in 1 s, twice, 3 s apart
    And 6 s pass in the engine
    And the last planned run ends as done
    And the owner changes
    And 1 s pass in the engine
    And the owner changes
    And 1 s pass in the engine
    Then 2 runs were planned in all
    And the job is reported as running
    When the first planned run ends as done
    Then the job is reported as completed

  Scenario: a job with only done tasks completes although its end wasn't stored
    # Guards against checking for completion only when a run ends.
    Given an engine with 1 servers of 8 cores
    And a job of 1 task that runs
    When the previous owner stores that its task is done, but not its end
    And the owner changes
    And 1 s pass in the engine
    Then the job is reported as completed
    And nothing else was planned

  Scenario: a step starts whose dependency ended under the previous owner
    # Guards against releasing steps only when a run ends.
    Given an engine with 1 servers of 8 cores
    When a job of two steps is submitted
    And the last planned run ends as done, and the owner changes at once
    And 1 s pass in the engine
    Then 2 runs were planned in all
    And the job is reported as running
    When the last planned run ends as done
    Then the job is reported as completed

  Scenario: a gang that lost a member before the owner changed is stopped
    # Guards against members of a gang that wait because the decision to stop them was not
    # stored.
    Given an engine with 2 servers of 3 cores
    And a gang of 4 tasks of 1 core that runs
    When one member is refused by its server, and the owner changes at once
    And 1 s pass in the engine
    Then a stop of the 3 other members is ordered

  Scenario: a complete gang keeps running under the next owner
    Given an engine with 2 servers of 3 cores
    And a gang of 4 tasks of 1 core that runs
    When the owner changes
    And 1 s pass in the engine
    Then no stop is ordered

  Scenario: the pending time of a long-running task survives a change of owner
    # Guards against a wait that restarts with each owner.
    Given an engine with 1 servers of 8 cores
    And a running long-running job of 1 task
    When its run is stopped while no server accepts starts
    And 1 s pass in the engine
    And the owner changes
    And 1 s pass in the engine
    And the owner changes
    Then it has waited for 2 to 3 s

  Scenario: differing clocks of owners bound the pending time
    # Guards against pending times that are negative or hours long.
    Given an engine with 1 servers of 8 cores
    And a running long-running job of 1 task
    When its run is stopped while no server accepts starts
    And 1 s pass in the engine
    And the owner changes to one whose clock is 5000 s behind
    Then it has waited for 0 to 1 s
    When the owner changes to one whose clock is 5000 s ahead
    Then it has waited for 0 to 61 s

  Scenario: incarnations are read back from rows
    # Guards against adopting runs under another server, and against rows of earlier
    # versions that hold back their jobs.
    Then each incarnation is read back from its text
    And the text "i-7f3a91c2" is read as an unknown start of "i-7f3a91c2"
    And the text "i-1@x" is read as an unknown start of "i-1@x"
