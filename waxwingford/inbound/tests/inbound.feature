Feature: a budget for what clients and other daemons make a process hold

  Background:
    Given a share of 400000 bytes and 4 connections

  Scenario: one connection asks for more than its part
    # Guards against one client that takes what is meant for all.
    Given the connections a, b
    Then a can't reserve 100001 bytes
    And b can reserve 90000 bytes

  Scenario: large requests leave room for small ones
    # Guards against bodies that keep ordinary callers out.
    Given the connections a, b, c, d
    When a, b, c reserve 90000 bytes
    Then d can't reserve 50000 bytes
    And d can reserve 2000 bytes

  Scenario Outline: what makes room for memory
    # Guards against ordinary callers that lose their requests to one that stands still.
    Given the connections a, b, c, d
    When a, b, c reserve 90000 bytes
    And a is <a>, b is <b>, c is <c>
    And <span_s> s pass in which <active> makes progress
    Then d <outcome> reserve 50000 bytes
    And <closed> is closed

    Examples:
      | a         | b         | c         | span_s | active  | outcome | closed  |
      | receiving | receiving | receiving | 2      | b, c    | can     | a       |
      | receiving | unread    | busy      | 2      | a       | can     | b       |
      | receiving | unread    | busy      | 2      | nobody  | can     | b       |
      | busy      | busy      | idle      | 2      | nobody  | can't   | nobody  |
      | receiving | receiving | receiving | 0.5    | nobody  | can't   | nobody  |
      | receiving | busy      | busy      | 11     | a, b, c | can     | a       |

  Scenario Outline: what makes room for a connection
    # Guards against idle connections that keep ordinary callers out, and against
    # requests in progress that are broken off.
    Given the connections a, b, c, d
    When a is <a>, b is <b>, c is <c>
    And the requests of d are handled
    And <span_s> s pass in which <active> makes progress
    Then another connection <outcome> be opened
    And <closed> is closed

    Examples:
      | a         | b         | c      | span_s | active  | outcome | closed |
      | idle      | silent    | unread | 2      | nobody  | can     | c      |
      | idle      | silent    | idle   | 2      | nobody  | can     | b      |
      | idle      | idle      | busy   | 2      | a       | can     | b      |
      | receiving | receiving | busy   | 0.1    | a, b    | can     | a      |
      | idle      | idle      | idle   | 0.1    | nobody  | can't   | nobody |
      | busy      | busy      | busy   | 60     | nobody  | can't   | nobody |

  Scenario: a request outlasts its connection
    # Guards against clients that leave, and return with more while their requests are
    # handled.
    Given the connections a, b
    When a reserves 90000 bytes and is closed
    Then 94096 bytes are used
    When the reservation of a is released
    Then 4096 bytes are used

  Scenario: shares of the smallest VM
    # Guards against shares that leave nothing for the store, or that legal clients meet.
    When 160 MB and 4100 descriptors are divided
    Then the shares take at most a third of the memory and 0.7 of the descriptors
    And callers have 975 connections, and one of them 5000000 bytes

  Scenario: refusals are reported
    # Guards against limits that no operator sees, and against a line for each refusal.
    Given the connections a, b
    When b can't reserve 200000 bytes, 50 times
    Then one line tells of 50 refusals, and the metrics count them

  Scenario: calls of other daemons that are too large
    # Guards against a message that takes the memory of the owner, or that ends the
    # other calls on its connection.
    Given a share of 4000000 bytes and 4 connections
    And a server of calls with that share
    When a daemon stores 1000 and 600000 bytes on one connection
    Then only the first is stored
    And 4096 bytes were used after that

  Scenario: calls that are reset at once
    # Guards against calls that end before they begin, and never give back their memory.
    Given a share of 4000000 bytes and 4 connections
    And a server of calls with that share
    When a daemon begins 200 calls and resets each of them
    Then 4096 bytes were used after that

  Scenario: calls with large headers
    # Guards against headers that are counted nowhere, while their calls wait.
    Given a share of 4000000 bytes and 4 connections
    And a server of calls with that share
    When a daemon begins 30 calls with headers of 30000 bytes
    Then some of them were refused for memory

  Scenario Outline: connections that end before they are encrypted
    # Guards against buffers that stay in memory after their connection gave back its share.
    Given a share of 4000000 bytes and 4 connections
    When 20 connections to a TLS listener <end> while no garbage is collected
    Then none of their buffers is left in memory

    Examples:
      | end              |
      | are evicted      |
      | send no TLS      |
      | are left at once |
