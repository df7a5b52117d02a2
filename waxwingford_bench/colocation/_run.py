"""Simulation of one policy under one scenario and seed."""

import functools
import itertools
from collections.abc import Callable, Mapping
from typing import NamedTuple

import numpy as np

from waxwingford.placement import ColocationPolicy, PolicyWeights
from waxwingford_bench.colocation._counts import Counts
from waxwingford_bench.colocation._deployments import (
    DAEMONS,
    Deployment,
    Scenario,
)
from waxwingford_bench.colocation._faults import apply_fault, offered_load
from waxwingford_bench.colocation._scheduler import Domain
from waxwingford_bench.colocation._truth import draw_kinds
from waxwingford_bench.colocation._workload import Job, draw_jobs
from waxwingford_bench.colocation._world import World

DURATION_S = 600
#: Window over which each server is compared with its latency target.
_WINDOW_S = 10
_BIN_EDGES_MS = np.geomspace(1, 20_000, 2000)
_QUANTILES = (0.5, 0.99, 0.999)
#: Time between two decision rounds of a daemon.
DECISION_INTERVAL_S = 2

Factory = Callable[[Mapping[str, PolicyWeights], int], ColocationPolicy]


class Figures(NamedTuple):
    """Figures measured in one run.

    :ivar p50_ms: median response time of the service.
    :ivar p99_ms: 99th percentile over all servers and the whole run.
    :ivar p999_ms: 99.9th percentile of the same.
    :ivar over_share: share of 10 s server windows with p99 over the target.
    :ivar core_h: work of completed tasks, in core hours.
    :ivar lost_core_h: work discarded or repeated, in core hours.
    :ivar evictions: evicted attempts.
    :ivar throttles: throttle commands.
    :ivar refused: tasks refused, or stopped after failures.
    :ivar unfairness: largest divided by smallest of the members' ratios of
        completed work to submitted work, the latter capped at equal quota.
    :ivar violations: rejected placements that would over-commit a VM.
    """

    p50_ms: float
    p99_ms: float
    p999_ms: float
    over_share: float
    core_h: float
    lost_core_h: float
    evictions: int
    throttles: int
    refused: int
    unfairness: float
    violations: int


class _ResponseTimes:
    """Histogram of response times and share of windows over target."""

    def __init__(self, target_ms: float) -> None:
        self._target_ms = target_ms
        self._counts = np.zeros(len(_BIN_EDGES_MS) + 1, np.int64)
        self._window: list[np.ndarray] = []
        self._over = 0
        self._windows = 0

    def add(self, times: np.ndarray) -> None:
        self._window.append(times)
        if len(self._window) < _WINDOW_S:
            return
        window = np.concatenate(self._window, axis=1)
        self._window = []
        # Excludes servers that were down during part of the window.
        window = window[~np.isnan(window).any(axis=1)]
        p99s = np.percentile(window, 99, axis=1)
        self._over += int((p99s > self._target_ms).sum())
        self._windows += len(p99s)
        bins = np.searchsorted(_BIN_EDGES_MS, window.ravel())
        self._counts += np.bincount(bins, minlength=len(self._counts))

    def quantile_ms(self, share: float) -> float:
        total = np.cumsum(self._counts)
        index = int(np.searchsorted(total, share * total[-1]))
        return float(_BIN_EDGES_MS[min(index, len(_BIN_EDGES_MS) - 1)])

    @property
    def over_share(self) -> float:
        return self._over / max(self._windows, 1)


