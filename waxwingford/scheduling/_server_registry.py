"""Applies the registrations of backend servers to the state of a shard."""

import functools
from collections.abc import Iterable

from waxwingford.ports import Resources
from waxwingford.scheduling._containment import attempt
from waxwingford.scheduling._recovery import InheritedLeases, StateRecovery
from waxwingford.scheduling._restarts import Restarts
from waxwingford.scheduling._servers import Server, ServerEntry, count_down
from waxwingford.scheduling._shard_state import ShardState

_NOTHING = Resources(0, 0, 0)


class ServerRegistry:
    """Adds and updates the servers of a shard."""

    def __init__(
        self,
        state: ShardState,
        recovery: StateRecovery,
        restarts: Restarts,
        inherited: InheritedLeases,
    ) -> None:
        """Create a registry without servers.

        :param recovery: runs of previous owners, on servers still to be added.
        :param restarts: told of registrations of known servers.
        :param inherited: leases granted by previous owners.
        """
        self._state = state
        self._recovery = recovery
        self._restarts = restarts
        self._inherited_leases = inherited

    def register(self, entries: Iterable[ServerEntry], now_ms: int) -> None:
        """Apply the newest registrations.

        :param entries: all current registrations.
        :param now_ms: current monotonic time, in ms.
        """
        entry_by_id = {entry.server_id: entry for entry in entries}
        for server_id, entry in entry_by_id.items():
            apply = functools.partial(self._apply, entry, now_ms)
            attempt(self._state.notes, 'register', server_id, apply)
        for server_id, server in self._state.server_by_id.items():
            if server_id not in entry_by_id:
                server.registered = False
        for server_id in list(self._recovery.orphans_by_server):
            self._add_unlisted(server_id, now_ms)

    def _apply(self, entry: ServerEntry, now_ms: int) -> None:
        server = self._state.server_by_id.get(entry.server_id)
        if server is None:
            self._add(entry, now_ms)
        else:
            self._restarts.registered(server, entry, now_ms)

    def _add(self, entry: ServerEntry, now_ms: int) -> None:
        server = Server(entry)
        count_down(server, now_ms)
        self._state.server_by_id[entry.server_id] = server
        if entry.server_id in self._recovery.orphans_by_server:
            server.inherited_lease_until_ms = self._inherited_leases.until(
                entry.server_id
            )
            self._recovery.adopt(server)

    def _add_unlisted(self, server_id: str, now_ms: int) -> None:
        entry = ServerEntry(
            server_id, '', '', '', frozenset(), _NOTHING, draining=True
        )
        self._add(entry, now_ms)
        self._state.server_by_id[server_id].registered = False
