"""Tracker of calls in flight: which server each one still occupies."""

import heapq
import itertools
from collections.abc import Iterator


class CallTracker:
    """Calls that have not ended, and those given up but not yet over."""

    def __init__(self) -> None:
        """Start empty."""
        self._server_by_call: dict[int, str] = {}
        self._call_ids = itertools.count(1)
        self._abandoned: list[tuple[int, int]] = []

    def begin(self, server_id: str) -> int:
        """Enter a call.

        :param server_id: where it goes.
        :returns: call id.
        """
        call_id = next(self._call_ids)
        self._server_by_call[call_id] = server_id
        return call_id

    def end(self, call_id: int) -> str | None:
        """Strike a call out.

        :param call_id: which call.
        :returns: its server; nothing if it was struck out before.
        """
        return self._server_by_call.pop(call_id, None)

    def abandon(self, call_id: int, until_ms: int) -> None:
        """Keep a call until its server has ended it for certain.

        :param call_id: which call.
        :param until_ms: monotonic time, in milliseconds.
        """
        heapq.heappush(self._abandoned, (until_ms, call_id))

    def pop_due(self, now_ms: int) -> Iterator[int]:
        """Go through the abandoned calls that are over.

        :param now_ms: monotonic time, in milliseconds.
        :yields: call ids.
        """
        while self._abandoned and self._abandoned[0][0] <= now_ms:
            yield heapq.heappop(self._abandoned)[1]
