Feature: Chain of bundles
  Guards against taking a record that is not the fully signed direct successor
  of the bundle in force: daemons would apply different or unapproved limits.

  Scenario Outline: An invalid record is rejected with a reason
    Given a bundle chain with version 2 in force
    When a bundle record is offered that is <fault>
    Then the bundle is rejected with "<reason>"
    And version 2 stays in force and accepts a valid successor

    Examples:
      | fault                         | reason                                 |
      | unsigned                      | signatures of ['qadri', 'svatbena'] are missing |
      | signed by one member          | signatures of ['svatbena'] are missing |
      | signed with a wrong key       | signatures of ['svatbena'] are not by the pinned keys |
      | also signed by a stranger     | signed by unknown members ['stranger'] |
      | of the version before         | version 1 is older than version 2      |
      | of the same version           | version 2 was won by                   |
      | of a skipped version          | expected version 3, got 4              |
      | with a wrong predecessor      | predecessor is                         |
      | with a changed body           | record claims                          |
      | with a changed version        | differ in version or predecessor       |
      | with a share above 1          | members.qadri.share                    |
      | with shares that sum above 1  | shares add up to 1.200                 |
      | reserving above any server    | expected at most 32000 (largest_server) |
      | with a quota of a stranger    | unknown member 'stranger'              |
      | with an unknown domain        | unknown 'clifton', expected one of gulberg |
      | with a member without a key   | have no pinned key                     |
      | with an unknown key           | Extra inputs are not permitted         |
      | with a body above 512 KiB     | expected at most 524288                |
      | with an oversized record      | expected at most 534288                |
      | with a patch nested too deep  | patch is nested too deep               |
      | with a body nested too deep   | not a bundle record                    |
      | with neither body nor patch   | expected either a body or a patch      |
      | not JSON                      | not a bundle record                    |

  Scenario: Of two competing successors the one with the lower offset wins
    Given a bundle chain with version 2 in force
    When two competing successors of version 2 are offered at offsets 7 and 8
    Then the bundle is rejected with "version 3 was won by"
    And the bundle is rejected with "offset 7"
    And version 3 from offset 7 is in force

  Scenario: A duplicate record is ignored
    Given a bundle chain with version 2 in force
    When the record of version 2 is offered again
    Then the bundle is already in force

  Scenario: A small change of a large bundle gives a small record
    Given a bundle of 680 teams
    When one quota is changed
    Then the record takes less than 1000 bytes and gives the same digest
