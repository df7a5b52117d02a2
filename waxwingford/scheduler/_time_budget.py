"""Limit of the time that is spent on questions that can wait."""

import collections
import math
from collections.abc import Callable, Iterator
from contextlib import contextmanager

#: Period over which the time spent is summed, in seconds.
PERIOD_S = 1.0


class TimeBudget:
    """Sum of the time that was spent in the latest ``PERIOD_S``."""

    def __init__(self, most_s: float, clock_s: Callable[[], float]) -> None:
        """Start with nothing spent.

        :param most_s: time that may be spent in each period, in seconds.
        :param clock_s: monotonic clock, in seconds.
        """
        self._most_s = most_s
        self._clock_s = clock_s
        #: End and duration of each use, in seconds.
        self._uses: collections.deque[tuple[float, float]] = collections.deque()

    @contextmanager
    def measure(self) -> Iterator[None]:
        """Add the duration of a block to the time spent.

        :yields: once, to run the block.
        """
        began_s = self._clock_s()
        try:
            yield
        finally:
            ended_s = self._clock_s()
            self._uses.append((ended_s, ended_s - began_s))

    def retry_after_s(self) -> int:
        """Compute when there is time again.

        :returns: whole seconds, 0 if there is time now.
        """
        now_s = self._clock_s()
        while self._uses and self._uses[0][0] <= now_s - PERIOD_S:
            self._uses.popleft()
        left_s = sum([took_s for _, took_s in self._uses])
        if left_s < self._most_s:
            return 0
        for ended_s, took_s in self._uses:
            left_s -= took_s
            if left_s < self._most_s:
                break
        return max(1, math.ceil(ended_s + PERIOD_S - now_s))
