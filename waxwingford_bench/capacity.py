"""Slopes of a real daemon's control cost, for docs/CAPACITY.md.

Starts one failure domain of stand-ins and daemons at several sizes, lets it
settle without callers, and reads processor time, memory and bytes of one
daemon process from the operating system.  Run it with nothing else running::

    python -m waxwingford_bench.capacity --output FILE
"""

import argparse
import asyncio
import itertools
import json
import os
import pathlib
import re
import statistics
import subprocess  # noqa: S404
import sys
import tempfile
from collections.abc import Sequence
from typing import NamedTuple

from waxwingford_standins.deployment import (
    Deployment,
    DomainPlan,
    JobPlan,
    NetworkPlan,
    ServerPlan,
    ServicePlan,
)
from waxwingford_standins.local_run import LocalRun, StartFailed, open_bundle
from waxwingford_standins.night import Night

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_BUNDLE = _ROOT / 'deployments' / 'qadri' / 'bundle.toml'
_DOMAIN = 'gulberg'
_MS_IN_S = 1000
_KIB = 1024
_SETTLE_S = 8
_POLL_S = 0.25
_RUNNING_CAP_S = 60
_TICKS_IN_S = os.sysconf('SC_CLK_TCK')
_LONG_RUN_MS = 3_600_000
_RACK = 24
_SOCKET = re.compile(
    r'(\S+:\d+)\s+(\S+:\d+).*?pid=(\d+),'
    r'.*?bytes_sent:(\d+)(?:.*?bytes_received:(\d+))?'
)


class Size(NamedTuple):
    """One size to measure.

    :ivar daemons: daemons of the failure domain.
    :ivar servers: backend servers of the failure domain.
    :ivar tasks: batch tasks running on each server.
    """

    daemons: int
    servers: int
    tasks: int


class Reading(NamedTuple):
    """What the operating system says of a process.

    :ivar processor_ms: processor time since its start, in milliseconds.
    :ivar resident_mb: resident memory, in mebibytes.
    :ivar bytes_by_socket: bytes sent and received, by open TCP socket.
    """

    processor_ms: float
    resident_mb: float
    bytes_by_socket: dict[str, int]


class Row(NamedTuple):
    """Cost of one daemon at one size.

    :ivar size: the size.
    :ivar held: backend servers that the measured daemon held.
    :ivar processor_ms_per_s: processor time a second, in milliseconds.
    :ivar control_kb_per_s: TCP payload in both directions, KiB a second.
    :ivar resident_mb: memory, in mebibytes.
    """

    size: Size
    held: int
    processor_ms_per_s: float
    control_kb_per_s: float
    resident_mb: float


#: Sizes by role: only one number changes within a role.
SIZES_BY_ROLE: dict[str, tuple[Size, ...]] = {
    'heartbeats, by daemons': (
        Size(2, 1, 0),
        Size(4, 1, 0),
        Size(8, 1, 0),
    ),
    'holder, by servers without tasks': (
        Size(1, 8, 0),
        Size(1, 24, 0),
        Size(1, 72, 0),
    ),
    'holder, by servers with 4 tasks each': (
        Size(1, 8, 4),
        Size(1, 24, 4),
        Size(1, 72, 4),
    ),
    'holder of 24 servers, by tasks on each': (
        Size(1, 24, 2),
        Size(1, 24, 8),
        Size(1, 24, 16),
    ),
}


