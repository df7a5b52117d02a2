"""Measures the control cost of a daemon process for docs/CAPACITY.md.

Starts a failure domain of daemons and simulated backend servers at several
sizes, without callers, and reads processor time, memory and TCP bytes of one
daemon from the operating system.  Run it on an otherwise idle machine::

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

DEPLOYMENT_DIRECTORY = (
    pathlib.Path(__file__).resolve().parents[2] / 'deployments' / 'qadri'
)
_KIB = 1024
_WARM_UP_S = 8
_POLL_S = 0.25
_SETTLE_TIMEOUT_S = 60


class Row(NamedTuple):
    """Cost of one daemon at one size.

    :ivar size: size of the failure domain.
    :ivar held: number of backend servers that the measured daemon held.
    :ivar cpu_ms_per_s: processor time per second, in milliseconds.
    :ivar control_kib_per_s: TCP payload in both directions, in KiB per second.
    :ivar resident_mib: resident memory, in MiB.
    """

    size: Size
    held: int
    cpu_ms_per_s: float
    control_kib_per_s: float
    resident_mib: float


def main(argv: Sequence[str] | None = None) -> None:
    """Run the selected measurements; print the table and the fitted slopes.

    :param argv: arguments; those of the process by default.
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
            _format_table(role, rows) for role, rows in rows_by_role.items()
        )
    )
    sys.stdout.write(text)
    if options.output:
        options.output.write_text(json.dumps(rows_by_role, indent=1))


def _format_table(role: str, rows: Sequence[Row]) -> list[str]:
    head = (
        f'\n{role}\n\n'
        '| daemons | servers | tasks a server | held | processor ms/s '
        '| control KiB/s | resident MiB |\n|---|---|---|---|---|---|---|\n'
    )
    body = [
        f'| {row.size.daemons} | {row.size.servers} | {row.size.tasks} '
        f'| {row.held} | {row.cpu_ms_per_s:.2f} '
        f'| {row.control_kib_per_s:.2f} | {row.resident_mib:.1f} |\n'
        for row in rows
    ]
    return [head, *body, _format_slopes(rows)]


def _format_slopes(rows: Sequence[Row]) -> str:
    sizes = [_varying_size(rows, row) for row in rows]
    fits = [
        statistics.linear_regression(sizes, [row[field] for row in rows])
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


def _varying_size(rows: Sequence[Row], row: Row) -> int:
    first, last = rows[0].size, rows[-1].size
    field = next(
        index
        for index, (low, high) in enumerate(zip(first, last, strict=True))
        if low != high
    )
    return row.size[field]


async def _measure(size: Size, seconds: float) -> Row:
    with tempfile.TemporaryDirectory() as directory:
        bundle = open_bundle(DEPLOYMENT_DIRECTORY / 'bundle.toml')
        if isinstance(bundle, str):
            sys.exit(bundle)
        local_run = LocalRun(
            make_deployment(size),
            bundle,
            pathlib.Path(directory),
            _log_progress,
        )
        try:
            return await _measure_run(local_run, size, seconds)
        finally:
            await local_run.stop()


async def _measure_run(local_run: LocalRun, size: Size, seconds: float) -> Row:
    started = await local_run.start()
    if isinstance(started, StartFailed):
        sys.exit(started.reason)
    if size.tasks:
        await Night(local_run, 'capacity').run()
    daemon = local_run.layout.daemons[0]
    held = await _wait_until_settled(local_run, daemon.url, size)
    await asyncio.sleep(_WARM_UP_S)
    process_id = local_run.processes.process_by_name[daemon.daemon_id].pid
    before = read_process(process_id)
    await asyncio.sleep(seconds)
    after = read_process(process_id)
    transferred = sum(
        count - before.bytes_by_socket.get(socket, 0)
        for socket, count in after.bytes_by_socket.items()
    )
    row = Row(
        size,
        held,
        (after.cpu_ms - before.cpu_ms) / seconds,
        transferred / _KIB / seconds,
        after.resident_mib,
    )
    _log_progress(str(row))
    return row


async def _wait_until_settled(local_run: LocalRun, url: str, size: Size) -> int:
    """Wait until the daemon holds its share of servers and all tasks run.

    :param local_run: running processes.
    :param url: base URL of the measured daemon.
    :param size: size of the failure domain.
    :returns: number of servers that the daemon holds.
    """
    wanted = size.tasks * size.servers
    for _ in range(int(_SETTLE_TIMEOUT_S / _POLL_S)):
        _, text = await local_run.switches.get(f'{url}/v1/status')
        status = json.loads(text)
        held = len(status['servers'])
        has_idle_daemons = size.servers < size.daemons
        holds_enough = (
            has_idle_daemons or held * size.daemons >= size.servers / 2
        )
        if holds_enough and status['jobs']['running'] >= wanted:
            return held
        await asyncio.sleep(_POLL_S)
    sys.exit(f'daemon did not settle before the timeout: {text}')


def _log_progress(line: str) -> None:
    sys.stderr.write(f'{line}\n')


if __name__ == '__main__':
    main()
