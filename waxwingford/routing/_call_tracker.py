"""Tracker of the calls in flight and the servers that they occupy."""

import heapq
import itertools
from collections.abc import Iterator


class CallTracker:
    """Calls in flight, including abandoned ones that may still run."""

    def __init__(self) -> None:
        self._server_by_call: dict[int, str] = {}
        self._call_ids = itertools.count(1)
        self._abandoned: list[tuple[int, int]] = []

    def begin(self, server_id: str) -> int:
        """Register a call.

        :param server_id: server that the call is sent to.
        """
        call_id = next(self._call_ids)
        self._server_by_call[call_id] = server_id
        return call_id

    def end(self, call_id: int) -> str | None:
        """Remove a call.

        :returns: server of the call; None if it was already removed.
        """
        return self._server_by_call.pop(call_id, None)

    def abandon(self, call_id: int, until_ms: int) -> None:
        """Schedule the end of an abandoned call.

        :param until_ms: monotonic time at which the server has certainly ended
            the call, in milliseconds.
        """
        heapq.heappush(self._abandoned, (until_ms, call_id))

    def pop_due(self, now_ms: int) -> Iterator[int]:
        """Remove the abandoned calls that have certainly ended.

        :param now_ms: monotonic time, in milliseconds.
        """
        while self._abandoned and self._abandoned[0][0] <= now_ms:
            yield heapq.heappop(self._abandoned)[1]
