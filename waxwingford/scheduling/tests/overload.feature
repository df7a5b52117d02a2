Feature: demand for best-effort work over what servers have left

  Scenario: images that interfere little with one service and much with another
    # Guards against using up the allowance of servers on which a task interferes.
    Given 2 servers of 64 cores, one of which serves red, the other blue
    And best-effort tasks are known to take 4 of the headroom of red, and 0.4 of that of blue
    When a best-effort job of 3 tasks of 7 cores is submitted
    Then 3 of its tasks start on the server that serves blue

  Scenario: the server on which a task interferes little is in use
    # Guards against leaving servers idle on which a task interferes a little more.
    Given 2 servers of 64 cores, one of which serves red, the other blue
    And best-effort tasks are known to take 1 of the headroom of red, and 0.8 of that of blue
    When a best-effort job of 6 tasks of 7 cores is submitted
    Then 3 of its tasks start on the server that serves blue

  Scenario: serving steps whose loads have their crests at different times
    # Guards against servers on which some serving task always has its crest.
    Given 3 servers of 64 cores
    When a serving job of 2 tasks of 16 cores starts
    And another serving job of 4 tasks of 16 cores starts
    Then no server has tasks of both

  Scenario: serving steps on full servers
    # Guards against serving tasks that wait for a server of their own.
    Given 2 servers of 64 cores
    When a serving job of 6 tasks of 16 cores starts
    And another serving job of 2 tasks of 16 cores starts
    Then all 8 tasks run

  Scenario: a large job that is half done while smaller ones keep coming
    # Guards against large jobs that are begun and never finished.
    Given one server of 8 cores on which 12 of 24 tasks of a job have run
    When jobs of 2 tasks keep coming as fast as its tasks run
    Then the large job completes before more than 2 of the others

  Scenario: a large job that becomes late with little left
    # Guards against late jobs that wait behind all others until they expire.
    Given one server of 8 cores on which 22 of 24 tasks of a job have run
    And the job is late by half its objective
    When jobs of 2 tasks keep coming as fast as its tasks run
    Then the large job completes before more than 2 of the others

  Scenario: a small job that comes while a large one has hardly begun
    # Guards against small jobs that wait for all of a large one.
    Given one server of 8 cores on which 1 of 24 tasks of a job have run
    When jobs of 2 tasks keep coming as fast as its tasks run
    Then one of the others completes before the large job has 6 more runs

  Scenario: a job that has expired
    # Guards against work that no caller waits for any more.
    Given one server of 8 cores on which 22 of 24 tasks of a job have run
    And the job is late by 3 times its objective
    When jobs of 2 tasks keep coming as fast as its tasks run
    Then 6 of the others complete before the large job

  Scenario: a repetition that becomes due long after its job was submitted
    # Guards against repetitions that wait behind all others from their first moment.
    Given one server of 8 cores on which 1 of 2 tasks of a job have run
    And a job of 1 tasks that is due 60 s after it was submitted
    When the job becomes due, and one of 4 tasks is submitted
    And the run on the server ends
    Then the next start is one of the job that was due

  Scenario: the clock steps back after a repetition has become due
    # Guards against negative ages, by which the most work left comes first.
    Given one server of 8 cores on which 1 of 2 tasks of a job have run
    And a job of 4 tasks that is due 60 s after it was submitted
    When the job becomes due, and one of 1 tasks is submitted
    And the clock steps back by 60 s
    And the run on the server ends
    Then the next start is one of the job that was submitted last
