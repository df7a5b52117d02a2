"""Measures whole paths over real processes of the deployment ``qadri``.

Eight daemons and 24 backend servers, once with the lease settings of
production and once with the shorter ones of local runs::

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
from waxwingford_bench.whole_path.fleet import LEASES_BY_NAME, Fleet, started
from waxwingford_bench.whole_path.rows import NotReached, Row, spread

_SHORT_SERVICE_MS = 1
_HEAD = (
    '| case | leases | measured | samples | p50 | max |\n'
    '|---|---|---|---|---|---|\n'
)


class Case(NamedTuple):
    """One measurement.

    :ivar run: measures on a fresh fleet.
    :ivar median_ms: fixed time of the service, None for the deployment's.
    """

    run: Callable[[Fleet], Awaitable[list[Row]]]
    median_ms: float | None = None


CASE_BY_NAME = {
    'urgent-idle': Case(batch.urgent_idle),
    'urgent-shared': Case(batch.urgent_shared),
    'urgent-beside': Case(batch.urgent_beside),
    'urgent-long': Case(batch.urgent_long),
    'bundle': Case(control.bundle),
    'bundle-from-peer': Case(control.bundle_from_peer),
    'start': Case(control.empty_start),
    'request': Case(requests.request_cost, _SHORT_SERVICE_MS),
    'death': Case(batch.death),
    'planned-stop': Case(batch.planned_stop),
}


def main(argv: Sequence[str] | None = None) -> int:
    """Measure and print a table.

    :param argv: arguments, those of the process by default.
    :returns: 0, or 1 if a case was not measured to its end.
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
    sys.stdout.write(_HEAD)
    for case in cases:
        for name in leases:
            measured = asyncio.run(_measure(case, name))
            failed += not measured
            rows.extend(measured)
            _print(measured)
    if options.output:
        options.output.write_text(json.dumps(_raw(rows), indent=1))
    return 1 if failed else 0


async def _measure(case: str, leases: str) -> list[Row]:
    chosen = CASE_BY_NAME[case]
    loads = ', '.join(f'{load:.1f}' for load in os.getloadavg())
    _say(f'{case}, {leases} leases; load averages {loads}')
    try:
        async with started(leases, _say, chosen.median_ms) as fleet:
            return await chosen.run(fleet)
    except NotReached as fault:
        _say(f'{case}, {leases} leases: not measured: {fault}')
        return []


def _print(rows: Iterable[Row]) -> None:
    sys.stdout.writelines(f'{row.line()}\n' for row in rows)
    sys.stdout.flush()


def _raw(rows: Iterable[Row]) -> list[dict[str, object]]:
    return [row._asdict() | {'samples': spread(row.samples)} for row in rows]


def _say(line: str) -> None:
    sys.stderr.write(f'{line}\n')


if __name__ == '__main__':
    sys.exit(main())
