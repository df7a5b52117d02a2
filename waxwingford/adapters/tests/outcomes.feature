Feature: Outcomes of the HTTP adapters
  Symptom: a caller is told "not run" and tries again, and its reservation
  stands twice. Sequence: the request leaves, the server runs it, the answer
  is lost. Cause: a lost answer tagged like a refused connection. So an adapter
  says "not run" only where nothing was sent or the server itself said so.

  Scenario Outline: A service request
    Given a server that <server>
    When a service request is sent with a deadline of 400 ms
    Then its outcome is "<outcome>"

    Examples:
      | server                                   | outcome        |
      | answers "whole" in full                  | ServiceAnswer  |
      | refuses connections                      | ServiceNotRun  |
      | takes no connection                      | ServiceNotRun  |
      | says that it did not run the request     | ServiceNotRun  |
      | never answers                            | ServiceUnknown |
      | hangs up after the request               | ServiceUnknown |
      | breaks the answer off half way           | ServiceUnknown |
      | answers without a length                 | ServiceUnknown |
      | answers another request                  | ServiceUnknown |
      | says that it did not run another request | ServiceUnknown |

  # Symptom: one tenant reads another's report; or half a report.
  Scenario Outline: Answers that must not be passed on are counted
    Given a server that <server>
    When a service request is sent with a deadline of 2000 ms
    Then <foreign> foreign and <cut_off> broken answers are counted

    Examples:
      | server                         | foreign | cut_off |
      | answers another request        | 1       | 0       |
      | breaks the answer off half way | 0       | 1       |
      | answers "whole" in full        | 0       | 0       |

  # Symptom: a batch task that no daemon started runs on a server.
  # Sequence: a caller asks for the path "../../control" with a body of its
  # own. Cause: the client library shortens such paths before it sends them.
  Scenario Outline: A caller's path never leaves its service
    Given a server that answers "whole" in full
    When the path "<path>" is requested
    Then its outcome is "ServiceNotRun"
    And the server saw no request

    Examples:
      | path                |
      | ../../control       |
      | a/../../../control  |
      | %2e%2e/%2E%2E/control |

  Scenario Outline: A control exchange
    Given a server that <server>
    When a control exchange is sent with a timeout of 400 ms
    Then the control outcome is "ControlUnknown" and "<sent>"

    Examples:
      | server                     | sent          |
      | refuses connections        | not sent      |
      | takes no connection        | not sent      |
      | never answers              | may have been |
      | hangs up after the request | may have been |
      | answers "whole" in full    | may have been |

  Scenario Outline: An append
    Given a server that <server>
    When a record is appended over HTTP
    Then its outcome is "<outcome>"

    Examples:
      | server                               | outcome       |
      | refuses connections                  | AppendRefused |
      | says that it did not run the request | AppendRefused |
      | answers with status 429              | AppendRefused |
      | answers with status 500              | AppendUnknown |
      | never answers                        | AppendUnknown |
      | hangs up after the request           | AppendUnknown |

  Scenario: The time to come back is the log's own
    Given a server that answers with status 429
    When a record is appended over HTTP
    Then it may be appended again after 3000 ms

  Scenario: A POST on a kept connection that the server closed goes out once
    Given a server that answers one request and hangs up on the next
    When two service requests are sent one after the other
    Then its outcome is "ServiceUnknown"
    And the server saw 2 requests

  Scenario: A platform is opened by the scheme of its URL
    When a platform is opened at "carrier://127.0.0.1:1"
    Then the platform error says "platform adapter 'carrier'; known: http"
