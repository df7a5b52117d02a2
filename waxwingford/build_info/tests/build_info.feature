Feature: the digest of a package tells which code it is

  Scenario: the same files give the same digest
    # Guards against digests that differ between two builds of the same code.
    Given a package
    When it is copied elsewhere, and the copy is compiled and gets tests
    Then both have the same digest

  Scenario Outline: other files give another digest
    # Guards against an old build that can't be told from a new one.
    Given a package
    When it is copied elsewhere, and in the copy <change>
    Then the copy has another digest

    Examples:
      | change                     |
      | a byte of a file changes   |
      | a file is renamed          |
      | a file is moved            |
      | an empty file is added     |
      | a line moves to the next file |

  Scenario: a package is installed from other sources than those beside it
    # Guards against a refused build after which the former code is run unnoticed.
    Given a package that is installed below its sources
    Then no sources are found to differ
    When a byte of the sources changes
    Then the sources are found to differ, with their digest

  Scenario: a package that isn't installed below a checkout
    # Guards against a start that looks for sources in folders of others.
    Given a package
    Then no sources are found to differ

  Scenario Outline: a program shows its version
    # Guards against a program whose code can't be identified from outside.
    When "<module>" is started with --version
    Then it shows version and digest of this code, and ends with status 0

    Examples:
      | module                    |
      | waxwingford.scheduler.main |
      | waxwingford.daemon.main   |
      | waxwingford.commands.main |
