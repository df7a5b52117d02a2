"""Slot accounting and load balancing over the held backend servers."""

import dataclasses
import heapq
import random
from collections.abc import Iterable

from waxwingford.kernel import Invariant, check_invariant
from waxwingford.routing._call_tracker import CallTracker
from waxwingford.routing._messages import LeasedServer
from waxwingford.routing._server_pool import ServerPool, lowest_latency
from waxwingford.routing._server_state import SLOW_START_MS, ServerState

#: Samplings of candidates in addition to one per available server.
EXTRA_DRAWS = 8
_NONE_TRIED: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Slot:
    """Slot of a server, occupied by one call.

    :ivar call_id: id of the call, unique in the table.
    :ivar held: server and lease at the time the slot was taken.
    :ivar taken_ms: monotonic time at which the slot was taken, in
        milliseconds.
    """

    call_id: int
    held: LeasedServer
    taken_ms: int


class SlotTable:
    """Slots of the servers whose control leases this daemon holds.

    :ivar state_by_server: state by server id; read-only for callers.
    :ivar pool_by_service: pool by service; read-only for callers.
    """

    def __init__(self, rng: random.Random) -> None:
        self.state_by_server: dict[str, ServerState] = {}
        self.pool_by_service: dict[str, ServerPool] = {}
        self._rng = rng
        self._tracker = CallTracker()
        self._timers: list[tuple[int, str]] = []
        self._warm_services: frozenset[str] = frozenset()

    def set_servers(self, servers: Iterable[LeasedServer], now_ms: int) -> None:
        """Replace the set of held servers.

        :param now_ms: monotonic time, in milliseconds.
        """
        by_id = {server.server_id: server for server in servers}
        self._warm_services = frozenset(
            service
            for service, pool in self.pool_by_service.items()
            if pool.servers
        )
        for server_id in self.state_by_server.keys() - by_id.keys():
            self.remove(server_id)
        for server in by_id.values():
            self.add_or_renew(server, now_ms)

    def add_or_renew(self, server: LeasedServer, now_ms: int) -> None:
        """Add a server or renew its lease.

        :param now_ms: monotonic time, in milliseconds.
        """
        state = self.state_by_server.get(server.server_id)
        if state is None or _is_new_instance(state, server):
            state = self._start_tracking(server, state, now_ms)
        state.held = server
        self._refresh(state, now_ms)

    def remove(self, server_id: str) -> None:
        """Remove a server; its state is dropped after its last call has ended."""
        state = self.state_by_server[server_id]
        if not state.removed:
            state.removed = True
            self.pool_by_service[state.held.service].remove(state)
        if not state.in_flight:
            self.state_by_server.pop(server_id)

    def choose(
        self,
        service: str,
        now_ms: int,
        tried: frozenset[str] = _NONE_TRIED,
    ) -> str | None:
        """Choose the better of two random servers.

        Candidates whose lease has expired are removed from the available set,
        which keeps the amortized cost constant.

        :param now_ms: monotonic time, in milliseconds.
        :param tried: servers that the request was already sent to.
        :returns: server id; None if no held server has a free slot.
        """
        self.process_due(now_ms)
        pool = self.pool_by_service.get(service)
        if pool is None:
            return None
        for _ in range(EXTRA_DRAWS + pool.available_count()):
            server_ids = pool.sample_two(self._rng)
            best = lowest_latency(self._available_of(server_ids, tried, now_ms))
            if best:
                return best.held.server_id
            if not server_ids:
                break
        return None

    def take(self, server_id: str, now_ms: int) -> Slot | None:
        """Take a slot immediately before dispatch.

        Checks the lease again, because it may have expired and passed to
        another holder if the process was suspended after the choice.

        :param server_id: id of the chosen server.
        :param now_ms: current monotonic time, in milliseconds.
        :returns: slot; None if the server is no longer available.
        """
        state = self.state_by_server.get(server_id)
        if state is None or not state.is_available(now_ms):
            return None
        held = state.held
        check_invariant(
            held.lease_until_ms > now_ms,
            Invariant.lease_before_effect,
            f'{server_id}: lease expired {now_ms - held.lease_until_ms} ms ago',
        )
        check_invariant(not held.leaving, Invariant.leaving_server, server_id)
        state.in_flight += 1
        check_invariant(
            state.in_flight <= state.max_in_flight(),
            Invariant.capacity,
            f'{server_id}: {state.in_flight} calls for {held.slots} slots',
        )
        self._refresh(state, now_ms)
        return Slot(self._tracker.begin(server_id), held, now_ms)

    def answered(self, slot: Slot, now_ms: int) -> float:
        """Release a slot after a complete answer.

        :param now_ms: monotonic time, in milliseconds.
        :returns: latency of the call, in milliseconds.
        """
        latency_ms = float(now_ms - slot.taken_ms)
        self.release(slot, now_ms)
        state = self.state_by_server.get(slot.held.server_id)
        if state is None or state.removed:
            return latency_ms
        pool = self.pool_by_service[state.held.service]
        if pool.record_latency(state, latency_ms):
            self.record_failure(slot, now_ms)
        else:
            state.consecutive_failures = 0
            state.ejections = 0
        return latency_ms

    def record_failure(self, slot: Slot, now_ms: int) -> bool:
        """Record a call that was not executed, of unknown outcome or slow.

        :param slot: slot of the call, released or not.
        :param now_ms: monotonic time, in milliseconds.
        :returns: whether the server was ejected.
        """
        state = self.state_by_server.get(slot.held.server_id)
        if state is None or state.removed or state.ejected_until_ms:
            return False
        state.consecutive_failures += 1
        pool = self.pool_by_service[state.held.service]
        if not pool.eject_if_failing(state, now_ms):
            return False
        self._schedule(state.ejected_until_ms, state)
        self._refresh(state, now_ms)
        return True

    def abandon(self, slot: Slot, until_ms: int) -> None:
        """Keep the slot of an unanswered call occupied until a given time.

        Releasing it at once would let the server get more calls than slots
        while it still runs the unanswered one.

        :param until_ms: monotonic time at which the server has certainly ended
            the call, in milliseconds.
        """
        self._tracker.abandon(slot.call_id, until_ms)

    def release(self, slot: Slot, now_ms: int) -> None:
        """Release a slot; has no effect if it was already released.

        :param now_ms: monotonic time, in milliseconds.
        """
        self._end_call(slot.call_id, now_ms)

    def process_due(self, now_ms: int) -> None:
        """Process abandoned calls, ejections and slow starts that are due.

        :param now_ms: monotonic time, in milliseconds.
        """
        for call_id in self._tracker.pop_due(now_ms):
            self._end_call(call_id, now_ms)
        while self._timers and self._timers[0][0] <= now_ms:
            _, server_id = heapq.heappop(self._timers)
            state = self.state_by_server.get(server_id)
            if state is not None and not state.removed:
                pool = self.pool_by_service[state.held.service]
                pool.end_ejection_if_due(state, now_ms)
                self._refresh(state, now_ms)

    def _start_tracking(
        self, server: LeasedServer, old: ServerState | None, now_ms: int
    ) -> ServerState:
        # Slow start requires other servers that can take the load.  If all are
        # new, as after the start of a daemon, it would only cause refusals.
        has_warm_servers = server.service in self._warm_services
        start_ms = now_ms if has_warm_servers else now_ms - SLOW_START_MS
        state = ServerState(server, slow_start_from_ms=start_ms)
        if old is not None:
            # Calls from before the server was removed may still run.
            state.in_flight = old.in_flight
            if not old.removed:
                self.pool_by_service[old.held.service].remove(old)
        self.state_by_server[server.server_id] = state
        pool = self.pool_by_service.setdefault(server.service, ServerPool())
        pool.servers += 1
        return state

    def _available_of(
        self, server_ids: tuple[str, ...], tried: frozenset[str], now_ms: int
    ) -> list[ServerState]:
        found = []
        for server_id in server_ids:
            state = self.state_by_server[server_id]
            if not state.is_available(now_ms):
                # The lease has expired; a renewal makes the server available
                # again.
                self._refresh(state, now_ms)
            elif server_id not in tried:
                found.append(state)
        return found

    def _refresh(self, state: ServerState, now_ms: int) -> None:
        self.pool_by_service[state.held.service].refresh(state, now_ms)
        if state.in_slow_start(now_ms) and state.next_update_ms <= now_ms:
            state.next_update_ms = state.next_slot_ms(now_ms)
            self._schedule(state.next_update_ms, state)

    def _schedule(self, at_ms: int, state: ServerState) -> None:
        heapq.heappush(self._timers, (at_ms, state.held.server_id))

    def _end_call(self, call_id: int, now_ms: int) -> None:
        server_id = self._tracker.end(call_id)
        if server_id is None:
            return
        state = self.state_by_server[server_id]
        state.in_flight -= 1
        check_invariant(
            state.in_flight >= 0,
            Invariant.capacity,
            f'{server_id}: slot released twice',
        )
        if not state.removed:
            self._refresh(state, now_ms)
        elif not state.in_flight:
            self.state_by_server.pop(server_id)


def _is_new_instance(state: ServerState, server: LeasedServer) -> bool:
    return state.removed or (state.held.boot_id, state.held.service) != (
        server.boot_id,
        server.service,
    )
