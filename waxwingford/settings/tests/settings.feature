Feature: Settings files
  Symptom: a daemon starts with settings nobody meant.
  Sequence: a key is misspelt, a figure has the wrong unit or type, or two
  keys contradict each other; the file is loaded all the same.
  Cause: unknown keys are ignored, or only single keys are checked.

  Scenario: A right file is loaded
    Given the settings of a daemon
    Then the settings are loaded

  Scenario Outline: A wrong value is named by file, key and expected value
    Given the settings of a daemon
    When settings key "<key>" is set to <value>
    Then the settings problem is at "<place>" and expects "<expected>"

    Examples:
      | key                   | value            | place                 | expected                      |
      | leases.controll_ms    | 4000             | leases.controll_ms    | the nearest is control_ms     |
      | leases.control_ms     | "4000"           | leases.control_ms     | a valid integer               |
      | leases.renew_every_ms | 6000             | leases.renew_every_ms | less than leases.control_ms (6000) |
      | leases.margin_ms      | 6000             | leases.margin_ms      | less than leases.control_ms (6000) |
      | leases.task_ms        | 6000             | leases.task_ms        | more than leases.control_ms (6000) |
      | listen.host           | "localhost"      | listen.host           | an IP number                  |
      | listen.http_port      | 70000            | listen.http_port      | less than or equal to 65535   |
      | platform.log_url      | "log:9000"       | platform.log_url      | http://ADDRESS:PORT           |
      | platform.log_url      | "http://log:9"   | platform.log_url      | an IP number                  |
      | trust.public_key_by_member.qadri | "AAAA" | trust.public_key_by_member.qadri | base64 of 32 bytes, got 3 |
      | trust.public_key_by_member | {}          | trust.public_key_by_member | at least 1 item          |
      | peers.0.rpc_port      | 9                | peers.0.rpc_port      | this peer is the daemon itself |
      | peers.1.daemon_id     | "qadri-1"        | peers.0.daemon_id     | an id that no other peer has  |
      | peers.1.hosst         | "127.0.0.1"      | peers.1.hosst         | the nearest is host           |
      | tls.key_file          | "absent.pem"     | tls.key_file          | a file beside the settings    |

  Scenario Outline: A connection between two daemons under TLS
    Given certificates of two daemons by one authority
    When <client> calls the <alpn> port of the first daemon at <host>
    Then the TLS connection is <verdict>

    Examples:
      | client       | alpn | host      | verdict              |
      | the second   | rpc  | 127.0.0.1 | made                 |
      | the second   | http | 127.0.0.1 | made                 |
      | a stranger   | rpc  | 127.0.0.1 | refused              |
      | no one known | rpc  | 127.0.0.1 | refused              |
      | no one known | http | 127.0.0.1 | made                 |
      | the second   | rpc  | 127.0.0.2 | refused              |

  Scenario: The page of all settings is up to date
    Then docs/settings.md is what the model gives
