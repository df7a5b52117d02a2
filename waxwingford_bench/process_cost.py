"""Processor time, memory and TCP traffic of a process."""

import os
import pathlib
import re
import subprocess
from typing import NamedTuple

_MS_PER_S = 1000
_KIB = 1024
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_SOCKET_LINE = re.compile(
    r'(\S+:\d+)\s+(\S+:\d+).*?pid=(\d+),'
    r'.*?bytes_sent:(\d+)(?:.*?bytes_received:(\d+))?'
)


class ProcessUsage(NamedTuple):
    """Resource usage of a process.

    :ivar cpu_ms: processor time since its start, in milliseconds.
    :ivar resident_mib: resident memory, in mebibytes.
    :ivar bytes_by_socket: bytes sent and received, by open TCP socket.
    """

    cpu_ms: float
    resident_mib: float
    bytes_by_socket: dict[str, int]


def read_process(process_id: int) -> ProcessUsage:
    """Read the resource usage of a process from the operating system.

    :param process_id: id of the process.
    :returns: its usage since it started.
    :raises OSError: if the process does not exist.
    :raises subprocess.CalledProcessError: if ``ss`` fails.

    """
    stat = pathlib.Path(f'/proc/{process_id}/stat').read_text()
    fields = stat.rpartition(') ')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = pathlib.Path(f'/proc/{process_id}/statm').read_text().split()[1]
    resident = int(pages) * os.sysconf('SC_PAGE_SIZE') / _KIB**2
    listing = subprocess.run(
        ('ss', '-tinpOH'), capture_output=True, text=True, check=True
    ).stdout
    return ProcessUsage(
        ticks * _MS_PER_S / _TICKS_PER_S,
        resident,
        _parse_sockets(listing, process_id),
    )


def _parse_sockets(listing: str, process_id: int) -> dict[str, int]:
    matches = map(_SOCKET_LINE.search, listing.splitlines())
    return {
        f'{match[1]} {match[2]}': int(match[4]) + int(match[5] or 0)
        for match in matches
        if match and int(match[3]) == process_id
    }
