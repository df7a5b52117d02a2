"""Faults that hit a whole failure domain at once."""

import dataclasses
from collections.abc import Callable

from waxwingford_bench.storms.domain import StormDomain

_RACK_SERVERS = 8
_MIN_SERVERS_WITHOUT_RACK = 12
_RACK_DOWN_MS = 60_000
_RACK_GONE_MS = 180_000
_DAEMONS_DOWN_MS = 10_000
_LOG_OUTAGE_MS = 600_000
_PLATFORM_OUTAGE_MS = 3_600_000
_RESTART_DELAY_MS = 1000

FaultAction = Callable[[StormDomain], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """A fault of the whole failure domain.

    :ivar begin: injects the fault.
    :ivar end: removes the fault.
    :ivar duration_ms: time between the two, in milliseconds.
    :ivar min_servers: smallest number of servers of which enough are left to
        finish the accepted jobs in time.
    """

    begin: FaultAction
    end: FaultAction
    duration_ms: int
    min_servers: int = 1


def _fail_rack(domain: StormDomain) -> None:
    for server_id in list(domain.server_by_id)[:_RACK_SERVERS]:
        domain.server_by_id[server_id].die(domain.now_ms)
        domain.failed_ms_by_server[server_id] = domain.now_ms
        domain.network.cut.update(
            frozenset((daemon_id, server_id))
            for daemon_id in domain.daemon_by_id
        )


def _restore_rack(domain: StormDomain) -> None:
    domain.network.cut.clear()
    domain.failed_ms_by_server.clear()


def _leave_failed(domain: StormDomain) -> None:
    """Leave the fault in place until the end of the run.

    :param domain: unused.
    """


def _kill_half(domain: StormDomain) -> None:
    for daemon in list(domain.daemon_by_id.values())[::2]:
        daemon.kill()


def _kill_all(domain: StormDomain) -> None:
    for daemon in domain.daemon_by_id.values():
        daemon.kill()


def _restart(domain: StormDomain) -> None:
    for daemon in domain.daemon_by_id.values():
        if daemon.controller is None:
            daemon.boot()


def _fail_log(domain: StormDomain) -> None:
    domain.network.log_down = True


def _restore_log(domain: StormDomain) -> None:
    domain.network.log_down = False


def _fail_platform(domain: StormDomain) -> None:
    domain.network.log_down = True
    domain.is_vm_list_unavailable = True


def _restore_platform(domain: StormDomain) -> None:
    domain.network.log_down = False
    domain.is_vm_list_unavailable = False


case_by_name = {
    'rack_lost': Case(_fail_rack, _restore_rack, _RACK_DOWN_MS),
    'rack_gone': Case(
        _fail_rack, _leave_failed, _RACK_GONE_MS, _MIN_SERVERS_WITHOUT_RACK
    ),
    'half_of_daemons': Case(_kill_half, _restart, _DAEMONS_DOWN_MS),
    'all_daemons': Case(_kill_all, _restart, _RESTART_DELAY_MS),
    'log_away': Case(_fail_log, _restore_log, _LOG_OUTAGE_MS),
    'platform_away': Case(
        _fail_platform, _restore_platform, _PLATFORM_OUTAGE_MS
    ),
}
