"""Clock by which the age of a frame is told."""

import time

_NS_IN_MS = 1_000_000


def boottime_ms() -> int:
    """Read ``CLOCK_BOOTTIME``, which also advances while the VM is suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_IN_MS
