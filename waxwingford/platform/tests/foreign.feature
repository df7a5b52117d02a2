Feature: entries and answers that others write, in a form that isn't known

  Scenario Outline: a registration of another writer names no server
    # Guards against starts on a server that nobody offers, and an owner that ends.
    Given registrations of two servers, one of which <form>
    When they are read
    Then only the other one is named
    And one line tells of a registration that was not read

    Examples:
      | form                                       |
      | has no service                             |
      | has a number for its service               |
      | has no address                             |
      | has an address without a port              |
      | has an address with a port of 99999        |
      | has no state                               |
      | has the state "resting"                    |
      | has no capacity                            |
      | has a capacity of text                     |
      | has less than no memory                    |
      | has labels of numbers                      |
      | is cut short                               |
      | is a list                                  |
      | isn't text                                 |

  Scenario: a registration that can't be read is told of seldom
    # Guards against logs that fill up with one entry that stands there for hours.
    Given registrations of two servers, one of which has no state
    When they are read 500 times
    Then one line tells of a registration that was not read
    When that one is written 500 times more, each time another way
    Then 5 to 12 lines tell of a registration that was not read

  Scenario: a registration that can be read again
    Given registrations of two servers, one of which has no state
    When they are read
    And that one is mended
    Then both are named

  Scenario: registrations of any content
    # Guards against an error that ends the ownership, whatever others write.
    Then mutated registrations name a whole server or none, and raise nothing

  Scenario: answers of servers of any content
    # Guards against an error that ends the ownership, whatever a server answers.
    Then mutated answers to a look are whole or not understood, and raise nothing

  Scenario: a configuration that can't be read is told of once
    # Guards against logs that fill up, and a configuration in force that is given up.
    Given a store whose configuration can be read
    When it is followed by one that can't be read, for 3 s
    Then the former one is in force
    And one line tells of a configuration that was not read

  Scenario Outline: a record with a key that can't be read
    # Guards against a topic that can't be followed any more, for one record in it.
    Given a store with a record that has <key>, and a sound one behind it
    When the topic is read
    Then the sound one is read, at its offset

    Examples:
      | key                   |
      | no key                |
      | nothing at all        |
      | a key that isn't text |
