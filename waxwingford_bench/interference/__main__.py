"""Compares ways to decide on emulated days, paired by seed.

A way is a list of settings such as ``waxwingford.scheduling._admission.CROWDED_SHARE=1``,
each of which replaces a constant of the module that uses it, or names of features of
``waxwingford.scheduling.Features``, which it switches on.
"""

import argparse
import math
import statistics
import sys

from waxwingford_bench.interference._experiment import (
    Day,
    parse_setting,
    play_all,
)
from waxwingford_bench.interference._trial import DayWorth
from waxwingford_bench.interference._workload import (
    OVERLOAD,
    WORKLOAD_BY_NAME,
)

#: Standard errors of a 95% confidence interval.
_INTERVAL_ERRORS = 1.96
#: Time in which jobs arrive, in seconds.
SPAN_S = 34


def _summarise(worths: list[DayWorth]) -> str:
    means = (statistics.fmean(figures) for figures in zip(*worths, strict=True))
    return '  '.join(
        f'{name} {mean:.3f}'
        for name, mean in zip(DayWorth._fields, means, strict=True)
    )


def _difference(before: list[DayWorth], after: list[DayWorth]) -> str:
    changes = [
        new.total - old.total for old, new in zip(before, after, strict=True)
    ]
    error: float = 0
    if len(changes) > 1:
        error = statistics.stdev(changes) / math.sqrt(len(changes))
    half = _INTERVAL_ERRORS * error
    return f'{statistics.fmean(changes):+.3f} (95%: +-{half:.3f})'


def main() -> None:
    """Play the ways and print their worth, and differences from the first."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=8)
    parser.add_argument('--jobs', type=int, default=3)
    parser.add_argument('--servers', type=int, default=OVERLOAD.servers)
    parser.add_argument(
        '--workload', choices=sorted(WORKLOAD_BY_NAME), default='overload'
    )
    parser.add_argument('--span', type=int, default=SPAN_S)
    parser.add_argument(
        '--way',
        action='append',
        nargs='+',
        type=parse_setting,
        default=[],
        metavar='MODULE.NAME=VALUE|FEATURE',
    )
    parser.add_argument(
        '--load',
        type=float,
        default=1,
        help='factor of the rate at which jobs arrive',
    )
    options = parser.parse_args()
    seeds = range(1, options.seeds + 1)
    day = Day(options.workload, options.servers, options.span, options.load)
    standing = play_all((), day, seeds, options.jobs)
    sys.stdout.write(f'as it stands: {_summarise(standing)}\n')
    for way in options.way:
        worths = play_all(tuple(way), day, seeds, options.jobs)
        names = ' '.join(f'{one.name}={one.given}' for one in way)
        sys.stdout.write(
            f'{names}: {_summarise(worths)}; {_difference(standing, worths)}\n'
        )
        sys.stdout.flush()


if __name__ == '__main__':
    main()
