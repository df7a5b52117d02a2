"""Withholds lease extensions from unreachable servers.

A successor waits until all leases on an unreachable server have expired. A
heartbeat that names the servers whose leases are no longer extended shortens
that wait.
"""

import itertools
import math
from collections.abc import Iterable

from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._shard_state import ShardState

#: Time without an answer after which a server counts as silent, in ms. Long
#: enough for a connection that was reset to be opened again, as a silent server
#: gets no starts for up to two heartbeats.
SILENT_MS = 600
#: Longest names of the listed servers together, in bytes, so that a heartbeat fits
#: into a record and is read quickly.
MAX_LISTED_BYTES = 16_000


class LeaseWithholding:
    """Selects the servers whose leases are not extended."""

    def __init__(self, state: ShardState) -> None:
        self._state = state

    def withhold_silent(
        self, now_ms: int, timely: bool = True
    ) -> dict[str, int]:
        """Stop extending the leases of silent servers, and list them.

        :param now_ms: current monotonic time, in ms.
        :param timely: whether answers of servers are read in time. Otherwise silence
            tells nothing, and only servers that are withheld already are listed.
        :returns: remaining lease by server, in ms, for the next heartbeat. The leases
            of silent servers for which it has no room are extended once they answer.
        """
        withheld = self._state.withheld_servers
        silent = [
            server_id
            for server_id, server in self._state.server_by_id.items()
            if server.run_by_key
            and _is_silent(server, now_ms)
            and (timely or server_id in withheld)
        ]
        # Those that are withheld already stay listed.
        silent.sort(key=lambda server_id: server_id not in withheld)
        listed = {
            server_id: self._state.server_by_id[server_id]
            for server_id in take_listed(silent)
        }
        self._state.withheld_servers |= listed.keys()
        return {
            server_id: math.ceil(max(0, server.lease_left_ms(now_ms)))
            for server_id, server in listed.items()
        }

    def heartbeat_stored(self, silent: Iterable[str]) -> None:
        """Extend leases again, except those of the listed servers.

        :param silent: servers named as silent in the latest stored heartbeat.
        """
        self._state.withheld_servers = set(silent)


def take_listed(server_ids: Iterable[str]) -> list[str]:
    """Take the servers that a heartbeat has room for, in the given order."""
    ids = tuple(server_ids)
    sizes = itertools.accumulate(len(server_id.encode()) for server_id in ids)
    return [
        server_id
        for server_id, size in zip(ids, sizes, strict=True)
        if size <= MAX_LISTED_BYTES
    ]


def _is_silent(server: Server, now_ms: int) -> bool:
    if server.clock_offset_ms is None:
        # Never reached: only previous owners have granted leases there.
        return True
    since_ms = server.failing_since_ms
    return since_ms is not None and now_ms - since_ms >= SILENT_MS
