"""The backend servers of a failure domain, and when to contact them."""

import heapq
from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from waxwingford.batch._server import ServerControl
from waxwingford.batch._settings import BatchSettings
from waxwingford.ownership import (
    AcquisitionSchedule,
    ControlLease,
    rank_of,
    shared_out,
)
from waxwingford.ports import Resources, Vm

#: Highest rank at which a daemon acquires the lease of a server.
MAX_ACQUIRE_RANK = 2


class _Due(NamedTuple):
    due_ms: int
    server_id: str


class Fleet:
    """Backend servers, this daemon's rank for each, and their due times.

    :ivar server_by_id: listed servers, and unlisted ones that are still held or
        contacted.
    :ivar live_daemon_ids: daemons that appear to be alive, including this one.
    :ivar knows_peers: whether the live daemons are known; until then no lease
        is acquired, so that a daemon that starts does not acquire them all.
    :ivar is_ready: whether the stream was read to its head; without the claims
        this daemon could not renew the task leases of a server.
    :ivar room_changed: whether a server may have more free resources.
    :ivar lease_timing: interval of exchanges and durations of leases, for the
        number of servers held at present.
    :ivar released: servers whose leases were released since the last call of
        ``BatchQueries.pop_released_servers``.
    :ivar draining: whether this daemon releases its leases to stop.
    :ivar reserved_by_service: resources reserved on each VM for its service,
        by service.
    """

    def __init__(self, settings: BatchSettings) -> None:
        self.server_by_id: dict[str, ServerControl] = {}
        self.live_daemon_ids = frozenset((settings.daemon_id,))
        self.knows_peers = False
        self.is_ready = False
        self.room_changed = False
        self.released: list[str] = []
        self.lease_timing = settings.lease_timing(0)
        self.draining = False
        self.reserved_by_service: Mapping[str, Resources] = {}
        self._settings = settings
        self._due: list[_Due] = []
        self._rank_by_server: dict[str, int] = {}

    def update_list(self, vms: Iterable[Vm], now_ms: int) -> None:
        """Update from the platform's list of VMs, which is a hint.

        :param vms: listed VMs of this failure domain.
        :param now_ms: monotonic time, in milliseconds.
        """
        listed = {vm.server_id: vm for vm in vms}
        if listed.keys() - self.server_by_id.keys():
            self._rank_servers(listed.keys() | self.server_by_id.keys())
        for vm in listed.values():
            self._update_listed(vm, now_ms)
        for server_id in self.server_by_id.keys() - listed.keys():
            self._mark_unlisted(server_id, now_ms)

    def _update_listed(self, vm: Vm, now_ms: int) -> None:
        server = self.server_by_id.get(vm.server_id)
        if server is None:
            self._add(vm, now_ms)
        elif server.vm != vm or not server.listed:
            server.vm = vm
            server.listed = True
            server.view = None
            self.schedule_exchange(vm.server_id, now_ms)

    def _mark_unlisted(self, server_id: str, now_ms: int) -> None:
        server = self.server_by_id[server_id]
        server.listed = False
        if not server.lease.is_valid(now_ms) and server.in_flight is None:
            self.server_by_id.pop(server_id)

    def update_alive(self, daemon_ids: Iterable[str], now_ms: int) -> None:
        """Update the daemons that appear to be alive, and the ranks.

        :param now_ms: monotonic time, in milliseconds.
        """
        live_daemon_ids = frozenset(daemon_ids) | {self._settings.daemon_id}
        if live_daemon_ids == self.live_daemon_ids and self.knows_peers:
            return
        self.live_daemon_ids = live_daemon_ids
        self.knows_peers = True
        self._rank_servers(self.server_by_id)
        for server_id, server in self.server_by_id.items():
            server.preference.update(self.rank(server_id), now_ms)
            if not server.lease.is_valid(now_ms):
                self.schedule_acquisition(server, now_ms)

    @property
    def may_acquire(self) -> bool:
        """Return whether this daemon may acquire leases.

        :returns: true if it is ready, knows its peers and is not draining.
        """
        return self.knows_peers and self.is_ready and not self.draining

    def mark_ready(self, now_ms: int) -> None:
        """Record that the stream was read to its head.

        :param now_ms: monotonic time, in milliseconds.
        """
        if self.is_ready:
            return
        self.is_ready = True
        for server in self.server_by_id.values():
            self.schedule_acquisition(server, now_ms)

    def rank(self, subject: str) -> int:
        """Return the rank of this daemon for a subject.

        :param subject: id of a server, task or stream.
        :returns: the rank, 0 for the preferred daemon.
        """
        rank = self._rank_by_server.get(subject)
        if rank is not None:
            return rank
        return rank_of(self._settings.daemon_id, self.live_daemon_ids, subject)

    def held(self, now_ms: int) -> dict[str, ServerControl]:
        """Return the servers whose control lease is valid.

        :param now_ms: monotonic time, in milliseconds.
        :returns: servers by id.
        """
        held = {
            server_id: server
            for server_id, server in self.server_by_id.items()
            if server.lease.is_valid(now_ms)
        }
        self.lease_timing = self._settings.lease_timing(len(held))
        return held

    def schedule_exchange(self, server_id: str, due_ms: int) -> None:
        """Schedule the next exchange with a server for a time or earlier.

        :param due_ms: monotonic time, in milliseconds.
        """
        server = self.server_by_id.get(server_id)
        if server is not None and (due_ms < server.due_ms or not server.due_ms):
            self.reschedule(server, due_ms)

    def invalidate_view(self, server_id: str) -> None:
        """Drop the cached view of a server whose claims or state changed.

        :param server_id: id of the server; ignored if unknown.
        """
        server = self.server_by_id.get(server_id)
        if server is not None:
            server.view = None
            self.room_changed = True

    def _rank_servers(self, server_ids: Iterable[str]) -> None:
        orders = shared_out(self.live_daemon_ids, server_ids)
        self._rank_by_server = {
            server_id: order.index(self._settings.daemon_id)
            for server_id, order in orders.items()
        }

    def _add(self, vm: Vm, now_ms: int) -> None:
        settings = self._settings
        server = ServerControl(
            vm,
            ControlLease(settings.margin_ms),
            AcquisitionSchedule(
                settings.times, self.rank(vm.server_id), now_ms
            ),
        )
        self.server_by_id[vm.server_id] = server
        self.schedule_acquisition(server, now_ms)

    def pop_due(self, now_ms: int) -> Iterator[ServerControl]:
        """Remove and return the servers whose exchange is due.

        :param now_ms: monotonic time, in milliseconds.
        :returns: servers; each needs to be scheduled again.
        """
        while self._due and self._due[0].due_ms <= now_ms:
            due = heapq.heappop(self._due)
            server = self.server_by_id.get(due.server_id)
            if server is not None and server.due_ms == due.due_ms:
                server.due_ms = 0
                yield server

    def reschedule(self, server: ServerControl, due_ms: int) -> None:
        """Set when the next exchange with a server is due.

        :param due_ms: monotonic time, in milliseconds.
        """
        server.due_ms = max(1, due_ms)
        heapq.heappush(self._due, _Due(server.due_ms, server.vm.server_id))

    def schedule_acquisition(self, server: ServerControl, now_ms: int) -> None:
        """Schedule an attempt to acquire the lease, if the rank allows it.

        :param now_ms: monotonic time, in milliseconds.
        """
        may_try = (
            server.preference.rank <= MAX_ACQUIRE_RANK and self.may_acquire
        )
        if may_try:
            next_try_ms = max(now_ms, server.preference.next_try_ms())
            self.reschedule(server, next_try_ms)
