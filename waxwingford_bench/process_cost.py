"""Cost of a process, as the operating system tells it."""

import os
import pathlib
import re
import subprocess
from typing import NamedTuple

_MS_IN_S = 1000
_KIB = 1024
_TICKS_IN_S = os.sysconf('SC_CLK_TCK')
_SOCKET = re.compile(
    r'(\S+:\d+)\s+(\S+:\d+).*?pid=(\d+),'
    r'.*?bytes_sent:(\d+)(?:.*?bytes_received:(\d+))?'
)


class Reading(NamedTuple):
    """What the operating system says of a process.

    :ivar processor_ms: processor time since its start, in milliseconds.
    :ivar resident_mb: resident memory, in mebibytes.
    :ivar bytes_by_socket: bytes sent and received, by open TCP socket.
    """

    processor_ms: float
    resident_mb: float
    bytes_by_socket: dict[str, int]


def read_process(process_id: int) -> Reading:
    """Read a process's cost so far.

    :param process_id: which process.
    :returns: processor time, memory and bytes on open TCP sockets.
    """
    stat = pathlib.Path(f'/proc/{process_id}/stat').read_text()
    fields = stat.rpartition(') ')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = pathlib.Path(f'/proc/{process_id}/statm').read_text().split()[1]
    resident = int(pages) * os.sysconf('SC_PAGE_SIZE') / _KIB**2
    listing = subprocess.run(
        ('ss', '-tinpOH'), capture_output=True, text=True, check=True
    ).stdout
    return Reading(
        ticks * _MS_IN_S / _TICKS_IN_S, resident, _sockets(listing, process_id)
    )


def _sockets(listing: str, process_id: int) -> dict[str, int]:
    matches = map(_SOCKET.search, listing.splitlines())
    return {
        f'{match[1]} {match[2]}': int(match[4]) + int(match[5] or 0)
        for match in matches
        if match and int(match[3]) == process_id
    }
