Feature: Invariants of all colocation policies

  # Guards against overcommitted VMs, placements on leaving servers and
  # reactions to attempts that are not running.
  Scenario Outline: A policy keeps the placement invariants in random runs
    Then policy "<policy>" keeps the placement invariants in random runs

    Examples:
      | policy        |
      | learned       |
      | random        |
      | least_loaded  |
      | best_fit      |
      | evict_at_once |