def main(argv: Sequence[str] | None = None) -> None:
    """Measure all roles and print rows and slopes.

    :param argv: arguments, those of the process by default.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=15)
    parser.add_argument('--role', choices=sorted(SIZES_BY_ROLE))
    parser.add_argument('--output', type=pathlib.Path)
    options = parser.parse_args(argv)
    roles = [options.role] if options.role else list(SIZES_BY_ROLE)
    rows_by_role = {
        role: [
            asyncio.run(_measure(size, options.seconds))
            for size in SIZES_BY_ROLE[role]
        ]
        for role in roles
    }
    text = ''.join(
        itertools.chain.from_iterable(
            _lines(role, rows) for role, rows in rows_by_role.items()
        )
    )
    sys.stdout.write(text)
    if options.output:
        options.output.write_text(json.dumps(rows_by_role, indent=1))


def _lines(role: str, rows: Sequence[Row]) -> list[str]:
    head = (
        f'\n{role}\n\n'
        '| daemons | servers | tasks a server | held | processor ms/s '
        '| control KiB/s | resident MiB |\n|---|---|---|---|---|---|---|\n'
    )
    body = [
        f'| {row.size.daemons} | {row.size.servers} | {row.size.tasks} '
        f'| {row.held} | {row.processor_ms_per_s:.2f} '
        f'| {row.control_kb_per_s:.2f} | {row.resident_mb:.1f} |\n'
        for row in rows
    ]
    return [head, *body, _slopes(rows)]


def _slopes(rows: Sequence[Row]) -> str:
    numbers = [_varying(rows, row) for row in rows]
    fits = [
        statistics.linear_regression(numbers, [row[field] for row in rows])
        for field in (2, 3, 4)
    ]
    return (
        '\nslope (per unit) and intercept: '
        + '; '.join(
            f'{name} {fit.slope:.4f}, {fit.intercept:.2f}'
            for name, fit in zip(
                ('processor ms/s', 'control KiB/s', 'resident MiB'),
                fits,
                strict=True,
            )
        )
        + '\n'
    )


def _varying(rows: Sequence[Row], row: Row) -> int:
    first, last = rows[0].size, rows[-1].size
    field = next(
        place
        for place, (low, high) in enumerate(zip(first, last, strict=True))
        if low != high
    )
    return row.size[field]


async def _measure(size: Size, seconds: float) -> Row:
    with tempfile.TemporaryDirectory() as directory:
        bundle = open_bundle(_BUNDLE)
        if isinstance(bundle, str):
            sys.exit(bundle)
        local_run = LocalRun(
            _deployment(size), bundle, pathlib.Path(directory), _say
        )
        try:
            return await _measured(local_run, size, seconds)
        finally:
            await local_run.stop()


async def _measured(local_run: LocalRun, size: Size, seconds: float) -> Row:
    started = await local_run.start()
    if isinstance(started, StartFailed):
        sys.exit(started.reason)
    if size.tasks:
        await Night(local_run, 'capacity').run()
    daemon = local_run.layout.daemons[0]
    held = await _settled(local_run, daemon.url, size)
    await asyncio.sleep(_SETTLE_S)
    process_id = local_run.processes.process_by_name[daemon.daemon_id].pid
    before = read_process(process_id)
    await asyncio.sleep(seconds)
    after = read_process(process_id)
    moved = sum(
        count - before.bytes_by_socket.get(socket, 0)
        for socket, count in after.bytes_by_socket.items()
    )
    row = Row(
        size,
        held,
        (after.processor_ms - before.processor_ms) / seconds,
        moved / _KIB / seconds,
        after.resident_mb,
    )
    _say(str(row))
    return row


async def _settled(local_run: LocalRun, url: str, size: Size) -> int:
    """Wait until all servers are held and all tasks run.

    :param local_run: what runs.
    :param url: of the measured daemon.
    :param size: what should run.
    :returns: servers that the daemon holds.
    """
    wanted = size.tasks * size.servers
    for _ in range(int(_RUNNING_CAP_S / _POLL_S)):
        _, text = await local_run.switches.get(f'{url}/v1/status')
        status = json.loads(text)
        held = len(status['servers'])
        fewer = size.servers < size.daemons
        enough = fewer or held * size.daemons >= size.servers / 2
        if enough and status['jobs']['running'] >= wanted:
            return held
        await asyncio.sleep(_POLL_S)
    sys.exit(f'not settled: {text}')


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
    listing = subprocess.run(  # noqa: S603
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


def _deployment(size: Size) -> Deployment:
    racks = tuple(
        min(_RACK, size.servers - start)
        for start in range(0, size.servers, _RACK)
    )
    jobs = (
        JobPlan(
            name='steady',
            member='qadri',
            team='deposits',
            kind='checkout_comparison',
            tasks=size.tasks * size.servers,
            processors_milli=100,
            memory_mb=100,
            run_ms=_LONG_RUN_MS,
        ),
    )
    return Deployment(
        name='capacity',
        region='lahore',
        seed=1,
        failure_domains=(
            DomainPlan(
                name=_DOMAIN,
                daemons=tuple(f'cap-{index}' for index in range(size.daemons)),
                racks=racks,
            ),
        ),
        servers=ServerPlan(
            processors_milli=32_000,
            memory_mb=128_000,
            slots=8,
            connections=64,
        ),
        service=ServicePlan(
            name='report_desk',
            median_ms=60,
            sigma=0.4,
            slowdown_by_kind={'checkout_comparison': 0},
        ),
        network=NetworkPlan(between_domains_ms=1, client_ms=1),
        callers=(),
        jobs=jobs if size.tasks else (),
    )


def _say(line: str) -> None:
    sys.stderr.write(f'{line}\n')


if __name__ == '__main__':
    main()
