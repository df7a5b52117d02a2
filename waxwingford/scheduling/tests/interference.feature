Feature: fills beside serving tasks whose loads swing
  # The load: serving tasks stand at 0.22 to 0.37 of their targets' tails when idle,
  # and use 0.21 to 0.63 of a server in swings of 10 s; effects of pairs lie
  # between nothing and three times what the fill itself uses, as those that were
  # measured on two customers' servers (0.0 to 3.4).

  Scenario: fills go where they are borne, and tails stay below their targets
    # Symptom: half of the fills stand still beside tasks that they harm, and
    # these are over their targets for a tenth of the time.
    # Sequence: each image of fills harms one of two images that serve.
    # Cause: placing fills before it is known whom they harm, and judging a
    # swing of a task's own load as harm done by fills.
    Given 6 servers, of which 3 serve "red" and 3 serve "blue", 4 tasks each
    And "apple" fills harm "red" by 2.5, "plum" fills harm "blue" by 2.5
    When 30 fills of each wait, of 4 cores and 2 s, and 30 s pass
    Then serving tasks were over their targets for less than 3 percent of the time
    And all fills are done

  Scenario: troughs of a swing are used, crests are kept free
    # Symptom: fills that harm a little stand still for good, or push tails over
    # their targets at each crest of the load.
    # Sequence: all fills harm the only image that serves; at the crest a server
    # bears 2 cores of them, in the trough 9.
    # Cause: one limit for all times.
    Given 4 servers, of which 4 serve "red" and 0 serve "blue", 3 tasks each
    And "apple" fills harm "red" by 2.0, "plum" fills harm "blue" by 2.0
    When 60 fills of each wait, of 3 cores and 2 s, and 20 s pass
    Then serving tasks were over their targets for less than 5 percent of the time
    And fills of "apple" have used 6 cores at least on the mean

  Scenario: a successor lets up the fills that the former owner slowed
    # Symptom: after the owner was killed, fills stand still for 6 s, then they
    # are stopped and their servers are blamed.
    # Sequence: a fill is halted at the crest of a load, the owner dies, its
    # successor adopts the run.
    # Cause: taking an adopted run for one at full pace, so that no order to let
    # it up is ever sent.
    Given 1 servers, of which 1 serve "red" and 0 serve "blue", 4 tasks each
    And "apple" fills harm "red" by 3.0, "plum" fills harm "blue" by 3.0
    When 3 fills of each wait, of 2 cores and 20 s, and 6 s pass
    And all fills are halted and the owner is killed
    Then some fill works again within 4 s

  Scenario: fills that were slowed for tasks that have left are let up
    # Symptom: a fill stands still on a server where nothing serves.
    # Sequence: a fill is halted beside a serving task, whose job is cancelled.
    # Cause: choosing paces only where something serves.
    Given 1 servers, of which 1 serve "red" and 0 serve "blue", 1 tasks each
    And "apple" fills harm "red" by 3.0, "plum" fills harm "blue" by 3.0
    When 1 fills of each wait, of 6 cores and 20 s, and 4 s pass
    And all fills are halted and the serving jobs are cancelled
    Then all fills work at full pace within 2 s

  Scenario: short urgent jobs go before tasks that last
    # Symptom: urgent jobs of a second wait for ten.
    # Sequence: servers are full of tasks that last for a minute; whenever room
    # comes free, it goes to the next of them.
    # Cause: placing by age what asks for the same priority.
    Given 1 servers, of which 0 serve "red" and 0 serve "blue", 0 tasks each
    When 7 lasting tasks of 6 cores wait before an urgent job of 4 cores
    Then the urgent job starts at once

  Scenario: a fill is not held for servers of another service that are full
    # Symptom: a fill doesn't start for as long as another service is full, though
    # the servers of its own are a quarter full.
    # Sequence: it would harm the task beside it, and waits for a server that bears
    # it; after a while it may start anywhere, unless servers are crowded.
    # Cause: working out how crowded servers are over all services together.
    Given 1 servers, of which 1 serve "red" and 0 serve "blue", 0 tasks each
    And 3 servers of another service, with 30 of 32 cores in use
    And a task of 8 cores that serves "red", which "apple" fills harm by 2.0
    When a fill of "apple" of 16 cores waits for 4 s
    Then it has started after 2 s at least

  Scenario: a fill is not forced on a full service because others are empty
    # Symptom: tasks of a full service are over their targets beside a fill that is
    # known to harm them.
    # Sequence: the servers of another service are empty.
    # Cause: as above.
    Given 1 servers, of which 1 serve "red" and 0 serve "blue", 0 tasks each
    And 3 servers of another service, with 0 of 32 cores in use
    And a task of 28 cores that serves "red", which "apple" fills harm by 2.0
    When a fill of "apple" of 16 cores waits for 4 s
    Then it has not started

  Scenario Outline: a fill sees the only server of its service among many others
    # Symptom: a fill doesn't start before it may start anywhere, or not at all
    # where servers are crowded, though the server of its service is empty.
    # Sequence: 47 servers of another service are open to its image as well, and
    # a second fill, which fits nowhere, waits.
    # Cause: of the servers that are open to an image, each fill looks at the next
    # 24 in turn, whose ever they are: with 48 and two fills always at the same.
    Given 47 servers, of which 0 serve "red" and 0 serve "blue", 0 tasks each
    And they belong to another service, and 1 server of this one registers
    When a fill that fits nowhere waits, and <later> ms later one that fits
    Then the fill that fits has started within 1 s

    Examples:
      | later |
      | 1000  |
      | 1050  |
