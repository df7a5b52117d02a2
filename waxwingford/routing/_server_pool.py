"""Held servers of one service: which of them are open to new calls."""

import random
from collections.abc import Iterable

from waxwingford.routing._indexed_set import IndexedSet
from waxwingford.routing._server_state import (
    EJECT_AFTER_FAILURES,
    LATENCY_WEIGHT,
    ServerState,
)

#: Share of a service's servers that may be ejected at once.
MAX_EJECTED_FRACTION = 0.3
#: An answer slower than this many times the service's average is slow.
SLOW_ANSWER_FACTOR = 4


class ServerPool:
    """Counts over the held servers of one service, kept up by each change.

    :ivar servers: held servers.
    :ivar ejected: servers ejected now.
    :ivar free_slots: free slots.
    :ivar latency_ms: moving average over all servers, in milliseconds.
    """

    def __init__(self) -> None:
        """Start without servers."""
        self.servers = 0
        self.ejected = 0
        self.free_slots = 0
        self.latency_ms: float = 0
        self._available_servers = IndexedSet()

    def available_count(self) -> int:
        """Count the servers open to new calls.

        :returns: the count.
        """
        return len(self._available_servers)

    def sample_two(self, rng: random.Random) -> tuple[str, ...]:
        """Draw two candidates.

        :param rng: source of chance.
        :returns: two server ids, or as many as are open.
        """
        return self._available_servers.sample_two(rng)

    def remove(self, state: ServerState) -> None:
        """Take a server out.

        :param state: a server of this service.
        """
        self.servers -= 1
        self.free_slots -= state.counted_free_slots
        state.counted_free_slots = 0
        self._available_servers.discard(state.held.server_id)
        if state.ejected_until_ms:
            self.ejected -= 1
            state.ejected_until_ms = 0

    def refresh(self, state: ServerState, now_ms: int) -> None:
        """Bring a changed server's part of the counts up to date.

        :param state: a server of this service.
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
        """Take in the latency of an answer.

        :param state: who answered.
        :param latency_ms: milliseconds.
        :returns: whether the answer was slow for this service.
        """
        average_ms = self.latency_ms
        state.record_latency(latency_ms)
        weight = LATENCY_WEIGHT if average_ms else 1
        self.latency_ms += weight * (latency_ms - average_ms)
        return average_ms > 0 and latency_ms > SLOW_ANSWER_FACTOR * average_ms

    def eject_if_failing(self, state: ServerState, now_ms: int) -> bool:
        """Eject a server after too many bad calls in a row.

        No more than a share is ejected: when all servers fail, the fault is
        elsewhere, and the last servers would drown in what the others shed.

        :param state: a server of this service.
        :param now_ms: monotonic time, in milliseconds.
        :returns: whether it was ejected.
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
        """Let a server whose ejection is over come back.

        :param state: a server of this service.
        :param now_ms: monotonic time, in milliseconds.
        """
        if 0 < state.ejected_until_ms <= now_ms:
            state.ejected_until_ms = 0
            self.ejected -= 1


def lowest_latency(states: Iterable[ServerState]) -> ServerState | None:
    """Choose the server with the least expected latency.

    :param states: candidates.
    :returns: the best; nothing if there are none.
    """
    return min(states, key=ServerState.expected_ms, default=None)
