Feature: what is learned of pairs of images is bounded

  Scenario Outline: pairs around the largest number
    # Guards against pairs that are kept for good.
    When <count> pairs with names of 6 bytes are learned
    Then <kept> pairs are kept, the last ones
    And the row has at most 128000 bytes

    Examples:
      | count | kept |
      | 4095  | 4095 |
      | 4096  | 4096 |
      | 4097  | 4096 |
      | 9000  | 4096 |

  Scenario Outline: names around the longest ones
    # Guards against an image whose name alone is longer than a record.
    When a pair with names of <length> bytes is learned
    Then <kept> pairs are kept, the last ones

    Examples:
      | length | kept |
      | 1023   | 1    |
      | 1024   | 1    |
      | 1025   | 0    |
      | 250000 | 0    |

  Scenario: pairs that are looked up only
    # Guards against rows that grow with each pair of images that is submitted.
    When 2500 pairs are looked up and 2 pairs are learned
    Then 2 pairs are kept, the last ones

  Scenario: any pairs
    # Guards against a row that the store never accepts, or that a successor can't read.
    Then any learned pairs fit into a row, from which the last ones are read back

  Scenario: many images on one shard
    # Guards against a row of pairs that stops the shard.
    Given servers that serve many images, 8 of 32 cores
    When 50 serving and 50 best-effort jobs with images of their own are submitted
    Then a plain job that follows is started
