Feature: Outcomes of the HTTP adapters
  Guards against reporting a request as not run after it may have run, which
  makes callers run it twice.

  Scenario Outline: A service request
    Given a server that <server>
    When a service request is sent with a deadline of 400 ms
    Then its outcome is "<outcome>"

    Examples:
      | server                                     | outcome               |
      | returns the complete body "whole"          | ServiceAnswer         |
      | refuses connections                        | ServiceNotRun         |
      | does not accept connections                | ServiceNotRun         |
      | states that it did not run the request     | ServiceNotRun         |
      | never responds                             | ServiceOutcomeUnknown |
      | closes the connection after the request    | ServiceOutcomeUnknown |
      | truncates the response                     | ServiceOutcomeUnknown |
      | returns a response without a length        | ServiceOutcomeUnknown |
      | responds to another request                | ServiceOutcomeUnknown |
      | states that it did not run another request | ServiceOutcomeUnknown |

  # Guards against a response without a length that fills the memory of the daemon.
  Scenario: A chunked response exceeds the size limit
    Given a server that sends chunks of 1 MiB without end
    When a service request is sent with a deadline of 5000 ms
    Then its outcome is "ServiceOutcomeUnknown"
    And the server could send at most 16 MiB

  # Guards against passing on the response to another request, or part of one.
  Scenario Outline: Discarded responses are counted
    Given a server that <server>
    When a service request is sent with a deadline of 2000 ms
    Then <mismatched> mismatched and <truncated> truncated responses are counted

    Examples:
      | server                            | mismatched | truncated |
      | responds to another request       | 1          | 0         |
      | truncates the response            | 0          | 1         |
      | returns the complete body "whole" | 0          | 0         |

  # Guards against paths that the HTTP client resolves to the control interface.
  Scenario Outline: A path with dot segments is not sent
    Given a server that returns the complete body "whole"
    When the path "<path>" is requested
    Then its outcome is "ServiceNotRun"
    And the server received no request

    Examples:
      | path                  |
      | ../../control         |
      | a/../../../control    |
      | %2e%2e/%2E%2E/control |

  Scenario Outline: A control exchange
    Given a server that <server>
    When a control exchange is sent with a timeout of 400 ms
    Then the control outcome is "ControlOutcomeUnknown" and "<sent>"

    Examples:
      | server                                  | sent               |
      | refuses connections                     | not sent           |
      | does not accept connections             | not sent           |
      | never responds                          | may have been sent |
      | closes the connection after the request | may have been sent |
      | returns the complete body "whole"       | may have been sent |

  Scenario Outline: An append
    Given a server that <server>
    When a record is appended over HTTP
    Then its outcome is "<outcome>"

    Examples:
      | server                                  | outcome              |
      | refuses connections                     | AppendRefused        |
      | states that it did not run the request  | AppendRefused        |
      | returns status 429                      | AppendRefused        |
      | returns status 500                      | AppendOutcomeUnknown |
      | never responds                          | AppendOutcomeUnknown |
      | closes the connection after the request | AppendOutcomeUnknown |

  Scenario: The retry delay of an append is taken from the response
    Given a server that returns status 429
    When a record is appended over HTTP
    Then the retry delay of the append is 3000 ms

  Scenario: A POST on a reused connection that the server closes is not resent
    Given a server that closes the connection after the second request
    When two service requests are sent one after the other
    Then its outcome is "ServiceOutcomeUnknown"
    And the server received 2 requests

  Scenario: A URL scheme without an adapter is named in the error
    When a platform is opened at "carrier://127.0.0.1:1"
    Then the platform error says "platform adapter 'carrier'; known: http"
