"""Limit of the time that is spent on questions that can wait."""

import collections
import math
from collections.abc import Callable, Iterator
from contextlib import contextmanager

#: Period over which the time spent is summed, in seconds.
PERIOD_S = 1.0


class TimeBudget:
    """Sum of the time that was spent in the latest ``PERIOD_S``.

    Once the sum has reached the limit, nothing more may be spent for as long as the
    limit needs to cover it. So overruns are paid for afterwards.
    """

    def __init__(self, most_s: float, clock_s: Callable[[], float]) -> None:
        """Start with nothing spent.

        :param most_s: time that may be spent in each period, in seconds.
        :param clock_s: monotonic clock, in seconds.
        """
        self._most_s = most_s
        self._clock_s = clock_s
        #: End and duration of each use, in seconds.
        self._uses: collections.deque[tuple[float, float]] = collections.deque()
        self._closed_until_s: float = 0
        self._began_s: float = 0

    @contextmanager
    def measure(self) -> Iterator[None]:
        """Add the duration of a block to the time spent.

        :yields: once, to run the block.
        """
        self._began_s = self._clock_s()
        try:
            yield
        finally:
            self._add(self._began_s, self._clock_s())

    def has_time(self) -> bool:
        """Tell whether the block that is measured may go on."""
        return self._clock_s() - self._began_s < self._most_s

    def retry_after_s(self) -> int:
        """Compute when there is time again.

        :returns: whole seconds, 0 if there is time now.
        """
        left_s = self._closed_until_s - self._clock_s()
        return max(0, math.ceil(left_s))

    def _add(self, began_s: float, ended_s: float) -> None:
        while self._uses and self._uses[0][0] <= began_s - PERIOD_S:
            self._uses.popleft()
        self._uses.append((ended_s, ended_s - began_s))
        spent_s = sum([took_s for _, took_s in self._uses])
        if spent_s >= self._most_s:
            self._uses.clear()
            self._closed_until_s = ended_s + PERIOD_S * spent_s / self._most_s
