Feature: the build of a deployment works offline, and never leaves half

  Background:
    Given a checkout without an index of libraries

  Scenario: the listed libraries are installed, and their list is newer
    # Guards against a build that removes its libraries before it knows that it
    # can get them again.
    Given its libraries are installed, and a file of the package has changed
    When the list of libraries is written again, with the same content
    And it is built
    Then the build succeeds
    And the libraries are the former ones
    And the package is that of the checkout

  Scenario: another library is listed
    # Guards against a failed build after which nothing can be started.
    Given its libraries are installed, and a file of the package has changed
    When another version of a library is listed
    And it is built
    Then the build fails, and tells the status of pip
    And everything installed is as it was

  Scenario: the package can't be compiled
    # Guards against a failed build that leaves a part of the new package.
    Given its libraries are installed, and a file of the package has changed
    When a file of the package has a syntax error
    And it is built
    Then the build fails
    And everything installed is as it was

  Scenario: the libraries are those of another interpreter
    # Guards against daemons that can't import their libraries.
    Given its libraries are installed, and a file of the package has changed
    When a library is one that another interpreter has compiled
    And it is built
    Then the build fails, and tells the status of pip
    And everything installed is as it was

  Scenario: nothing is installed yet
    # Guards against a build that fails and looks as if it had succeeded.
    When it is built
    Then the build fails, and tells the status of pip
    And nothing is installed

  Scenario: another version of a library can be had
    # Guards against libraries that are never replaced.
    Given its libraries are installed, and a file of the package has changed
    When another version of a library is listed, and can be had
    And it is built
    Then the build succeeds
    And only that version is installed
    And the package is that of the checkout
