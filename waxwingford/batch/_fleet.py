"""The backend servers of a failure domain, and which of them are due."""

import heapq
from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from waxwingford.batch._server import ServerControl
from waxwingford.batch._settings import BatchSettings
from waxwingford.ownership import (
    ControlLease,
    Preference,
    rank_of,
    shared_out,
)
from waxwingford.ports import Resources, Vm

#: Daemons of a lower rank leave a server alone.
MAX_ACQUIRE_RANK = 2


class _Due(NamedTuple):
    due_ms: int
    server_id: str


class Fleet:
    """Backend servers, this daemon's rank for each, and when each is due.

    :ivar server_by_id: every server ever listed that still matters.
    :ivar alive: daemons that seem alive, this one among them.
    :ivar knows_peers: whether anything was heard of the other daemons; until
        then no lease is acquired, lest a daemon that starts takes them all.
    :ivar is_ready: whether the stream was read to its head; a daemon that does
        not know the claims could only let the tasks of a server lapse.
    :ivar room_changed: whether a server may have more room than before.
    :ivar pace: interval of exchanges and leases, by what was held lately.
    :ivar released: servers given up, until somebody takes the names.
    :ivar draining: gives up what it holds.
    :ivar reserved_by_service: set aside on each VM for its service.
    """

    def __init__(self, settings: BatchSettings) -> None:
        """Start without servers.

        :param settings: settings of the controller.
        """
        self.server_by_id: dict[str, ServerControl] = {}
        self.alive = frozenset((settings.daemon_id,))
        self.knows_peers = False
        self.is_ready = False
        self.room_changed = False
        self.released: list[str] = []
        self.pace = settings.pace(0)
        self.draining = False
        self.reserved_by_service: Mapping[str, Resources] = {}
        self._settings = settings
        self._due: list[_Due] = []
        self._rank_by_server: dict[str, int] = {}

    def update_list(self, vms: Iterable[Vm], now_ms: int) -> None:
        """Take the platform's list, a hint.

        :param vms: of this failure domain.
        :param now_ms: monotonic time, in milliseconds.
        """
        listed = {vm.server_id: vm for vm in vms}
        if listed.keys() - self.server_by_id.keys():
            self._rank_servers(listed.keys() | self.server_by_id.keys())
        for vm in listed.values():
            self._list(vm, now_ms)
        for server_id in self.server_by_id.keys() - listed.keys():
            self._unlist(server_id, now_ms)

    def _list(self, vm: Vm, now_ms: int) -> None:
        server = self.server_by_id.get(vm.server_id)
        if server is None:
            self._add(vm, now_ms)
        elif server.vm != vm or not server.listed:
            server.vm = vm
            server.listed = True
            server.view = None
            self.schedule_exchange(vm.server_id, now_ms)

    def _unlist(self, server_id: str, now_ms: int) -> None:
        server = self.server_by_id[server_id]
        server.listed = False
        if not server.lease.is_valid(now_ms) and server.in_flight is None:
            self.server_by_id.pop(server_id)

    def update_alive(self, daemon_ids: Iterable[str], now_ms: int) -> None:
        """Take the daemons that seem alive and rank the servers anew.

        :param daemon_ids: their names.
        :param now_ms: monotonic time, in milliseconds.
        """
        alive = frozenset(daemon_ids) | {self._settings.daemon_id}
        if alive == self.alive and self.knows_peers:
            return
        self.alive = alive
        self.knows_peers = True
        self._rank_servers(self.server_by_id)
        for server_id, server in self.server_by_id.items():
            server.preference.update(self.rank(server_id), now_ms)
            if not server.lease.is_valid(now_ms):
                self.schedule_acquisition(server, now_ms)

    @property
    def may_acquire(self) -> bool:
        """Tell whether leases may be acquired at all.

        :returns: whether this daemon knows enough and goes on.
        """
        return self.knows_peers and self.is_ready and not self.draining

    def mark_ready(self, now_ms: int) -> None:
        """Note that the stream was read to its head.

        :param now_ms: monotonic time, in milliseconds.
        """
        if self.is_ready:
            return
        self.is_ready = True
        for server in self.server_by_id.values():
            self.schedule_acquisition(server, now_ms)

    def rank(self, subject: str) -> int:
        """Rank this daemon for a subject.

        :param subject: a server or task.
        :returns: 0 for the first choice.
        """
        rank = self._rank_by_server.get(subject)
        if rank is not None:
            return rank
        return rank_of(self._settings.daemon_id, self.alive, subject)

    def held(self, now_ms: int) -> dict[str, ServerControl]:
        """List the servers that this daemon may rely on now.

        :param now_ms: monotonic time, in milliseconds.
        :returns: servers by id.
        """
        held = {
            server_id: server
            for server_id, server in self.server_by_id.items()
            if server.lease.is_valid(now_ms)
        }
        self.pace = self._settings.pace(len(held))
        return held

    def schedule_exchange(self, server_id: str, due_ms: int) -> None:
        """Let the next exchange with a server come no later than given.

        :param server_id: id of the backend server.
        :param due_ms: monotonic time, in milliseconds.
        """
        server = self.server_by_id.get(server_id)
        if server is not None and (due_ms < server.due_ms or not server.due_ms):
            self.reschedule(server, due_ms)

    def invalidate_view(self, server_id: str) -> None:
        """Note that a server's claims or condition changed.

        :param server_id: which server; one that is not known is passed over.
        """
        server = self.server_by_id.get(server_id)
        if server is not None:
            server.view = None
            self.room_changed = True

    def _rank_servers(self, server_ids: Iterable[str]) -> None:
        orders = shared_out(self.alive, server_ids)
        self._rank_by_server = {
            server_id: order.index(self._settings.daemon_id)
            for server_id, order in orders.items()
        }

    def _add(self, vm: Vm, now_ms: int) -> None:
        settings = self._settings
        server = ServerControl(
            vm,
            ControlLease(settings.margin_ms),
            Preference(settings.times, self.rank(vm.server_id), now_ms),
        )
        self.server_by_id[vm.server_id] = server
        self.schedule_acquisition(server, now_ms)

    def pop_due(self, now_ms: int) -> Iterator[ServerControl]:
        """Take the servers whose exchange is due.

        :param now_ms: monotonic time, in milliseconds.
        :returns: servers; one is not due again until it is marked so.
        """
        while self._due and self._due[0].due_ms <= now_ms:
            due = heapq.heappop(self._due)
            server = self.server_by_id.get(due.server_id)
            if server is not None and server.due_ms == due.due_ms:
                server.due_ms = 0
                yield server

    def reschedule(self, server: ServerControl, due_ms: int) -> None:
        """Set when the next exchange with a server is due.

        :param server: the backend server.
        :param due_ms: monotonic time, in milliseconds.
        """
        server.due_ms = max(1, due_ms)
        heapq.heappush(self._due, _Due(server.due_ms, server.vm.server_id))

    def schedule_acquisition(self, server: ServerControl, now_ms: int) -> None:
        """Let this daemon try for a lease when it is its turn.

        :param server: the backend server.
        :param now_ms: monotonic time, in milliseconds.
        """
        tries = server.preference.rank <= MAX_ACQUIRE_RANK and self.may_acquire
        if tries:
            next_try_ms = max(now_ms, server.preference.next_try_ms())
            self.reschedule(server, next_try_ms)
