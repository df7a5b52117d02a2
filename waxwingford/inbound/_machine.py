"""Memory and descriptors that the machine gives a process."""

import pathlib
import resource

_MEMINFO = pathlib.Path('/proc/meminfo')
_KB_PER_MB = 1000
#: Memory of a machine that doesn't tell it, in MB.
UNKNOWN_MEMORY_MB = 256


def memory_mb() -> int:
    """Read the memory of the machine.

    :returns: its memory in MB, a small value if it can't be read.
    """
    try:
        total = _MEMINFO.read_text(encoding='utf-8').split(maxsplit=2)[1]
    except (OSError, IndexError):
        return UNKNOWN_MEMORY_MB
    return int(total) // _KB_PER_MB


def max_descriptors() -> int:
    """Return the limit on the open descriptors of this process."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]
