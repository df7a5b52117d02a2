"""Matrix of benchmark runs, executed in a pool of processes."""

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
#: Prefix in the name of a learned policy with one mechanism disabled.
ABLATION_PREFIX = 'learned without '
_ATTRIBUTION = 'attribution'
#: Seeds used to tune the constants of the learned policy.
TUNING_SEEDS = (1, 2, 3, 4)
REPORTING_SEEDS = (101, 102, 103, 104, 105)
#: Scenarios in which each mechanism is disabled in turn.
_ABLATION_SCENARIOS = ('load_shift', 'lag_30s')


class Run(NamedTuple):
    """Parameters of one run.

    :ivar deployment: emulated deployment.
    :ivar scenario: conditions of the run.
    :ivar policy: registered name, or the name of an ablation.
    :ivar seed: seed of interference, jobs and noise.
    """

    deployment: Deployment
    scenario: Scenario
    policy: str
    seed: int


class Outcome(NamedTuple):
    """Figures of one run.

    :ivar run: parameters of the run.
    :ivar figures: measured figures.
    """

    run: Run
    figures: Figures


def list_runs(seeds: Iterable[int], quick: bool, ablations: bool) -> list[Run]:
    """List the runs of the report.

    :param seeds: reporting seeds.
    :param quick: whether to run one scenario per deployment, no ablations.
    :param ablations: whether to disable each mechanism in turn as well.
    :returns: parameters of each run.
    """
    scenarios = SCENARIOS[1:2] if quick else SCENARIOS
    names = (LEARNED, *BASELINES)
    runs = list(itertools.product(DEPLOYMENTS, scenarios, names, seeds))
    if ablations and not quick:
        ablation_scenarios = [
            entry for entry in SCENARIOS if entry.name in _ABLATION_SCENARIOS
        ]
        mechanism_names = (_ATTRIBUTION, *Mechanisms._fields)
        ablated_policies = [
            f'{ABLATION_PREFIX}{name}' for name in mechanism_names
        ]
        runs += itertools.product(
            DEPLOYMENTS, ablation_scenarios, ablated_policies, seeds
        )
    return list(itertools.starmap(Run, runs))


def run_all(runs: list[Run], processes: int) -> list[Outcome]:
    """Execute runs in parallel.

    :param runs: runs to execute.
    :param processes: number of worker processes.
    :returns: outcomes in the order of the runs.
    """
    # Forked workers would inherit the state of random generators and
    # libraries.
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
    if not name.startswith(ABLATION_PREFIX):
        return policies.get(name)
    mechanism = name.removeprefix(ABLATION_PREFIX)
    if mechanism == _ATTRIBUTION:
        return ArrivalAttribution
    off = {mechanism: False}
    mechanisms = Mechanisms()._replace(**off)
    return functools.partial(LearnedPolicy, mechanisms=mechanisms)
