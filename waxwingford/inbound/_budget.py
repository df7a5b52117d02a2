"""Division of the memory and descriptors of a process among its listeners.

Also the report of what was refused for want of them.
"""

import asyncio
import collections
import enum
import importlib
import types
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from waxwingford.inbound._account import Account, Share
from waxwingford.metrics import Metrics

#: Memory beyond which a budget doesn't grow, in MB.
MAX_MEMORY_MB = 2048
#: Descriptors kept for files, and the part of a small number of them.
FILE_DESCRIPTORS = 200
_FILE_PART = 0.25
#: Memory of an encrypted connection, most of it a buffer of ``asyncio``, in bytes.
TLS_CONNECTION_BYTES = 327_680
_BYTES_PER_MB = 1_000_000


class Listener(enum.Enum):
    """Kinds of listeners, each with a share of its own.

    :cvar callers: clients.
    :cvar operators: probes of readiness, metrics and questions of operators.
    :cvar peers: calls of other daemons.
    :cvar relays: daemons that carry out calls for the owner.
    """

    callers = 'callers'
    operators = 'operators'
    peers = 'peers'
    relays = 'relays'


class _Parts(NamedTuple):
    """Parts of the memory and of the connections of a process."""

    memory: float
    connections: float

    def share(self, memory_bytes: int, connections: int) -> Share:
        return Share(
            int(memory_bytes * self.memory),
            max(1, int(connections * self.connections)),
        )


#: Time between two reports, and so between two log lines, in seconds.
REPORT_INTERVAL_S = 2.0
_REFUSALS = frozenset(('connection', 'memory'))
_PART = 1 / 8
# The rest is for what the daemon keeps and opens itself, as connections to its store.
_SCHEDULER_PARTS = {
    Listener.callers: _Parts(_PART, 2 * _PART),
    Listener.operators: _Parts(_PART / 4, _PART / 2),
    Listener.peers: _Parts(_PART / 2, 3 * _PART / 2),
    Listener.relays: _Parts(_PART / 2, 3 * _PART / 2),
}
_ENTRY_PARTS = {
    Listener.callers: _Parts(_PART, 4 * _PART),
    Listener.peers: _Parts(_PART, _PART),
}


class Budget:
    """What all clients and other daemons together may make a process hold."""

    def __init__(self, share_by_listener: Mapping[Listener, Share]) -> None:
        """Start with nothing reserved."""
        self.account_by_listener = {
            listener: Account(share)
            for listener, share in share_by_listener.items()
        }


def derive_scheduler_shares(
    memory_mb: int, max_fds: int
) -> dict[Listener, Share]:
    """Divide the resources of a scheduler daemon.

    :param memory_mb: memory of the process in MB, 0 for that of the machine.
    :param max_fds: descriptors of the process, 0 for its limit.
    """
    return _derive(_SCHEDULER_PARTS, memory_mb, max_fds)


def derive_job_bytes(memory_mb: int) -> int:
    """Compute the memory that an owner has for jobs that have not ended.

    :param memory_mb: memory of the process in MB, 0 for that of the machine.
    :returns: memory in bytes.
    """
    return int(_memory_bytes(memory_mb) * 2 * _PART)


def derive_entry_shares(
    memory_mb: int, max_fds: int, max_connections: int, *, tls: bool
) -> dict[Listener, Share]:
    """Divide the resources of an entry daemon.

    :param memory_mb: memory of the process in MB, 0 for that of the machine.
    :param max_fds: descriptors of the process, 0 for its limit.
    :param max_connections: limit on the connections of callers.
    :param tls: whether connections are encrypted, which takes half of the memory.
    """
    shares = _derive(_ENTRY_PARTS, memory_mb, max_fds)
    if tls:
        shares = {
            listener: _encrypted(share) for listener, share in shares.items()
        }
    callers = shares[Listener.callers]
    return {
        **shares,
        Listener.callers: callers._replace(
            max_connections=min(callers.max_connections, max_connections),
            keeps_silent=max_connections < callers.max_connections,
        ),
    }


def _encrypted(share: Share) -> Share:
    half = share.max_bytes // 2
    return share._replace(
        max_bytes=half,
        max_connections=min(
            share.max_connections, max(1, half // TLS_CONNECTION_BYTES)
        ),
    )


def _derive(
    parts_by_listener: Mapping[Listener, _Parts], memory_mb: int, max_fds: int
) -> dict[Listener, Share]:
    memory_bytes = _memory_bytes(memory_mb)
    descriptors = max_fds or _machine().max_descriptors()
    files = min(FILE_DESCRIPTORS, int(descriptors * _FILE_PART))
    return {
        listener: parts.share(memory_bytes, descriptors - files)
        for listener, parts in parts_by_listener.items()
    }


def _memory_bytes(memory_mb: int) -> int:
    known_mb = memory_mb or _machine().memory_mb()
    return min(known_mb, MAX_MEMORY_MB) * _BYTES_PER_MB


def _machine() -> types.ModuleType:
    # Most daemons are told, and a start is to import little.
    return importlib.import_module('waxwingford.inbound._machine')


class BudgetReport:
    """Counts refusals and evictions, and logs them at most once an interval."""

    def __init__(
        self,
        budget: Budget,
        metrics: Metrics,
        record_event: Callable[..., None],
    ) -> None:
        """Start without a report.

        :param record_event: logs an event, named by its first argument, with fields.
        """
        self._budget = budget
        self._metrics = metrics
        self._record_event = record_event
        self._reported: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    async def run(self) -> None:
        """Report each interval until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            self.report()

    def report(self) -> None:
        """Report what was refused and evicted since the previous report."""
        total = collections.Counter(
            {
                (listener.value, event): count
                for listener, account in self._accounts()
                for event, count in account.count_by_event.items()
            }
        )
        recent = total - self._reported
        self._reported = total
        for (listener, event), count in recent.items():
            kind = 'refused' if event in _REFUSALS else 'evicted'
            self._metrics.count(
                f'inbound_{kind}_total', count, listener=listener, cause=event
            )
        for listener, account in self._accounts():
            name = listener.value
            self._metrics.gauge(
                'inbound_bytes', account.used_bytes, listener=name
            )
            self._metrics.gauge(
                'inbound_connections', account.connections, listener=name
            )
        if recent:
            self._record_event(
                'inbound.limited',
                interval_s=REPORT_INTERVAL_S,
                count_by_cause={
                    f'{listener}.{event}': count
                    for (listener, event), count in recent.items()
                },
                bytes_by_listener={
                    listener.value: account.used_bytes
                    for listener, account in self._accounts()
                },
                connections_by_listener={
                    listener.value: account.connections
                    for listener, account in self._accounts()
                },
            )

    def _accounts(self) -> Iterable[tuple[Listener, Account]]:
        return self._budget.account_by_listener.items()
