Feature: a topic is copied page by page

  Scenario: some pages get no answer
    # Guards against a load that starts again at the first page after a failed
    # one, and so never completes.
    Given a topic of 8 pages, and a store that answers two of three pages
    When the topic is read until the copy is complete
    Then each page was read once
    And the copy is the topic

  Scenario: a topic changes while pages get no answer
    # Guards against a copy that misses records appended after its first pages
    # were read.
    Given a topic of 8 pages, and a store that answers two of three pages
    When the topic is read until a page gets no answer
    And the topic changes and is read until the copy is complete
    Then the copy is the topic
    And the changes were returned

  Scenario: a topic changes between two of its pages
    # Guards against a job that is answered as unknown, as its key was stored in a page
    # that had been read.
    Given a topic of 3 pages, and a store that answers all pages
    When a key of the first page is stored after that page was read
    And the topic is read to its end once
    Then the copy is the topic

  Scenario Outline: reads return few records at a time
    # Guards against a copy that is used though the topic goes on.
    Given a topic of 3 pages, and a store that answers all pages
    And reads return <records> records
    When the topic is read to its end once
    And 100 records are appended
    And the topic is read to its end once
    Then the copy is the topic

    Examples:
      | records |
      | 1       |
      | 99      |
      | 100     |
      | 101     |

  Scenario: reads return no record though there are some
    # Guards against a read that is repeated without a pause, for ever.
    Given a topic of 1 pages, and a store that answers all pages
    When the topic is read to its end once
    And 3 records are appended
    And reads return 0 records
    Then reading the topic to its end fails

  Scenario: keys that were deleted
    # Guards against a copy that grows with each key that ever was.
    Given a topic of 1 pages, and a store that answers all pages
    When the topic is read to its end once
    And all of its keys are deleted and others stored, 5 times
    Then the copy remembers no more keys than the topic has

  Scenario: any changes between any reads
    # Guards against a copy that differs from the topic once it was read to its end.
    Then a copy that is read to its end is the topic, in any order of events

  Scenario: heartbeats that one read doesn't return
    # Guards against a standby that claims by an outdated heartbeat.
    Given a watch of an owner that was suspended while 30 heartbeats were stored
    And reads return 10 records
    When the watch reads once without waiting
    Then it knows the last heartbeat
