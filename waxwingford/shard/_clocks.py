"""Clocks of a daemon's event loop, in whole milliseconds."""

import asyncio
import time

MS_PER_S = 1000
_NS_IN_MS = 1_000_000


def monotonic_ms() -> int:
    """Read the event loop's clock.

    :returns: milliseconds since an arbitrary start; stops while the VM is
        suspended.
    """
    return int(asyncio.get_running_loop().time() * MS_PER_S)


def boottime_ms() -> int:
    """Read ``CLOCK_BOOTTIME``, which also advances while the VM is suspended.

    The age of a proof of ownership is measured with it: by the event loop's
    clock a daemon that resumes would extend leases that its successor takes
    for expired.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_IN_MS
