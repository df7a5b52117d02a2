"""Faults that hit a whole failure domain at once, and how each is played."""

import dataclasses
from collections.abc import Callable

from waxwingford_bench.storms.domain import StormDomain

_RACK = 8
_RACK_DOWN_MS = 60_000
_GONE_MS = 180_000
_RESTART_MS = 10_000
_OUTAGE_MS = 600_000
_HOUR_MS = 3_600_000
_ALL_AT_ONCE_MS = 1000

Act = Callable[[StormDomain], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """A fault of the whole failure domain.

    :ivar begin: lets it begin.
    :ivar end: ends it.
    :ivar lasts_ms: time between.
    """

    begin: Act
    end: Act
    lasts_ms: int


def _lose_rack(domain: StormDomain) -> None:
    for server_id in list(domain.server_by_id)[:_RACK]:
        domain.server_by_id[server_id].die(domain.now_ms)
        domain.dead_since_ms[server_id] = domain.now_ms
        domain.network.cut.update(
            frozenset((daemon_id, server_id))
            for daemon_id in domain.daemon_by_id
        )


def _replace_rack(domain: StormDomain) -> None:
    domain.network.cut.clear()
    domain.dead_since_ms.clear()


def _keep(domain: StormDomain) -> None:
    """Let the fault go on: what was lost does not come back.

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


def _lose_log(domain: StormDomain) -> None:
    domain.network.log_down = True


def _find_log(domain: StormDomain) -> None:
    domain.network.log_down = False


def _lose_platform(domain: StormDomain) -> None:
    domain.network.log_down = True
    domain.list_is_away = True


def _find_platform(domain: StormDomain) -> None:
    domain.network.log_down = False
    domain.list_is_away = False


#: All cases, by name.
case_by_name = {
    'rack_lost': Case(_lose_rack, _replace_rack, _RACK_DOWN_MS),
    'rack_gone': Case(_lose_rack, _keep, _GONE_MS),
    'half_of_daemons': Case(_kill_half, _restart, _RESTART_MS),
    'all_daemons': Case(_kill_all, _restart, _ALL_AT_ONCE_MS),
    'log_away': Case(_lose_log, _find_log, _OUTAGE_MS),
    'platform_away': Case(_lose_platform, _find_platform, _HOUR_MS),
}
