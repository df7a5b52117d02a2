Feature: the adapter translates names, formats and requests

  Scenario: records are appended and read back
    Given a fake platform on loopback
    When records of two keys are appended under an epoch
    Then they are read back in order
    And the newest record of each key is read

  Scenario Outline: outcome of an append by response
    Given a fake platform on loopback
    When the store answers <status> with <body>
    Then the append's outcome is "<outcome>"

    Examples:
      | status | body                          | outcome          |
      | 200    | {"offset":3,"end":4}          | Appended         |
      | 409    | {"reason":"fenced"}           | AppendFenced     |
      | 409    | {"reason":"seq","seq":5}      | AppendOutOfOrder |
      | 412    | {"end":9}                     | AppendEndMismatch  |
      | 429    | {}                            | StoreRefused     |
      | 503    | {}                            | StoreRefused     |
      | 500    | {}                            | StoreOutcomeUnknown     |

  Scenario: the store accepts no connection
    Given an address without a listener
    Then the append's outcome is "StoreRefused"

  Scenario: the store never responds
    # Guards against waiting without a timeout for a connection that has gone
    # silent without a reset.
    Given a store that never responds
    Then the append's outcome is "StoreOutcomeUnknown"

  Scenario Outline: outcome of a start by response
    Given a fake platform on loopback
    When the worker answers <status> with <body>
    Then the start's outcome is "<outcome>"

    Examples:
      | status | body                             | outcome                             |
      | 200    | {"clock-ms":7}                   | OrderAccepted(clock_ms=7)              |
      | 409    | {"clock-ms":7,"reason":"fence"}  | OrderRefused(reason=fenced)          |
      | 409    | {"clock-ms":7,"reason":"old"}    | OrderRefused(reason=superseded)      |
      | 409    | {"clock-ms":7,"reason":"room"}   | OrderRefused(reason=no_room)         |
      | 409    | {"clock-ms":7,"reason":"late"}   | OrderRefused(reason=too_late)        |
      | 421    | {}                               | ServerReplaced()                    |
      | 503    | {}                               | OrderRefused(reason=unhealthy)       |
      | 400    | {}                               | OrderRefused(reason=invalid)         |
      | 200    | not JSON                         | OrderOutcomeUnknown(reason='response not decoded) |

  Scenario Outline: outcome of a start without a response
    # Guards against delaying a task whose start was never sent, and against
    # running it twice after a start that the worker may have received.
    Given a worker that <fault>
    Then a start ends as "<outcome>", and the worker has received <requests> starts

    Examples:
      | fault                                      | outcome      | requests |
      | has stopped                                | OrderNotSent | 0        |
      | accepts no connections                     | OrderNotSent | 0        |
      | stops after an earlier request             | OrderNotSent | 0        |
      | resets a reused connection and stops       | OrderOutcomeUnknown | 1        |
      | resets a new connection and stops          | OrderOutcomeUnknown | 1        |
      | never responds                             | OrderOutcomeUnknown | 1        |
      | redirects to an address without a listener | OrderOutcomeUnknown | 1        |

  Scenario Outline: a broken connection is distinguished from a timeout
    # Guards against treating a slow server as one that has crashed.
    Given a worker that <fault>
    Then a start reports its connection as <state>

    Examples:
      | fault                                | state  |
      | resets a reused connection and stops | broken |
      | resets a new connection and stops    | broken |
      | never responds                       | open   |

  Scenario: the store redirects to an unreachable address
    # Guards against rejecting a job that the first address may have stored.
    Given a fake platform on loopback
    When the store redirects to an address without a listener
    Then the append's outcome is "StoreOutcomeUnknown"

  Scenario: poll of a worker
    Given a fake platform on loopback
    When the worker answers 200 with {"clock-ms":9,"running":[["00000000000000aa.0.1.2",3,"c1",41,12]],"ended-runs":[[5,"00000000000000aa.0.1.1",1,"done",""]]}
    Then a poll returns a running and an ended run

  Scenario Outline: the time of a worker's start
    # Guards against taking a worker that has restarted under its id for the former one.
    Given a fake platform on loopback
    When the worker answers 200 with {"clock-ms":9,"running":[],"ended-runs":[]<field>}
    Then a poll returns <start> as the start of the worker

    Examples:
      | field                  | start         |
      | ,"born":1767225600123  | 1767225600123 |
      |                        | 0             |

  Scenario: a list of runs whose start is no whole number
    # Guards against counting ends of an incarnation that isn't known.
    Given a fake platform on loopback
    When the worker answers 200 with {"clock-ms":9,"running":[],"ended-runs":[],"born":"x"}
    Then a poll has an unknown outcome

  Scenario: ends are acknowledged to the incarnation that has listed them only
    # Guards against a new incarnation that discards ends which nobody has read.
    Given a worker, restarting in place after 3 polls
    When it is polled 6 times, acknowledging end 7 of the first incarnation
    Then the polls have acknowledged 0, 7, 7, 0, 0, 0

  Scenario: ends are acknowledged to a new incarnation once it has listed its runs
    Given a worker, restarting in place after 1 polls
    When it is polled 3 times, acknowledging end 7 of the second incarnation
    Then the polls have acknowledged 0, 0, 7

  Scenario Outline: outcome of an advice request by response
    # Guards against an unhandled decoding error that ends the ownership.
    Given a fake platform on loopback
    When the store answers <status> with <body>
    Then the advice is "<outcome>"

    Examples:
      | status | body                                        | outcome    |
      | 200    | {"eligible":[["i-1","t"]],"validity-ms":50} | TicketsIssued    |
      | 200    | not JSON                                    | TicketsUnavailable |
      | 200    | {"eligible":[["i-1"]]}                      | TicketsUnavailable |
      | 429    | {}                                          | TicketsUnavailable |

  Scenario: rack of a worker
    When a worker registers with the labels "ram r1-3 gpu"
    Then its rack is "r1-3"
    When a worker registers with the labels "ram"
    Then its rack is ""

  Scenario Outline: notice and warm-up in a registration
    # Guards against a server that is lost for a duration that can't be used.
    When a worker registers with <listed> as remaining-ms and warmup-left-ms
    Then its notice and its warm-up are <expected> ms

    Examples:
      | listed    | expected |
      | 5500      | 5500     |
      | 2000.5    | 2000     |
      | -1        | 0        |
      | true      | 0        |
      | null      | 0        |
      | "soon"    | 0        |
      | {"ms": 1} | 0        |
      | 1e999     | 0        |
      | 5*5000    | 0        |

  Scenario: fields of a submission
    When a submission with all fields is decoded
    Then its step has all fields

  Scenario Outline: requests of clients
    Given a client API with one queue and no jobs
    When a client sends <method> to <path> with "<body>"
    Then the client gets status <status>

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

  Scenario: a request names a timeout that no number holds
    # Guards against clients that make the daemon fail, and log it, with each request.
    Given a client API with one queue and no jobs
    When a client submits a job with a timeout of 5000 digits
    Then the client gets status 200

  Scenario: a submission has more steps than any job may have
    # Guards against a body whose decoded form takes far more memory than itself.
    Given a client API with one queue and no jobs
    When a client submits a job of 1001 steps
    Then the client gets status 400

  Scenario: a request before a configuration was read
    Given a client API without a configuration
    When a client sends GET to /q/ with ""
    Then the client gets status 503
    And the response says when to retry
