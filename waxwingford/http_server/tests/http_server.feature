Feature: the HTTP server reads requests and bounds what a client may use

  Scenario Outline: responses to what a client sends
    # Guards against requests that are lost, answered twice or out of order, and
    # against input that ends a connection without a response.
    Given an HTTP server that echoes each request
    When a client sends "<sent>"
    Then it receives "<received>"
    And the connection is <state>

    Examples: valid requests
      | sent                                                                                              | received                       | state  |
      | GET /a?b=c HTTP/1.1\r\n\r\n                                                                       | 200 GET /a                     | open   |
      | GET /%61%2d HTTP/1.1\r\n\r\n                                                                      | 200 GET /a-                    | open   |
      | GET http://h/a HTTP/1.1\r\n\r\n                                                                   | 200 GET /a                     | open   |
      | POST / HTTP/1.1\r\ncontent-length: 2\r\n\r\nxy                                                    | 200 POST / xy                  | open   |
      | POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n1\r\ny\r\n0\r\n\r\n                | 200 POST / xy                  | open   |
      | POST /1 HTTP/1.1\r\nContent-Length: 1\r\n\r\nxGET /2 HTTP/1.1\r\n\r\n                             | 200 POST /1 x, 200 GET /2      | open   |
      | POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx                             | 100, 200 POST / x              | open   |
      | HEAD / HTTP/1.1\r\n\r\n                                                                           | 200                            | open   |
      | OPTIONS * HTTP/1.1\r\n\r\n                                                                        | 200 OPTIONS *                  | open   |
      | GET / HTTP/1.1\r\nConnection: close\r\n\r\n                                                       | 200 GET /                      | closed |
      | GET / HTTP/1.0\r\n\r\n                                                                            | 200 GET /                      | closed |
      | GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n                                                  | 200 GET /                      | open   |
      | GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n                                     | 200 GET /                      | closed |
      | GET /last HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n                                                 | 200 GET /last                  | closed |

    Examples: invalid requests
      | sent                                                                                              | received                       | state  |
      | nothing of HTTP\r\n\r\n                                                                           | 400                            | closed |
      | GET /\r\n\r\n                                                                                     | 400                            | closed |
      | GET / HTTP/2.0\r\n\r\n                                                                            | 400                            | closed |
      | GET / HTTP/1.1\r\nno colon\r\n\r\n                                                                | 400                            | closed |
      | POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx                                | 400                            | closed |
      | GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n                                | 400                            | closed |
      | POST / HTTP/1.1\r\nContent-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx                                | 400                            | closed |
      | POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n               | 400                            | closed |
      | POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nz\r\n                                        | 400                            | closed |
      | GET /1 HTTP/1.1\r\n\r\nnothing of HTTP\r\n\r\n                                                    | 200 GET /1, 400                | closed |
      | GET /fail HTTP/1.1\r\n\r\n                                                                        | 500                            | closed |

  Scenario: a request that arrives byte by byte
    # Guards against headers and bodies that are cut where packets end.
    Given an HTTP server that echoes each request
    When a client sends "POST /ab HTTP/1.1\r\nContent-Length: 3\r\n\r\nxyz" byte by byte
    Then it receives "200 POST /ab xyz"

  Scenario Outline: requests above the limits
    # Guards against clients that take the memory of the daemon, and against a
    # refusal that is lost because the connection is reset while the client sends.
    Given an HTTP server that echoes each request
    When a client sends <what>
    Then it receives "<received>"
    And the connection is closed

    Examples:
      | what                                      | received |
      | a header of 200 KiB                       | 400      |
      | many headers of 200 KiB together          | 400      |
      | a URL of 200 KiB                          | 400      |
      | a body of 4 MiB, with its length          | 413      |
      | a body of 4 MiB in chunks                 | 413      |
      | a body of 4 MiB, compressed               | 413      |

  Scenario Outline: compressed bodies
    # Guards against jobs that are refused because their submission is compressed.
    Given an HTTP server that echoes each request
    When a client sends the body "xyz" encoded as <encoding>
    Then it receives "200 POST / xyz"

    Examples:
      | encoding                |
      | gzip                    |
      | deflate                 |
      | deflate without header  |

  Scenario Outline: clients that send nothing
    # Guards against connections that are kept open for ever.
    Given an HTTP server that echoes each request, with timeouts of 0.1 s
    When a client sends "<sent>"
    Then it receives "<received>"
    And the connection is closed

    Examples:
      | sent                                           | received  |
      |                                                |           |
      | GET / HTTP/1.1\r\n\r\n                         | 200 GET / |
      | GET / HT                                       | 408       |
      | POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nx  | 408       |

  Scenario: the server is closed during a request
    # Guards against stops that lose requests in progress, or that wait for idle
    # clients.
    Given an HTTP server that echoes each request
    When the server is closed while one client waits for a response and one is idle
    Then the waiting client receives "200 GET /slow" and is told to close
    And both connections are closed, and no new one is accepted

  Scenario: connections that come and go
    # Guards against closed connections that stay in memory until the garbage collector
    # searches all objects, and are counted nowhere.
    Given an HTTP server that echoes each request
    When 20 clients send a request and leave while no garbage is collected
    Then no connection is left in memory

  Scenario: a client that never reads its responses
    # Guards against responses that pile up in the daemon's memory.
    Given an HTTP server that echoes each request
    When a client sends requests for 64 MiB of responses and reads none
    Then the server has answered at most a quarter of them
