"""Virtual time: one heap of events."""

import heapq
import itertools
from collections.abc import Callable


class VirtualTime:
    """Time that passes only when it is told to.

    :ivar now_ms: the present.
    """

    def __init__(self) -> None:
        """Start at 0."""
        self.now_ms = 0
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def at(self, delay_ms: int, call: Callable[[], None]) -> None:
        """Let something happen later.

        :param delay_ms: from now.
        :param call: what happens.
        """
        event = (self.now_ms + max(0, delay_ms), next(self._order), call)
        heapq.heappush(self._events, event)

    def every(
        self, span_ms: int, first_ms: int, call: Callable[[], None]
    ) -> None:
        """Let something happen again and again.

        :param span_ms: between two times.
        :param first_ms: from now.
        :param call: what happens.
        """

        def _again() -> None:
            call()
            self.at(span_ms, _again)

        self.at(first_ms, _again)

    def run(self, span_ms: int) -> None:
        """Let time pass.

        :param span_ms: how much.
        """
        until_ms = self.now_ms + span_ms
        while self._events and self._events[0][0] <= until_ms:
            due_ms, _, call = heapq.heappop(self._events)
            self.now_ms = due_ms
            call()
        self.now_ms = until_ms
