"""Randomised runs of a virtual failure domain with fault injection.

``python -m waxwingford_bench.random_run --seed 7 --steps 2000``
"""

import argparse
import collections
import random
import sys
from collections.abc import Callable

from waxwingford.batch import BatchSettings
from waxwingford_bench.virtual import faults as virtual_faults
from waxwingford_bench.virtual.actions import Action, Run, weight_by_action
from waxwingford_bench.virtual.domain import VirtualDomain

_SETTLE_MS = 5000
_MAX_DRAIN_STEPS = 240
_MS_PER_S = 1000
#: The import registers the fault actions.
FAULTS = virtual_faults


def random_settings(settings: BatchSettings) -> BatchSettings:
    """Shorten the snapshot interval so that runs restore from snapshots.

    :param settings: settings of a daemon.
    :returns: settings for randomised runs.
    """
    return settings._replace(snapshot_entries=40, snapshot_ms=20_000)


def act(run: Run, action: Action) -> None:
    """Perform one action and check the invariants of the oracle.

    :param run: state of the run.
    :param action: the action.
    :raises Violation: if an invariant does not hold.
    """
    action(run)
    run.domain.check()


def finish(run: Run) -> None:
    """End all faults and run until all jobs have ended.

    :param run: state of the run.
    :raises Violation: if a job is lost or does not end.
    """
    domain = run.domain
    domain.heal()
    for _ in range(_MAX_DRAIN_STEPS):
        domain.run(_SETTLE_MS)
        if not domain.fold.jobs_by_id:
            break
    domain.run(_SETTLE_MS)
    domain.oracle.check_finished(domain.fold)


def play(seed: int, steps: int, trace: Callable[[str], None]) -> VirtualDomain:
    """Perform random actions, then end all faults and drain the jobs.

    :param seed: seed of all random decisions.
    :param steps: number of actions.
    :param trace: called with the time and name of each action.
    :returns: the domain at the end of the run.
    :raises Violation: if an invariant does not hold.
    """
    run = Run(VirtualDomain(seed, settings=random_settings))
    run.domain.run(_SETTLE_MS)
    actions = list(weight_by_action)
    weights = list(weight_by_action.values())
    rng = random.Random(seed)
    for action in rng.choices(actions, weights, k=steps):
        trace(f'{run.domain.now_ms} {action.__name__}')
        act(run, action)
    finish(run)
    return run.domain


def describe(domain: VirtualDomain) -> str:
    """Summarise a run.

    :param domain: the domain at the end of the run.
    :returns: summary in one line.
    """
    outcomes = collections.Counter(
        type(outcome).__name__
        for outcome in domain.oracle.outcome_by_id.values()
    )
    return (
        f'{domain.now_ms // _MS_PER_S} s virtual, '
        f'{domain.oracle.starts} starts, '
        f'{domain.oracle.evictions} checkpoints, replies {dict(outcomes)}'
    )


def main() -> None:
    """Run consecutive seeds and print a summary of each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--runs', type=int, default=1)
    parser.add_argument('--steps', type=int, default=300)
    parser.add_argument('--trace', action='store_true')
    options = parser.parse_args()
    for seed in range(options.seed, options.seed + options.runs):
        trace = _print_line if options.trace else _ignore_line
        domain = play(seed, options.steps, trace)
        _print_line(f'seed {seed}: {describe(domain)}')


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')


def _ignore_line(line: str) -> None:
    """Ignore a line of the trace.

    :param line: the line.
    """


if __name__ == '__main__':
    main()