class _Run:
    """State of one run in virtual time."""

    def __init__(
        self,
        deployment: Deployment,
        scenario: Scenario,
        factory: Factory,
        seed: int,
        duration_s: int,
    ) -> None:
        self._duration_s = duration_s
        kinds = draw_kinds(np.random.default_rng([seed, 1]))
        self.jobs = draw_jobs(
            deployment,
            scenario.fault,
            kinds,
            duration_s,
            np.random.default_rng([seed, 2]),
        )
        self.counts = Counts()
        self.response_times = _ResponseTimes(deployment.weights.target_p99_ms)
        self._scenario = scenario
        self._future_jobs = list(reversed(self.jobs))
        noise = np.random.default_rng([seed, 3])
        self._world = World(deployment, scenario, kinds, noise)
        self.domains = [
            self._make_domain(domain_index, deployment, factory, seed)
            for domain_index in range(deployment.domains)
        ]

    def step(self, now_s: int) -> None:
        self._submit(now_s)
        offered = offered_load(self._scenario, now_s, self._duration_s)
        times, ended = self._world.step(offered, now_s)
        self.response_times.add(times)
        lost = apply_fault(
            self._scenario.fault,
            now_s / self._duration_s,
            self._world,
            self.domains,
            self.jobs,
        )
        for end in itertools.chain(ended, lost):
            domain_index = end.server * len(self.domains) // len(self._world.up)
            self.domains[domain_index].handle_end(end, now_s)
        samples = self._world.take_arrived_samples(now_s)
        for domain in self.domains:
            domain.observe(samples, now_s)
            if now_s % DECISION_INTERVAL_S == 0:
                domain.decide(now_s)

    def _submit(self, now_s: int) -> None:
        while self._future_jobs and self._future_jobs[-1].submit_s < now_s:
            job = self._future_jobs.pop()
            for task in job.tasks:
                self.domains[job.domain].submit(task, now_s)

    def _make_domain(
        self,
        domain_index: int,
        deployment: Deployment,
        factory: Factory,
        seed: int,
    ) -> Domain:
        weights = {deployment.service: deployment.weights}
        size = deployment.servers // deployment.domains
        policy_factories = [
            functools.partial(
                _make_policy, factory, weights, seed * 1000 + daemon
            )
            for daemon in range(domain_index, DAEMONS, deployment.domains)
        ]
        servers = list(range(domain_index * size, (domain_index + 1) * size))
        return Domain(
            deployment, self._world, servers, policy_factories, self.counts
        )


def _make_policy(
    factory: Factory,
    weights: Mapping[str, PolicyWeights],
    seed: int,
    generation: int,
) -> ColocationPolicy:
    return factory(weights, seed + 100 * generation)


def run_once(
    deployment: Deployment,
    scenario: Scenario,
    factory: Factory,
    seed: int,
    duration_s: int = DURATION_S,
) -> Figures:
    """Simulate a policy in virtual time.

    :param deployment: emulated deployment.
    :param scenario: conditions of the run.
    :param factory: creates the policy of each daemon.
    :param seed: seed of interference, jobs and noise.
    :param duration_s: length of the run, in seconds.
    :returns: figures of the run.
    """
    run = _Run(deployment, scenario, factory, seed, duration_s)
    for second in range(duration_s):
        run.step(second + 1)
    return _make_figures(run.response_times, run.counts, run.domains, run.jobs)


def _make_figures(
    response_times: _ResponseTimes,
    counts: Counts,
    domains: list[Domain],
    jobs: list[Job],
) -> Figures:
    submitted_work: dict[str, float] = {}
    for task in itertools.chain.from_iterable(job.tasks for job in jobs):
        submitted_work[task.member] = (
            submitted_work.get(task.member, 0) + task.cores * task.run_s
        )
    quota = sum(submitted_work.values()) / len(submitted_work)
    shares = [
        counts.done_by_member.get(member, 0) / min(work, quota)
        for member, work in submitted_work.items()
    ]
    return Figures(
        *(response_times.quantile_ms(share) for share in _QUANTILES),
        response_times.over_share,
        counts.done_core_s / 3600,
        counts.lost_core_s / 3600,
        counts.evictions,
        counts.throttles,
        counts.refused,
        max(shares) / max(min(shares), 1e-9),
        sum(domain.violations for domain in domains),
    )
