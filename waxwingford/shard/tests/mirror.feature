Feature: a copy of a topic is read page by page

  Scenario: some pages get no answer
    # Symptom: an owner claims the shard, sends heartbeats, and doesn't act.
    # Sequence: the intake has many pages, and one of a few gets no answer.
    # Cause: reading all pages again after one that got no answer.
    Given a topic of 8 pages, and a store that answers two of three pages
    When the topic is read until all of it is there
    Then each page was answered once
    And the copy is the topic

  Scenario: a topic changes while pages get no answer
    # Symptom: a caller is told that a job isn't known, which was stored.
    # Sequence: some pages are read, the next one gets no answer, a key of the
    # pages that were read changes, another comes and a third one is dropped; the
    # other pages are read.
    # Cause: taking a copy for as new as the newest of its pages.
    Given a topic of 8 pages, and a store that answers two of three pages
    When the topic is read until a page gets no answer
    And it changes, and is read until all of it is there
    Then the copy is the topic
    And the changes were told
