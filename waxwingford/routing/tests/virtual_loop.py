"""Event loop with virtual time."""

import asyncio
import selectors

_MS_IN_S = 1000
_RESOLUTION_S = 1e-6


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances virtual time instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now_s: float = 0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError('deadlock: nothing is scheduled')
        self.now_s += max(0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock advances only when all tasks wait."""

    def __init__(self):
        self.selector = _VirtualTimeSelector()
        super().__init__(self.selector)
        self._clock_resolution = _RESOLUTION_S

    def time(self):
        """Read virtual time.

        :returns: seconds.
        """
        return self.selector.now_s

    def stall(self, duration_s):
        """Advance time without running tasks, as in a suspended process.

        :param duration_s: duration, in seconds.
        """
        self.selector.now_s += duration_s


class LoopClock:
    """Clock of a virtual loop."""

    def __init__(self, loop, start_ms=1_000_000):
        """Create a clock for a virtual loop.

        :param start_ms: clock reading at loop time 0, in milliseconds.
        """
        self._loop = loop
        self._start_ms = start_ms

    def monotonic_ms(self) -> int:
        """Read virtual time."""
        return self._start_ms + round(self._loop.time() * _MS_IN_S)

    def wall_ms(self) -> int:
        """Read virtual time."""
        return self.monotonic_ms()


def end_loop(loop: VirtualLoop) -> None:
    """Cancel all tasks and close the loop."""
    for task in asyncio.all_tasks(loop):
        task.cancel()
    loop.run_until_complete(asyncio.sleep(0))
    loop.close()
