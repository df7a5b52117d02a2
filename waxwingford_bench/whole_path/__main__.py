"""Measures end-to-end latencies of the deployment ``qadri``.

Runs eight daemons and 24 backend servers with the lease settings of production
and with the shorter ones of local runs::

    python -m waxwingford_bench.whole_path --output FILE
"""

import argparse
import asyncio
import json
import os
import pathlib
import sys
from collections.abc import Awaitable, Callable, Iterable, Sequence
from typing import NamedTuple

from waxwingford_bench.whole_path import batch, control, requests
from waxwingford_bench.whole_path.fleet import LEASES_BY_NAME, Fleet, run_fleet
from waxwingford_bench.whole_path.rows import (
    MeasurementFailed,
    Row,
    round_samples,
)

_SHORT_SERVICE_MS = 1
_TABLE_HEADER = (
    '| case | leases | measured | samples | p50 | max |\n'
    '|---|---|---|---|---|---|\n'
)


class Case(NamedTuple):
    """One measurement.

    :ivar run: coroutine function that measures on a newly started fleet.
    :ivar median_ms: fixed response time of the service in milliseconds, or
        None for the distribution of the deployment.
    """

    run: Callable[[Fleet], Awaitable[list[Row]]]
    median_ms: float | None = None


CASE_BY_NAME = {
    'urgent-idle': Case(batch.urgent_idle),
    'urgent-shared': Case(batch.urgent_shared),
    'urgent-beside': Case(batch.urgent_with_short_batch),
    'urgent-long': Case(batch.urgent_with_long_batch),
    'bundle': Case(control.bundle),
    'bundle-from-peer': Case(control.bundle_from_peer),
    'start': Case(control.empty_start),
    'request': Case(requests.request_cost, _SHORT_SERVICE_MS),
    'death': Case(batch.daemon_crash),
    'planned-stop': Case(batch.planned_stop),
}


def main(argv: Sequence[str] | None = None) -> int:
    """Run the selected cases and print a table.

    :param argv: arguments; those of the process by default.
    :returns: 0, or 1 if a case failed.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--case', choices=sorted(CASE_BY_NAME))
    parser.add_argument('--leases', choices=sorted(LEASES_BY_NAME))
    parser.add_argument('--output', type=pathlib.Path)
    options = parser.parse_args(argv)
    cases = [options.case] if options.case else list(CASE_BY_NAME)
    leases = [options.leases] if options.leases else list(LEASES_BY_NAME)
    rows: list[Row] = []
    failed = 0
    sys.stdout.write(_TABLE_HEADER)
    for case in cases:
        for name in leases:
            measured = asyncio.run(_measure(case, name))
            failed += not measured
            rows.extend(measured)
            _print_rows(measured)
    if options.output:
        options.output.write_text(json.dumps(_encode_rows(rows), indent=1))
    return 1 if failed else 0


async def _measure(case: str, leases: str) -> list[Row]:
    chosen = CASE_BY_NAME[case]
    loads = ', '.join(f'{load:.1f}' for load in os.getloadavg())
    _log_progress(f'{case}, {leases} leases; load averages {loads}')
    try:
        async with run_fleet(leases, _log_progress, chosen.median_ms) as fleet:
            return await chosen.run(fleet)
    except MeasurementFailed as error:
        _log_progress(f'{case}, {leases} leases: measurement failed: {error}')
        return []


def _print_rows(rows: Iterable[Row]) -> None:
    sys.stdout.writelines(f'{row.format_line()}\n' for row in rows)
    sys.stdout.flush()


def _encode_rows(rows: Iterable[Row]) -> list[dict[str, object]]:
    return [
        row._asdict() | {'samples': round_samples(row.samples)} for row in rows
    ]


def _log_progress(line: str) -> None:
    sys.stderr.write(f'{line}\n')


if __name__ == '__main__':
    sys.exit(main())
