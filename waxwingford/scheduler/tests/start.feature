Feature: a daemon starts with little processor time, and serves callers first
  On a VM with a fourteenth of a core each 0.1 s of imports is 1.4 s of standing still.

  Scenario: what a start imports
    # Guards against a start that takes seconds on a weak VM, as it imports
    # libraries that it needs later or never.
    When the modules of a daemon that serves callers are imported
    Then none of these packages is imported
      | package                     |
      | aiohttp                     |
      | difflib                     |
      | email                       |
      | google                      |
      | grpclib                     |
      | h2                          |
      | http.client                 |
      | http.cookies                |
      | pydantic                    |
      | transitions                 |
      | waxwingford.batch           |
      | waxwingford.commands        |
      | waxwingford.daemon          |
      | waxwingford.peers           |
      | waxwingford.settings._model |
      | waxwingford.shard._drivers  |
      | waxwingford.shard._owner    |
      | waxwingford.shard._peers    |
      | waxwingford.scheduling._engine |
      | waxwingford.scheduling._placement_report |
      | waxwingford.scheduler._explanations |
      | xxhash                      |
    And at most 240 modules are imported

  Scenario: an unknown key is compared with the known ones
    # Guards against a start that imports what only messages need.
    When settings are loaded without a problem
    Then the module "difflib" is not imported
    When settings are loaded with an unknown key
    Then the module "difflib" is imported

  Scenario: a daemon serves callers while it prepares to own the shard
    # Guards against a daemon that answers nobody until it could own the shard, and
    # against one that claims before.
    Given a daemon whose modules for an owner are not imported yet
    When it is started
    Then it answers readiness with status 503
    And it answers callers with status 503
    And it does not accept other daemons, and claims nothing
    When these modules are imported
    Then it accepts other daemons, and may claim
    And it answers a question where a job would go with status 503

  Scenario: a daemon tells which code it runs
    # Guards against a fault of an old build that is taken for one of the new code.
    Given a daemon whose modules for an owner are not imported yet
    When it is started
    And these modules are imported
    Then the line of its start and its metrics tell version and digest of the code
    And no line tells of other sources

  Scenario: the build has recorded the digest of the code
    # Guards against starts that read all source files while nobody owns the shard.
    Given a daemon whose modules for an owner are not imported yet
    And a digest is recorded with its package
    And its source files can't be read
    When it is started
    Then the line of its start tells the recorded digest

  Scenario: a daemon is installed beside other sources
    # Guards against a refused build after which the former code is run unnoticed.
    Given a daemon whose modules for an owner are not imported yet
    And the sources beside its package have another digest
    When it is started
    And these modules are imported
    Then a warning tells both digests

  Scenario: a daemon can't read its source files
    # Guards against a daemon that ends because of what it only reports.
    Given a daemon whose modules for an owner are not imported yet
    And its source files can't be read
    When it is started
    And these modules are imported
    Then a warning tells that they are not read
    And the line of its start tells that the digest is unknown
    And it accepts other daemons, and may claim
