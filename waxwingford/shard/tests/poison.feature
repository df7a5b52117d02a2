Feature: a record that can't be used doesn't stop anything else

  Scenario Outline: a submission that can't be scheduled is refused
    # Guards against accepting a job that ends each owner that reads it.
    Given a shard with 3 daemons and 4 servers
    When a client submits the steps <steps> with <more>
    Then the client gets status 400 and "<text>"
    And the store has no job

    Examples:
      | steps                                       | more                               | text                                                              |
      | [{"count":1,"depends-on":[0]}]              | {}                                 | steps[0].depends-on: 0, expected no step                          |
      | [{"count":1},{"count":1,"depends-on":[2]}]  | {}                                 | steps[1].depends-on: 2, expected an earlier step, 0 to 0          |
      | [{"count":1},{"count":1,"depends-on":[-1]}] | {}                                 | steps[1].depends-on: -1, expected an earlier step, 0 to 0         |
      | [{"count":1,"cpu":-1}]                      | {}                                 | steps[0].cpu: -1, expected 0 to 1000000000                        |
      | [{"count":1,"estimate-ms":1000000000001}]   | {}                                 | steps[0].estimate-ms: 1000000000001, expected 0 to 1000000000     |
      | [{"count":20001}]                           | {}                                 | steps[0].count: 20001, expected 0 to 20000                        |
      | [{"count":15000},{"count":15000}]           | {}                                 | count: 30000, expected 1 to 20000 in all steps                    |
      | [{"count":0}]                               | {}                                 | count: 0, expected 1 to 20000 in all steps                        |
      | []                                          | {}                                 | steps: 0, expected 1 to 1000 steps                                |
      | [{"count":100}]                             | {"repeat-count":1001}              | repeat-count: 1001, expected 0 to 1000                            |
      | [{"count":1}]                               | {"repeat-count":2,"interval-ms":-1} | interval-ms: -1, expected 0 to 9007199254740992                  |

  Scenario Outline: a submission around the size of a record
    # Guards against a job that is accepted and can't be stored, or that is refused
    # without its caller being told why.
    Given a shard with 3 daemons and 4 servers
    And records of up to 5000 bytes
    When a client submits a job of which <excess> bytes are over the bound
    Then the client gets status <status> and a text with "<text>"
    And another job is accepted and completed

    Examples:
      | excess | status | text                                             |
      | -1     | 200    |                                                  |
      | 0      | 200    |                                                  |
      | 1      | 413    | spec and steps: 5001 bytes to store, expected at most 5000 |
      | 3000   | 413    | spec and steps: 8000 bytes to store, expected at most 5000 |
      | 9000   | 413    | body:                                            |

  Scenario: a job that can't be scheduled is in the store
    # Guards against owners that end, one after the other, at a row of another version
    # or writer.
    Given a shard with 3 daemons and 4 servers
    When a job that waits for itself is stored, bypassing all checks
    And a job of 2 steps is submitted
    And 5 s pass
    And the owner is killed
    And 80 s pass
    And the owner is killed
    And 5 s pass
    Then there is one owner
    And the owner has changed twice
    And each daemon reports that job as failed
    And every daemon reports the job as completed
    And the job that can't be scheduled was told of once by each owner
    And no invariant was violated

  Scenario: any rows in the store
    # Guards against owners that end at a row of any form, or serve no other jobs.
    Then an owner that reads any rows runs a sound job beside them

  Scenario: any submissions
    # Guards against accepting jobs that end their owner later.
    Then an owner runs a sound job beside any job that is accepted

  Scenario: any records of operators, servers and owners
    # Guards against daemons that end at a record of another writer or version.
    Then a daemon that reads any of these records uses the sound ones beside them
