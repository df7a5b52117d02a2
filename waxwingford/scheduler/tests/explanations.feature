Feature: daemons of a shard answer where a job would go

  Scenario: each daemon is asked, and again after a change of owner
    # Guards against daemons that name no owner or a lost one, and against owners that
    # answer before they have taken the shard over.
    Given a shard with 3 daemons and 4 servers
    Then one daemon explains a job, and the others answer 421 with its address
    When the owner is killed
    Then the others never explain a job that they can't place
    And one daemon explains a job, and the others answer 421 with its address
