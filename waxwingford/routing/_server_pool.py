"""Pool of the held servers of one service."""

import random
from collections.abc import Iterable

from waxwingford.routing._indexed_set import IndexedSet
from waxwingford.routing._server_state import (
    EJECT_AFTER_FAILURES,
    LATENCY_WEIGHT,
    ServerState,
)

#: Maximum fraction of the servers of a service ejected at the same time.
MAX_EJECTED_FRACTION = 0.3
#: Multiple of the average latency of the service above which an answer is slow.
SLOW_ANSWER_FACTOR = 4


class ServerPool:
    """Incrementally updated totals over the held servers of one service.

    :ivar servers: number of held servers.
    :ivar ejected: number of ejected servers.
    :ivar free_slots: number of free slots.
    :ivar latency_ms: moving average of latency over all servers, in
        milliseconds.
    """

    def __init__(self) -> None:
        self.servers = 0
        self.ejected = 0
        self.free_slots = 0
        self.latency_ms: float = 0
        self._available_servers = IndexedSet()

    def available_count(self) -> int:
        """Count the servers available for new calls."""
        return len(self._available_servers)

    def sample_two(self, rng: random.Random) -> tuple[str, ...]:
        """Sample two available servers.

        :returns: two server ids, or all available ones if there are fewer.
        """
        return self._available_servers.sample_two(rng)

    def remove(self, state: ServerState) -> None:
        """Remove a server from the pool."""
        self.servers -= 1
        self.free_slots -= state.counted_free_slots
        state.counted_free_slots = 0
        self._available_servers.discard(state.held.server_id)
        if state.ejected_until_ms:
            self.ejected -= 1
            state.ejected_until_ms = 0

    def refresh(self, state: ServerState, now_ms: int) -> None:
        """Update the totals after a change of a server.

        :param now_ms: monotonic time, in milliseconds.
        """
        is_available = state.is_available(now_ms)
        free_slots = state.allowed_slots(now_ms) - state.in_flight
        free_slots *= is_available
        self.free_slots += free_slots - state.counted_free_slots
        state.counted_free_slots = free_slots
        if is_available:
            self._available_servers.add(state.held.server_id)
        else:
            self._available_servers.discard(state.held.server_id)

    def record_latency(self, state: ServerState, latency_ms: float) -> bool:
        """Update the moving averages of latency.

        :param state: server that answered.
        :param latency_ms: latency of the answer, in milliseconds.
        :returns: whether the answer was slow compared with the service average.
        """
        average_ms = self.latency_ms
        state.record_latency(latency_ms)
        weight = LATENCY_WEIGHT if average_ms else 1
        self.latency_ms += weight * (latency_ms - average_ms)
        return average_ms > 0 and latency_ms > SLOW_ANSWER_FACTOR * average_ms

    def eject_if_failing(self, state: ServerState, now_ms: int) -> bool:
        """Eject a server after too many consecutive failures.

        The ejected fraction is limited, so that a fault common to all servers
        does not concentrate the load on a few of them.

        :param now_ms: monotonic time, in milliseconds.
        :returns: whether the server was ejected.
        """
        at_ejection_limit = (
            self.ejected + 1 > MAX_EJECTED_FRACTION * self.servers
        )
        if (
            state.consecutive_failures < EJECT_AFTER_FAILURES
            or at_ejection_limit
        ):
            return False
        self.ejected += 1
        state.eject(now_ms)
        return True

    def end_ejection_if_due(self, state: ServerState, now_ms: int) -> None:
        """End the ejection of a server if its time has passed.

        :param now_ms: monotonic time, in milliseconds.
        """
        if 0 < state.ejected_until_ms <= now_ms:
            state.ejected_until_ms = 0
            self.ejected -= 1


def lowest_latency(states: Iterable[ServerState]) -> ServerState | None:
    """Choose the server with the lowest expected latency.

    :returns: chosen server; None if there are no candidates.
    """
    return min(states, key=ServerState.expected_ms, default=None)
