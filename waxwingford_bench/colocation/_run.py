"""One run of one policy under one scenario and seed."""

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
from waxwingford_bench.colocation._faults import offered_load, strike
from waxwingford_bench.colocation._scheduler import Domain
from waxwingford_bench.colocation._truth import draw_kinds
from waxwingford_bench.colocation._workload import Job, draw_jobs
from waxwingford_bench.colocation._world import World

LENGTH_S = 600
#: Windows over which a server is or is not over its target.
_WINDOW_S = 10
_BIN_EDGES_MS = np.geomspace(1, 20_000, 2000)
_QUANTILES = (0.5, 0.99, 0.999)
#: Time between rounds of decisions of a daemon.
DECIDE_S = 2

Factory = Callable[[Mapping[str, PolicyWeights], int], ColocationPolicy]


class Figures(NamedTuple):
    """What one run measured.

    :ivar p50_ms: median response time of the service.
    :ivar p99_ms: 99th percentile over all servers and the whole run.
    :ivar p999_ms: 99.9th percentile.
    :ivar over_share: share of 10 s windows of servers over the target.
    :ivar core_h: batch work done to its end, core hours.
    :ivar lost_core_h: batch work done and not kept, core hours.
    :ivar evictions: attempts evicted.
    :ivar throttles: throttle commands.
    :ivar refused: tasks refused or given up.
    :ivar unfairness: largest by smallest share of members in work done
        against what they submitted, at most their equal quota.
    :ivar violations: decisions that would have over-committed a VM.
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


class _Tail:
    """Histogram of response times and share of time over target."""

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
        # A server that went down within the window has no complete figure.
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
        length_s: int,
    ) -> None:
        self._length_s = length_s
        kinds = draw_kinds(np.random.default_rng([seed, 1]))
        self.jobs = draw_jobs(
            deployment,
            scenario.fault,
            kinds,
            length_s,
            np.random.default_rng([seed, 2]),
        )
        self.counts = Counts()
        self.tail = _Tail(deployment.weights.target_p99_ms)
        self._scenario = scenario
        self._waiting = list(reversed(self.jobs))
        noise = np.random.default_rng([seed, 3])
        self._world = World(deployment, scenario, kinds, noise)
        self.domains = [
            self._domain(part, deployment, factory, seed)
            for part in range(deployment.domains)
        ]

    def step(self, now_s: int) -> None:
        self._submit(now_s)
        offered = offered_load(self._scenario, now_s, self._length_s)
        times, ended = self._world.step(offered, now_s)
        self.tail.add(times)
        lost = strike(
            self._scenario.fault,
            now_s / self._length_s,
            self._world,
            self.domains,
            self.jobs,
        )
        for end in itertools.chain(ended, lost):
            part = end.server * len(self.domains) // len(self._world.up)
            self.domains[part].ended(end, now_s)
        samples = self._world.arrived(now_s)
        for domain in self.domains:
            domain.observe(samples, now_s)
            if now_s % DECIDE_S == 0:
                domain.decide(now_s)

    def _submit(self, now_s: int) -> None:
        while self._waiting and self._waiting[-1].at_s < now_s:
            job = self._waiting.pop()
            for task in job.tasks:
                self.domains[job.domain].submit(task, now_s)

    def _domain(
        self,
        part: int,
        deployment: Deployment,
        factory: Factory,
        seed: int,
    ) -> Domain:
        weights = {deployment.service: deployment.weights}
        size = deployment.servers // deployment.domains
        makers = [
            functools.partial(_make, factory, weights, seed * 1000 + daemon)
            for daemon in range(part, DAEMONS, deployment.domains)
        ]
        servers = list(range(part * size, (part + 1) * size))
        return Domain(deployment, self._world, servers, makers, self.counts)


def _make(
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
    length_s: int = LENGTH_S,
) -> Figures:
    """Run a policy in virtual time.

    :param deployment: whose machines.
    :param scenario: conditions.
    :param factory: makes a policy for each daemon.
    :param seed: of truth, work and noise; the same for every policy.
    :param length_s: length of the run, in seconds.
    :returns: figures of the run.
    """
    run = _Run(deployment, scenario, factory, seed, length_s)
    for second in range(length_s):
        run.step(second + 1)
    return _figures(run.tail, run.counts, run.domains, run.jobs)


def _figures(
    tail: _Tail,
    counts: Counts,
    domains: list[Domain],
    jobs: list[Job],
) -> Figures:
    asked: dict[str, float] = {}
    for task in itertools.chain.from_iterable(job.tasks for job in jobs):
        asked[task.member] = asked.get(task.member, 0) + task.cores * task.run_s
    quota = sum(asked.values()) / len(asked)
    shares = [
        counts.done_by_member.get(member, 0) / min(work, quota)
        for member, work in asked.items()
    ]
    return Figures(
        *(tail.quantile_ms(share) for share in _QUANTILES),
        tail.over_share,
        counts.done_core_s / 3600,
        counts.lost_core_s / 3600,
        counts.evictions,
        counts.throttles,
        counts.refused,
        max(shares) / max(min(shares), 1e-9),
        sum(domain.violations for domain in domains),
    )
