Feature: Bundles under random interleavings
  Symptom: two daemons act on different bundles, or one goes back.
  Sequence: operators race, publish out of turn and append old records again;
  records age out; daemons are cut off from the log or from each other, are
  frozen, or are replaced by empty ones, in any order.
  Cause: any rule of the chain, of the search for a place to start, of the
  peers or of the restatements that holds in most orders only.

  Scenario: No daemon goes back, takes a loser, or disagrees at the head
    Then in 120 random interleavings the bundle readers agree with the log
