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
