"""Discrete-event scheduler in virtual time."""

import heapq
import itertools
from collections.abc import Callable


class VirtualTime:
    """Virtual clock with a queue of scheduled callbacks.

    :ivar now_ms: current virtual time, in milliseconds.
    """

    def __init__(self) -> None:
        """Start at 0."""
        self.now_ms = 0
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def at(self, delay_ms: int, call: Callable[[], None]) -> None:
        """Schedule a callback.

        :param delay_ms: delay from now, in milliseconds; at least 0 is used.
        :param call: callback to run.
        """
        event = (self.now_ms + max(0, delay_ms), next(self._order), call)
        heapq.heappush(self._events, event)

    def every(
        self, span_ms: int, first_ms: int, call: Callable[[], None]
    ) -> None:
        """Schedule a callback periodically.

        :param span_ms: interval between two calls, in milliseconds.
        :param first_ms: delay of the first call, in milliseconds.
        :param call: callback to run.
        """

        def _again() -> None:
            call()
            self.at(span_ms, _again)

        self.at(first_ms, _again)

    def run(self, span_ms: int) -> None:
        """Advance the clock and run all callbacks that are due.

        :param span_ms: time to advance by, in milliseconds.
        """
        until_ms = self.now_ms + span_ms
        while self._events and self._events[0][0] <= until_ms:
            due_ms, _, call = heapq.heappop(self._events)
            self.now_ms = due_ms
            call()
        self.now_ms = until_ms
