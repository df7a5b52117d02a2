Feature: Settings files
  Files with misspelt keys, wrong types or contradictory values are rejected.

  Scenario: A valid file is loaded
    Given the settings of a daemon
    Then the settings are loaded

  Scenario Outline: A problem names the file, the key and the expected value
    Given the settings of a daemon
    When settings key "<key>" is set to <value>
    Then the first settings problem is at "<place>" and expects "<expected>"

    Examples:
      | key                              | value          | place                            | expected                              |
      | leases.controll_ms               | 4000           | leases.controll_ms               | the nearest is control_ms             |
      | leases.control_ms                | "4000"         | leases.control_ms                | a valid integer                       |
      | leases.renew_every_ms            | 6000           | leases.renew_every_ms            | less than leases.control_ms (6000)    |
      | leases.margin_ms                 | 6000           | leases.margin_ms                 | less than leases.control_ms (6000)    |
      | leases.task_ms                   | 6000           | leases.task_ms                   | more than leases.control_ms (6000)    |
      | listen.host                      | "localhost"    | listen.host                      | an IP address, not a host name        |
      | listen.http_port                 | 70000          | listen.http_port                 | less than or equal to 65535           |
      | platform.log_url                 | "log:9000"     | platform.log_url                 | http://ADDRESS:PORT                   |
      | platform.log_url                 | "http://log:9" | platform.log_url                 | an IP address, not a host name        |
      | trust.public_key_by_member.qadri | "AAAA"         | trust.public_key_by_member.qadri | base64 of 32 bytes, got 3             |
      | trust.public_key_by_member       | {}             | trust.public_key_by_member       | at least 1 item                       |
      | peers.0.rpc_port                 | 9              | peers.0.rpc_port                 | this peer is the daemon itself        |
      | peers.1.daemon_id                | "qadri-1"      | peers.0.daemon_id                | a unique daemon id                    |
      | peers.1.hosst                    | "127.0.0.1"    | peers.1.hosst                    | the nearest is host                   |
      | tls.key_file                     | "absent.pem"   | tls.key_file                     | an existing file, as an absolute path |

  Scenario Outline: Which TLS connections a daemon accepts
    Given certificates of two daemons from one authority
    When <client> calls the <alpn> port of the first daemon at <host>
    Then the TLS connection is <verdict>

    Examples:
      | client                        | alpn | host      | verdict     |
      | the second daemon             | rpc  | 127.0.0.1 | established |
      | the second daemon             | http | 127.0.0.1 | established |
      | a daemon of another authority | rpc  | 127.0.0.1 | refused     |
      | a client without certificate  | rpc  | 127.0.0.1 | refused     |
      | a client without certificate  | http | 127.0.0.1 | established |
      | the second daemon             | rpc  | 127.0.0.2 | refused     |

  Scenario: The reference page of all settings is up to date
    Then docs/settings.md matches the settings model
