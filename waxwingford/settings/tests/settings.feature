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

  Scenario: The settings of a scheduler daemon are loaded
    # Guards against defaults and numbers that change with the library that reads
    # them.
    Given the settings of a scheduler daemon
    Then they are loaded with a core share of 1.0, a grace of 6.0 s and level "info"

  Scenario Outline: A problem of a scheduler daemon's settings names what is expected
    # Guards against messages that name another key or nothing to correct.
    Given the settings of a scheduler daemon
    When settings key "<key>" is set to <value>
    Then the only problem of the scheduler daemon is at "<place>", got <got>, and expects "<expected>"

    Examples:
      | key                     | value            | place                   | got        | expected                                        |
      | identity.daemon_id      | 7                | identity.daemon_id      | 7          | a valid string                                  |
      | identity.daemon_id      | ""               | identity.daemon_id      | ''         | String should have at least 1 character         |
      | identity.regoin         | "r"              | identity.regoin         | 'r'        | a known key; the nearest is region              |
      | identty                 | {}               | identty                 | {}         | a known key; the nearest is identity            |
      | listen                  | {}               | listen.host             | nothing    | a value: the key is required                    |
      | listen                  | 7                | listen                  | 7          | an object                                       |
      | listen.host             | "localhost"      | listen.host             | 'localhost' | an IP address, not a host name                 |
      | listen.callers          | "127.0.0.1"      | listen.callers          | '127.0.0.1' | ADDRESS:PORT                                   |
      | listen.callers          | "127.0.0.1:65536" | listen.callers         | '127.0.0.1:65536' | ADDRESS:PORT                             |
      | listen.callers          | "host:1"         | listen.callers          | 'host:1'   | an IP address, not a host name                  |
      | listen.peers_port       | "1"              | listen.peers_port       | '1'        | a valid integer                                 |
      | listen.peers_port       | 1.0              | listen.peers_port       | 1.0        | a valid integer                                 |
      | listen.peers_port       | true             | listen.peers_port       | True       | a valid integer                                 |
      | listen.metrics_port     | 65536            | listen.metrics_port     | 65536      | less than or equal to 65535                     |
      | bounds.longest_lease_ms | 0                | bounds.longest_lease_ms | 0          | greater than or equal to 1                      |
      | bounds.stop_grace_s     | 0                | bounds.stop_grace_s     | 0          | greater than 0                                  |
      | bounds.stop_grace_s     | "6"              | bounds.stop_grace_s     | '6'        | a valid number                                  |
      | vm.core_share           | 1.5              | vm.core_share           | 1.5        | less than or equal to 1                         |
      | bounds.notice_ms        | 0                | bounds.notice_ms        | 0          | greater than or equal to 1                      |
      | scheduling.copies       | 1                | scheduling.copies       | 1          | a valid boolean                                 |
      | logging.level           | "loud"           | logging.level           | 'loud'     | String should match pattern '^(debug\|info\|warning\|error)$' |
      | logging.level           | "info\n"         | logging.level           | 'info\n'   | String should match pattern '^(debug\|info\|warning\|error)$' |

  Scenario: All problems of a scheduler daemon's settings are reported at once
    # Guards against a start for each problem of a file.
    Given the settings of a scheduler daemon
    When settings key "vm.core_share" is set to 0
    And settings key "store.address" is set to "x"
    And settings key "bounds" is set to {}
    Then the problems of the scheduler daemon are at "store.address, bounds.longest_lease_ms, bounds.stop_grace_s, vm.core_share"

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
