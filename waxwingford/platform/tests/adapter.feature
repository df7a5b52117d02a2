Feature: the adapter translates names, formats and calls

  Scenario: records go to the store and come back
    Given a store and a worker on loopback
    When records of two keys are appended under an epoch
    Then they are read back in order
    And the newest record of each key is read

  Scenario Outline: what the store answers to an append
    Given a store and a worker on loopback
    When the store answers <status> with <body>
    Then the append's outcome is "<outcome>"

    Examples:
      | status | body                          | outcome          |
      | 200    | {"offset":3,"end":4}          | Appended         |
      | 409    | {"reason":"fenced"}           | AppendFenced     |
      | 409    | {"reason":"seq","seq":5}      | AppendOutOfOrder |
      | 412    | {"end":9}                     | AppendElsewhere  |
      | 429    | {}                            | StoreRefused     |
      | 503    | {}                            | StoreRefused     |
      | 500    | {}                            | StoreUnknown     |

  Scenario: nobody listens at the store
    Given an address at which nobody listens
    Then the append's outcome is "StoreRefused"

  Scenario: the store never answers
    # Symptom: a daemon stands still although other connections work.
    # Sequence: a connection goes silent for good, without a reset.
    # Cause: waiting for an answer without a limit.
    Given a store that never answers
    Then the append's outcome is "StoreUnknown"

  Scenario Outline: what a worker answers to a start
    Given a store and a worker on loopback
    When the worker answers <status> with <body>
    Then the start's outcome is "<outcome>"

    Examples:
      | status | body                             | outcome                             |
      | 200    | {"clock-ms":7}                   | OrderTaken(clock_ms=7)              |
      | 409    | {"clock-ms":7,"reason":"fence"}  | OrderDenied(denial=fenced)          |
      | 409    | {"clock-ms":7,"reason":"old"}    | OrderDenied(denial=superseded)      |
      | 409    | {"clock-ms":7,"reason":"room"}   | OrderDenied(denial=no_room)         |
      | 409    | {"clock-ms":7,"reason":"late"}   | OrderDenied(denial=too_late)        |
      | 421    | {}                               | ServerReplaced()                    |
      | 503    | {}                               | OrderDenied(denial=unhealthy)       |
      | 400    | {}                               | OrderDenied(denial=invalid)         |
      | 200    | not JSON                         | OrderUnknown(reason='response not decoded) |

  Scenario Outline: what is known of a start that has no answer
    # Symptom: a task stands still for 5 s and more though nothing can run.
    # Sequence: a server leaves or loses power while it is idle, and a start is
    # meant for it; no connection can be opened.
    # Cause: taking a start of which not a byte was sent for one that may be
    # carried out. The reverse is worse, a task that runs in two places at once:
    # once a request was written, nothing that happens later proves anything.
    Given a worker that <fate>
    Then a start is known as "<outcome>", and <requests> starts have come to it

    Examples:
      | fate                                      | outcome      | requests |
      | nobody runs any more                      | OrderNotSent | 0        |
      | lets connections hang                     | OrderNotSent | 0        |
      | leaves after an earlier call              | OrderNotSent | 0        |
      | resets a kept connection and leaves       | OrderUnknown | 1        |
      | resets a new connection and leaves        | OrderUnknown | 1        |
      | never answers                             | OrderUnknown | 1        |
      | sends callers on to where nobody listens  | OrderUnknown | 1        |

  Scenario Outline: a connection that breaks is told from an answer that is slow
    # Guards against taking a slow server for one that has just crashed.
    Given a worker that <fate>
    Then the connection of a start is known to have <been>

    Examples:
      | fate                                | been   |
      | resets a kept connection and leaves | broken |
      | resets a new connection and leaves  | broken |
      | never answers                       | held   |

  Scenario: the store sends callers on to where nobody listens
    # Symptom: a job is refused, and runs all the same.
    # Sequence: a call is answered with another address, which can't be reached.
    # Cause: taking a failed connection to the second address for a proof that
    # nothing was sent to the first.
    Given a store and a worker on loopback
    When the store sends callers on to where nobody listens
    Then the append's outcome is "StoreUnknown"

  Scenario: a look at a worker
    Given a store and a worker on loopback
    When the worker answers 200 with {"clock-ms":9,"running":[["00000000000000aa.0.1.2",3,"c1",41,12]],"ended-runs":[[5,"00000000000000aa.0.1.1",1,"done",""]]}
    Then the look lists a run and an end

  Scenario Outline: what the advice service answers
    # Symptom: the shard changes hands with each question.
    # Sequence: the service answers with something that can't be read.
    # Cause: an error of the decoder that nobody takes ends the owner.
    Given a store and a worker on loopback
    When the store answers <status> with <body>
    Then the advice is "<outcome>"

    Examples:
      | status | body                                        | outcome    |
      | 200    | {"eligible":[["i-1","t"]],"validity-ms":50} | Advised    |
      | 200    | not JSON                                    | NotAdvised |
      | 200    | {"eligible":[["i-1"]]}                      | NotAdvised |
      | 429    | {}                                          | NotAdvised |

  Scenario: a registration names its rack
    When a worker registers with the labels "ram r1-3 gpu"
    Then its rack is "r1-3"
    When a worker registers with the labels "ram"
    Then its rack is ""

  Scenario: a submission
    When a submission with all fields is decoded
    Then its step says all of it

  Scenario Outline: requests of clients
    Given an entry with one queue, whose desk knows nothing
    When a client sends <method> to <path> with "<body>"
    Then the client is answered <status>

    Examples:
      | method | path                     | body                   | status |
      | POST   | /q/00000000000000aa      | {"spec":"","steps":[]} | 200    |
      | POST   | /q/00000000000000aa      | {"steps":7}            | 400    |
      | POST   | /other/00000000000000aa  | {"spec":"","steps":[]} | 404    |
      | GET    | /q/00000000000000aa      |                        | 410    |
      | GET    | /q/nothing               |                        | 404    |
      | DELETE | /q/00000000000000aa      |                        | 410    |
      | GET    | /q/                      |                        | 200    |
      | PUT    | /q/00000000000000aa      |                        | 405    |

  Scenario: a client before there is a configuration
    Given an entry without a configuration
    When a client sends GET to /q/ with ""
    Then the client is answered 503
    And is told when to come back
