Feature: Bundles under random interleavings
  Guards against daemons that diverge or revert to an older bundle under some
  order of publishing, retention, network partitions and restarts.

  Scenario: No daemon reverts, takes a losing version or differs at the head
    Then in 120 random interleavings the bundle readers agree with the log
