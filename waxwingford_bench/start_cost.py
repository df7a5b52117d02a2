"""Cost of a start of the scheduler daemon, in processor time and modules.

``python -m waxwingford_bench.start_cost --repeats 5``

Each figure is the median over processes that import modules and then end.
"""

import argparse
import os
import pathlib
import re
import statistics
import subprocess
import sys
from typing import NamedTuple

from waxwingford.scheduler._daemon import OWNER_MODULES

ROOT = pathlib.Path(__file__).resolve().parent.parent
#: Modules that are imported before a daemon serves callers.
SERVING_MODULES = (
    'waxwingford.scheduler.main',
    'waxwingford.scheduler._daemon',
    'waxwingford.platform',
)
_US_PER_MS = 1000
_MS_PER_S = 1000
_IMPORT_LINE = re.compile(r'import time:\s+(\d+) \|\s+(\d+) \|\s+(\S+)')
_PROBE = """
import resource, sys
before = set(sys.modules)
import {modules}
usage = resource.getrusage(resource.RUSAGE_SELF)
print(usage.ru_utime + usage.ru_stime, *sorted(set(sys.modules) - before))
"""


class StartCost(NamedTuple):
    """Cost of a process that has imported modules.

    :ivar cpu_ms: its processor time with that of the interpreter, in ms.
    :ivar modules: modules that were imported, without those that the
        interpreter imports for itself.
    """

    cpu_ms: float
    modules: frozenset[str]


class ImportCost(NamedTuple):
    """Cost of one module.

    :ivar own_ms: time for the module alone, in ms.
    :ivar total_ms: time with the modules that it was first to import, in ms.
    """

    module: str
    own_ms: float
    total_ms: float


def measure_start(modules: tuple[str, ...]) -> StartCost:
    """Import modules in a new process.

    :param modules: dotted names.
    """
    probe = _PROBE.format(modules=', '.join(modules))
    seconds, *imported = _run('-c', probe).stdout.split()
    return StartCost(float(seconds) * _MS_PER_S, frozenset(imported))


def measure_imports(modules: tuple[str, ...]) -> tuple[ImportCost, ...]:
    """Measure each module that is imported with others in a new process.

    :param modules: dotted names.
    :returns: costs, the most expensive first.
    """
    statement = f'import {", ".join(modules)}'
    report = _run('-X', 'importtime', '-c', statement).stderr
    costs = (
        ImportCost(name, int(own) / _US_PER_MS, int(total) / _US_PER_MS)
        for own, total, name in _IMPORT_LINE.findall(report)
    )
    return tuple(sorted(costs, key=lambda cost: -cost.own_ms))


def _run(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        (sys.executable, '-P', *arguments),
        capture_output=True,
        check=True,
        env={**os.environ, 'PYTHONPATH': str(ROOT)},
        text=True,
    )


def _print_start(label: str, modules: tuple[str, ...], repeats: int) -> None:
    starts = [measure_start(modules) for _ in range(repeats)]
    cpu_ms = statistics.median(start.cpu_ms for start in starts)
    count = len(starts[0].modules)
    sys.stdout.write(f'{label:28}{cpu_ms:8.0f} ms {count:6} modules\n')


def main(argv: list[str] | None = None) -> int:
    """Print the cost of a start, and the most expensive imports.

    :param argv: arguments; those of the process by default.
    :returns: exit code.
    """
    parser = argparse.ArgumentParser(
        prog='python -m waxwingford_bench.start_cost', description=__doc__
    )
    parser.add_argument('--repeats', type=int, default=5)
    parser.add_argument('--imports', type=int, default=15)
    options = parser.parse_args(argv)
    _print_start('interpreter', ('sys',), options.repeats)
    _print_start('until it serves', SERVING_MODULES, options.repeats)
    _print_start(
        'until it can own a shard',
        SERVING_MODULES + OWNER_MODULES,
        options.repeats,
    )
    sys.stdout.write('\nmost expensive imports, alone and with others, ms\n')
    for cost in measure_imports(SERVING_MODULES)[: options.imports]:
        sys.stdout.write(
            f'{cost.module:44}{cost.own_ms:8.1f}{cost.total_ms:8.1f}\n'
        )
    return 0


if __name__ == '__main__':
    sys.exit(main())
