"""Long randomised runs of a virtual failure domain, with all faults.

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

_CALM_MS = 5000
_MOST_CALM_STEPS = 240
_MS_IN_S = 1000
#: Importing the faults registers them.
FAULTS = virtual_faults


def random_settings(settings: BatchSettings) -> BatchSettings:
    """Let snapshots come often, so that runs meet them.

    :param settings: of a daemon.
    :returns: settings for randomised runs.
    """
    return settings._replace(snapshot_entries=40, snapshot_ms=20_000)


def act(run: Run, action: Action) -> None:
    """Carry out one action and let the oracle look.

    :param run: what to act on.
    :param action: the action.
    :raises Violation: if something runs that must not.
    """
    action(run)
    run.domain.check()


def finish(run: Run) -> None:
    """End all faults and let everything finish.

    :param run: what to act on.
    :raises Violation: if something is lost or does not finish.
    """
    domain = run.domain
    domain.heal()
    for _ in range(_MOST_CALM_STEPS):
        domain.run(_CALM_MS)
        if not domain.fold.jobs_by_id:
            break
    domain.run(_CALM_MS)
    domain.oracle.check_finished(domain.fold)


def play(seed: int, steps: int, trace: Callable[[str], None]) -> VirtualDomain:
    """Carry out random actions, then let everything finish.

    :param seed: decides everything.
    :param steps: actions.
    :param trace: hears each action.
    :returns: the domain at the end.
    :raises Violation: if something ran that must not.
    """
    run = Run(VirtualDomain(seed, settings=random_settings))
    run.domain.run(_CALM_MS)
    actions = list(weight_by_action)
    weights = list(weight_by_action.values())
    chooser = random.Random(seed)
    for action in chooser.choices(actions, weights, k=steps):
        trace(f'{run.domain.now_ms} {action.__name__}')
        act(run, action)
    finish(run)
    return run.domain


def describe(domain: VirtualDomain) -> str:
    """Sum a run up.

    :param domain: at the end.
    :returns: one line.
    """
    outcomes = collections.Counter(
        type(outcome).__name__
        for outcome in domain.oracle.outcome_by_id.values()
    )
    return (
        f'{domain.now_ms // _MS_IN_S} s virtual, '
        f'{domain.oracle.starts} starts, '
        f'{domain.oracle.evictions} checkpoints, replies {dict(outcomes)}'
    )


def main() -> None:
    """Run seeds one after the other and print what they met."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--runs', type=int, default=1)
    parser.add_argument('--steps', type=int, default=300)
    parser.add_argument('--trace', action='store_true')
    options = parser.parse_args()
    for seed in range(options.seed, options.seed + options.runs):
        trace = _write_line if options.trace else _be_silent
        domain = play(seed, options.steps, trace)
        _write_line(f'seed {seed}: {describe(domain)}')


def _write_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')


def _be_silent(line: str) -> None:
    """Drop a line.

    :param line: what would be printed.
    """


if __name__ == '__main__':
    main()
