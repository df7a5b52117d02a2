Feature: clients that don't behave
  Each scenario starts a daemon as a process, with the memory or the descriptors
  of its settings lowered, and a crowd of 250 connections that stay open.

  Background:
    Given 80 MB of memory and 4100 descriptors for each process

  Scenario Outline: a crowd of clients
    # Guards against a daemon whose memory grows with the number of its clients.
    Given a daemon of the scheduler as a process
    When a crowd of clients <deed>
    Then the process lives within its memory and descriptors
    And an ordinary submission is accepted, and the daemon is ready
    And the same holds once the crowd has left

    Examples:
      | deed                                            |
      | stop just short of the end of a body            |
      | send a body in pieces and stop short of its end |
      | send a body in chunks and stop short of its end |
      | send chunks without end                         |
      | announce a body of 100 MB                       |
      | send a whole body                               |
      | send twelve whole bodies and read nothing       |
      | stop in a head                                  |
      | send thousands of headers                       |
      | send thousands of requests and read nothing     |
      | send compressed bodies and read nothing         |
      | send a body of thousands of objects             |
      | stop in a trailer                               |

  Scenario: a submission of legal size in calm
    # Guards against a budget that has no room for what is legal.
    Given a daemon of the scheduler as a process
    When a client submits a job in a body of 262144 bytes
    Then it receives the status 200

  Scenario Outline: a body over the limit of the configuration in force
    # Guards against a daemon that takes more than the configuration permits.
    Given a daemon of the scheduler as a process
    When a client sends only a part of a body: <part>
    Then it receives the status 413

    Examples:
      | part                           |
      | the announcement of 262145 bytes |
      | chunks of 327680 bytes           |

  Scenario: a large submission beside a crowd
    # Guards against a refusal that doesn't say when to come back.
    Given a daemon of the scheduler as a process
    When a crowd of clients stop just short of the end of a body
    And a client submits a job in a body of 262144 bytes
    Then it receives the status 200, or 503 or 429 with Retry-After

  Scenario: crowds that come and go
    # Guards against memory that is never given back, so that a daemon refuses all.
    Given a daemon of the scheduler as a process
    When a crowd does each of these things in turn, and leaves
    Then an ordinary submission is accepted, and the daemon is ready
    And its metrics tell that clients hold at most 8192 bytes
    And the process lives within its memory and descriptors

  Scenario: crowds that come and go at the former engine
    # Guards against memory that is never given back, so that a daemon refuses all.
    Given 128 MB of memory and 4100 descriptors for each process
    And an entry daemon as a process
    When a crowd does each of these things in turn, and leaves
    Then the entry daemon answers a health check
    And its metrics tell that clients hold at most 8192 bytes
    And the process lives within its memory and descriptors

  Scenario Outline: random crowds at all listeners
    # Guards against listeners that hold too much together, and against what only
    # follows from crowds that overlap.
    Given 80 MB of memory and <fds> descriptors for each process
    And a daemon of the scheduler as a process
    When 4 random crowds with seed <seed> come and go at all listeners
    Then the process lives within its memory and descriptors
    And an ordinary submission is accepted, and the daemon is ready
    And its metrics tell that clients hold at most 8192 bytes

    Examples:
      | seed | fds  |
      | 1    | 4100 |
      | 2    | 200  |

  Scenario: accepted jobs with thousands of tasks
    # Guards against small requests that fill the memory of each owner in turn.
    Given a daemon of the scheduler as a process
    When 50 jobs of 5000 tasks are submitted
    Then each of them was accepted, or refused with 503 or 429 and Retry-After
    And an ordinary submission is accepted, and the daemon is ready
    And the process lives within its memory and descriptors

  Scenario: jobs that are cancelled at once
    # Guards against an owner whose copy of the intake has no bound.
    Given a daemon of the scheduler as a process
    When 300 jobs with specs of 240000 bytes are submitted and cancelled
    Then each of them was accepted, or refused with 503 or 429 and Retry-After
    And an ordinary submission is accepted, and the daemon is ready
    And the process lives within its memory and descriptors

  Scenario Outline: a crowd at another listener
    # Guards against a bound that only the listener of callers keeps.
    Given a daemon of the scheduler as a process
    When a crowd at the listener of <listener> does this: <deed>
    Then the process lives within its memory and descriptors
    And an ordinary submission is accepted, and the daemon is ready
    And the same holds once the crowd has left

    Examples:
      | listener  | deed                                 |
      | readiness | stop just short of the end of a body |
      | readiness | send chunks without end              |
      | metrics   | send thousands of requests and read nothing |
      | metrics   | send twelve whole bodies and read nothing |
      | relays    | stop in a frame                      |
      | peers     | stop in a message                    |

  Scenario Outline: more connections than descriptors
    # Guards against a crowd that leaves no descriptor for the store, for other
    # daemons or for a probe.
    Given 80 MB of memory and 200 descriptors for each process
    And a daemon of the scheduler as a process
    When a crowd at the listener of <listener> does this: send nothing
    Then the process lives within its memory and descriptors
    And an ordinary submission is accepted, and the daemon is ready
    And the same holds once the crowd has left

    Examples:
      | listener  |
      | callers   |
      | readiness |
      | relays    |
      | peers     |

  Scenario Outline: the former engine
    # Guards against a bound that only one engine keeps.
    Given 128 MB of memory and 4100 descriptors for each process
    And an entry daemon as a process
    When a crowd at <path> does this: <deed>
    Then the process lives within its memory and descriptors
    And the entry daemon answers a health check
    And it does so once the crowd has left

    Examples:
      | path      | deed                                            |
      | /v1/jobs  | stop just short of the end of a body            |
      | /v1/jobs  | send chunks without end                         |
      | /v1/drain | stop just short of the end of a body            |
      | /v1/drain | send chunks without end                         |
      | /healthz  | send twelve whole bodies and read nothing       |
      | /metrics  | send thousands of requests and read nothing     |
      | /v1/jobs  | stop in a head                                  |
      | /v1/jobs  | stop in a trailer                               |

  Scenario Outline: more connections than descriptors at the former engine
    # Guards against idle connections that keep ordinary callers out.
    Given 128 MB of memory and 200 descriptors for each process
    And an entry daemon as a process
    When a crowd at the listener of <listener> does this: send nothing
    Then the process lives within its memory and descriptors
    And the entry daemon answers a health check
    And it does so once the crowd has left

    Examples:
      | listener |
      | callers  |
      | peers    |

  Scenario Outline: connections that are never encrypted
    # Guards against a bound that begins with the end of a TLS handshake.
    Given 128 MB of memory and <fds> descriptors for each process
    And an entry daemon with TLS as a process
    When a crowd at the listener of <listener> does this: send nothing
    Then the process lives within its memory and descriptors
    And the entry daemon answers a health check
    And it does so once the crowd has left

    Examples:
      | listener | fds  |
      | callers  | 200  |
      | peers    | 200  |
      | callers  | 4100 |
      | peers    | 4100 |
