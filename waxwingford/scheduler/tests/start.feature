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
