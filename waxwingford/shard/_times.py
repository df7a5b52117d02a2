"""Clocks of a daemon's event loop, in whole milliseconds."""

import asyncio
import time

MS_IN_S = 1000
_NS_IN_MS = 1_000_000


def steady_ms() -> int:
    """Read the event loop's clock.

    :returns: milliseconds since an arbitrary start, suspension left out.
    """
    return int(asyncio.get_running_loop().time() * MS_IN_S)


def boot_ms() -> int:
    """Read the clock that counts also while the VM is suspended.

    A proof of ownership ages while the VM sleeps, and the event loop's clock
    would not show it: the daemon would go on with leases that a successor
    takes for lapsed.

    :returns: milliseconds since the VM started.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_IN_MS
