"""All runs of a report, spread over processes."""

import functools
import itertools
import multiprocessing
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from waxwingford.colocation import LearnedPolicy, Mechanisms
from waxwingford.kernel import load_plugins
from waxwingford.placement import ColocationPolicy, PolicyWeights, policies
from waxwingford_bench.colocation._ablations import ArrivalAttribution
from waxwingford_bench.colocation._deployments import (
    DEPLOYMENTS,
    SCENARIOS,
    Deployment,
    Scenario,
)
from waxwingford_bench.colocation._run import Figures, run_once

BASELINES = ('random', 'least_loaded', 'best_fit', 'evict_at_once')
LEARNED = 'learned'
#: Marks a learned policy with one mechanism off.
WITHOUT = 'learned without '
_ATTRIBUTION = 'attribution'
#: Seeds that the policy's constants were chosen with.
TUNING_SEEDS = (1, 2, 3, 4)
REPORTING_SEEDS = (101, 102, 103, 104, 105)
#: Scenarios in which mechanisms are switched off one by one.
_ABLATED = ('load_shift', 'lag_30s')


class Run(NamedTuple):
    """What is run.

    :ivar deployment: whose machines.
    :ivar scenario: conditions.
    :ivar policy: registered name, or a learned one without a mechanism.
    :ivar seed: of truth, work and noise.
    """

    deployment: Deployment
    scenario: Scenario
    policy: str
    seed: int


class Outcome(NamedTuple):
    """What a run gave.

    :ivar run: which.
    :ivar figures: what was measured.
    """

    run: Run
    figures: Figures


def plan(seeds: Iterable[int], quick: bool, ablations: bool) -> list[Run]:
    """List all runs.

    :param seeds: reporting seeds.
    :param quick: only one scenario of each deployment and no ablations.
    :param ablations: whether mechanisms are switched off one by one.
    :returns: runs.
    """
    scenarios = SCENARIOS[1:2] if quick else SCENARIOS
    names = (LEARNED, *BASELINES)
    runs = list(itertools.product(DEPLOYMENTS, scenarios, names, seeds))
    if ablations and not quick:
        ablated = [entry for entry in SCENARIOS if entry.name in _ABLATED]
        switched = (_ATTRIBUTION, *Mechanisms._fields)
        without = [f'{WITHOUT}{name}' for name in switched]
        runs += itertools.product(DEPLOYMENTS, ablated, without, seeds)
    return list(itertools.starmap(Run, runs))


def run_all(runs: list[Run], processes: int) -> list[Outcome]:
    """Run everything.

    :param runs: what to run.
    :param processes: how many at once.
    :returns: outcomes in the order of the runs.
    """
    # Started afresh, not forked: forked children would share the state of
    # this process's random numbers and libraries.
    context = multiprocessing.get_context('spawn')
    with context.Pool(processes) as pool:
        return pool.map(_run, runs, chunksize=4)


def _run(run: Run) -> Outcome:
    load_plugins(['waxwingford.colocation'])
    return Outcome(
        run,
        run_once(run.deployment, run.scenario, _factory(run.policy), run.seed),
    )


def _factory(
    name: str,
) -> Callable[[Mapping[str, PolicyWeights], int], ColocationPolicy]:
    if not name.startswith(WITHOUT):
        return policies.get(name)
    mechanism = name.removeprefix(WITHOUT)
    if mechanism == _ATTRIBUTION:
        return ArrivalAttribution
    off = {mechanism: False}
    mechanisms = Mechanisms()._replace(**off)
    return functools.partial(LearnedPolicy, mechanisms=mechanisms)
