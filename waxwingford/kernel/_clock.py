"""System clock, and a manual clock for tests."""

import time
from typing import Protocol

_NS_IN_MS = 1_000_000
_MS_IN_S = 1000


class Clock(Protocol):
    """Source of time; leases depend on the monotonic time only."""

    def monotonic_ms(self) -> int:
        """Read the monotonic time.

        :returns: time in milliseconds since an arbitrary origin.
        """
        ...

    def wall_ms(self) -> int:
        """Read the wall time, which serves only for display and job deadlines.

        :returns: time in milliseconds since the Unix epoch.
        """
        ...


class SystemClock:
    """Clock of the operating system."""

    def monotonic_ms(self) -> int:
        """Read ``CLOCK_MONOTONIC``.

        :returns: time in milliseconds since an arbitrary origin.
        """
        return time.monotonic_ns() // _NS_IN_MS

    def wall_ms(self) -> int:
        """Read the wall time.

        :returns: time in milliseconds since the Unix epoch.
        """
        return int(time.time() * _MS_IN_S)


class ManualClock:
    """Clock for tests that advances only by explicit calls."""

    def __init__(self, start_ms: int = 0) -> None:
        """Initialize the time.

        :param start_ms: initial time, in milliseconds.
        """
        self._now_ms = start_ms

    def advance(self, step_ms: int) -> None:
        """Advance the time.

        :param step_ms: step, in milliseconds.
        """
        self._now_ms += step_ms

    def monotonic_ms(self) -> int:
        """Read the current time of this clock.

        :returns: time in milliseconds.
        """
        return self._now_ms

    def wall_ms(self) -> int:
        """Read the current time of this clock.

        :returns: time in milliseconds.
        """
        return self._now_ms
