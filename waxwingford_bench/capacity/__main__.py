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
import pathlib
import statistics
import sys
import tempfile
from collections.abc import Sequence
from typing import NamedTuple

from waxwingford_bench.capacity.sizes import (
    SIZES_BY_ROLE,
    Size,
    make_deployment,
)
from waxwingford_bench.process_cost import read_process
from waxwingford_standins.local_run import LocalRun, StartFailed, open_bundle
from waxwingford_standins.night import Night

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_BUNDLE = _ROOT / 'deployments' / 'qadri' / 'bundle.toml'
_KIB = 1024
_SETTLE_S = 8
_POLL_S = 0.25
_RUNNING_CAP_S = 60


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
            make_deployment(size), bundle, pathlib.Path(directory), _say
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


def _say(line: str) -> None:
    sys.stderr.write(f'{line}\n')


if __name__ == '__main__':
    main()
