"""Sub-command ``colocation``: compares policies under faults."""

import argparse
import pathlib
import sys

from waxwingford_bench.colocation._matrix import (
    REPORTING_SEEDS,
    list_runs,
    run_all,
)
from waxwingford_bench.colocation._plots import draw
from waxwingford_bench.colocation._report import group, write_report


def main(argv: list[str]) -> int:
    """Run the benchmark and write its report.

    :param argv: arguments after the name of the sub-command.
    :returns: exit code.
    """
    options = _parser().parse_args(argv)
    output = pathlib.Path(options.output)
    output.mkdir(parents=True, exist_ok=True)
    seeds = options.seeds[:2] if options.quick else options.seeds
    runs = list_runs(seeds, options.quick, options.ablations)
    cells = group(run_all(runs, options.processes))
    sys.stdout.write(write_report(cells, seeds, output))
    sys.stdout.writelines(f'{path}\n' for path in draw(cells, output))
    return 0


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser('waxwingford-bench colocation')
    parser.add_argument(
        '--seeds',
        type=int,
        nargs='+',
        default=list(REPORTING_SEEDS),
        help='reporting seeds, distinct from the tuning seeds',
    )
    parser.add_argument(
        '--quick',
        action='store_true',
        help='one scenario, two seeds, no ablations',
    )
    parser.add_argument(
        '--no-ablations',
        dest='ablations',
        action='store_false',
        help='do not run ablations',
    )
    parser.add_argument('--processes', type=int, default=4)
    parser.add_argument('--output', default='bench-output')
    return parser
