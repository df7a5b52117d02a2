Feature: the commands that the pages name

  # Guards against benchmarks that fail at once, as nothing starts them in CI.
  Scenario Outline: A benchmark starts
    When the module "<module>" is started with --help
    Then it prints its usage

    Examples:
      | module                             |
      | waxwingford_bench.main             |
      | waxwingford_bench.capacity         |
      | waxwingford_bench.recovery         |
      | waxwingford_bench.interference     |
      | waxwingford_bench.owner_cost       |
      | waxwingford_bench.placement_round  |
      | waxwingford_bench.random_run       |
      | waxwingford_bench.start_cost       |
      | waxwingford_bench.storms           |
      | waxwingford_bench.verdicts         |
      | waxwingford_bench.whole_path       |
      | waxwingford_bench.bundles.rollout  |
      | waxwingford_bench.routing.cost     |
      | waxwingford_standins.launcher      |

  # Guards against benchmarks that look for the deployments in another folder.
  Scenario Outline: A benchmark finds its deployment
    When the module "<module>" looks for its deployment
    Then the file "<file>" is there

    Examples:
      | module                              | file            |
      | waxwingford_bench.whole_path.fleet  | deployment.toml |
      | waxwingford_bench.capacity.__main__ | bundle.toml     |

  Scenario: a simulated fault that leaves no server
    # Guards against taking tasks that no server is left for as lost.
    When the module "waxwingford_bench.storms" is started with the arguments "--case rack_gone --servers 8"
    Then the command is rejected with "--servers 8: expected at least 12 for rack_gone"
