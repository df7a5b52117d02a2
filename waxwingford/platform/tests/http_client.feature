Feature: the HTTP client of the platform

  Scenario Outline: the event loop runs late while a response arrives
    # Guards against an overloaded daemon that takes healthy servers for silent.
    Given an HTTP server that responds after <response_ms> ms
    When a request with a timeout of 150 ms is sent and the event loop is blocked for 400 ms
    Then the outcome of the request is <outcome>

    Examples:
      | response_ms | outcome      |
      | 60          | HttpResponse |
      | 800         | NoResponse   |

  Scenario Outline: the server closes an idle connection
    # Guards against a repeated order, and against a read that fails for nothing.
    Given an HTTP server that closes each connection instead of a second response
    When two <method> requests are sent
    Then the outcome of the request is <outcome>

    Examples:
      | method | outcome      |
      | GET    | HttpResponse |
      | POST   | NoResponse   |

  Scenario: all connections to an address are in use
    # Guards against calls that claim an unknown outcome though nothing was sent.
    Given an HTTP server that responds after 800 ms
    When 7 requests with a timeout of 300 ms are sent at once
    Then one outcome is NotSent and the others are NoResponse

  Scenario: a request is cancelled
    # Guards against the late response of one request being taken for another's.
    Given an HTTP server that responds after 100 ms with the path of the request
    When a request is cancelled after 50 ms and another one is sent
    Then the response is that of the second request

  Scenario Outline: a response is malformed
    Given an HTTP server that responds with <kind>
    When a request with a timeout of 500 ms is sent
    Then the outcome of the request is NoResponse

    Examples:
      | kind             |
      | no HTTP          |
      | a cut body       |
      | a body too large |

  Scenario Outline: an address that nothing can be connected to
    # Guards against a registration with such an address that ends each owner.
    When a request is sent to the address "<address>"
    Then the outcome of the request is NotSent

    Examples:
      | address                   |
      | 127..0.1:8080             |
      | ....:8080                 |
      | 300 digits and a port     |
      | 999.0.0.1:8080            |
      | 127.0.0.1                 |
      | 127.0.0.1:99999           |
      | 127.0.0.1:x               |
      | nothing at all            |

  Scenario: any text as an address
    # Guards against an address that ends the caller's work with other servers.
    Then a request to any address that has no server is not sent

  Scenario: the content of a request can't be made
    # Guards against a connection that is never given back.
    Given an HTTP server that responds after 0 ms
    When 9 requests whose content raises an error are made one after the other
    And a request with a timeout of 500 ms is sent by the same client
    Then the outcome of the request is HttpResponse

  Scenario: a query with any names and texts
    # Guards against a topic or a number that the store reads as another one.
    When queries of any names and texts are encoded
    Then each of them is decoded to the same names and texts
