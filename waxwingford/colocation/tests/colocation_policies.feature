Feature: Rules that every colocation policy keeps

  # Symptom: a VM is committed beyond its size, a leaving server gets work, a
  # command names an attempt that nobody runs.
  # Sequence: any; drawn by hypothesis with a fixed seed.
  # Cause: a policy that reads views only once for several decisions.
  Scenario Outline: Random runs keep the rules of placement
    Then random runs of policy "<policy>" keep the rules of placement

    Examples:
      | policy        |
      | learned       |
      | random        |
      | least_loaded  |
      | best_fit      |
      | evict_at_once |
