"""Detects overload of an owner by the lag of its event loop.

An overloaded owner sends heartbeats and polls late, so that leases expire and
daemons with the same load take over in turn. Work that can wait is deferred.
"""

import asyncio
from collections.abc import Callable

from waxwingford.shard._clocks import MS_PER_S

SAMPLE_INTERVAL_S = 0.05
#: Mean lag above which no tasks are started, in seconds. It is a fraction of the
#: timeout of an order.
MAX_LAG_S = 0.15
#: Weight of a new sample in the moving average.
SMOOTHING_FACTOR = 0.2


class LoopLag:
    """Moving average of the lag of the event loop."""

    def __init__(self, note_lag_ms: Callable[[float], object] = float) -> None:
        """Start without any lag.

        :param note_lag_ms: told of each sample, in ms.
        """
        self.mean_s: float = 0
        self._note_lag_ms = note_lag_ms

    @property
    def acceptable(self) -> bool:
        """Check whether the owner has capacity for more work.

        With a higher lag answers are read after their timeouts: healthy servers
        appear unreachable, and starts are stopped and repeated.

        :returns: whether tasks may be started, and timeouts count as failures.
        """
        return self.mean_s <= MAX_LAG_S

    async def measure(self) -> None:
        """Sample the event loop until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + SAMPLE_INTERVAL_S
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            lag_s = max(0, loop.time() - due_s)
            self._note_lag_ms(lag_s * MS_PER_S)
            self.mean_s += (lag_s - self.mean_s) * SMOOTHING_FACTOR
