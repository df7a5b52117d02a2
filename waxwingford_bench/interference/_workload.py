"""Jobs and servers of an emulated day, drawn from a seed."""

import dataclasses
import math
import random
from typing import NamedTuple

from waxwingford.ports import Resources
from waxwingford.scheduling import JobSpec, QueueTerms, StepSpec

SERVICE = 'service'
TARGET_MS = 18
_MS_PER_S = 1000
#: Widest steps, in tasks, and longest tasks, as multiples of the mean.
_MAX_WIDTH_FACTOR = 4
_MAX_LENGTH_FACTOR = 2.5


class Kind(NamedTuple):
    """A kind of jobs.

    :ivar per_s: jobs that arrive per second and backend server.
    :ivar steps: mean number of steps.
    :ivar width: mean number of tasks in a step.
    :ivar length_ms: mean run time of a task at full speed, in ms.
    :ivar processors_milli: mean CPU of a task, in thousandths of a core.
    :ivar memory_mb: memory of a task.
    :ivar declared_error: standard deviation of the logarithm of declared over true
        run times.
    :ivar failure_share: share of the runs that fail.
    """

    terms: QueueTerms
    per_s: float
    steps: float
    width: float
    length_ms: float
    processors_milli: int
    memory_mb: int
    declared_error: float
    failure_share: float = 0


class Workload(NamedTuple):
    """What is emulated.

    :ivar kinds: urgent jobs, then best-effort ones.
    :ivar servers: number of backend servers.
    :ivar cores: cores of each.
    :ivar memory_mb: memory of each.
    :ivar serving_share: share of all cores that serving tasks ask for.
    :ivar serving_milli: CPU of a serving task, in thousandths of a core.
    :ivar load: mean share of a serving task's capacity that its users take.
    :ivar swing: amplitude of that share, relative to its mean.
    :ivar period_s: period of the swing.
    :ivar heavy_share: share of the pairs of images that interfere heavily.
    :ivar burst: factor of the best-effort jobs between ``burst_from_s`` and
        ``burst_to_s``.
    """

    kinds: tuple[Kind, Kind]
    servers: int = 22
    cores: int = 64
    memory_mb: int = 250_000
    serving_share: float = 0.94
    serving_milli: int = 13_000
    load: float = 0.42
    swing: float = 0.6
    period_s: float = 10
    serving_images: int = 10
    best_effort_images: int = 18
    heavy_share: float = 0.65
    burst: float = 1.4
    burst_from_s: float = 14
    burst_to_s: float = 20

    def at_load(self, factor: float) -> 'Workload':
        """Return the same workload with jobs that arrive more often.

        :param factor: factor of the rates at which jobs of all kinds arrive.
        """
        urgent, best_effort = (
            kind._replace(per_s=kind.per_s * factor) for kind in self.kinds
        )
        return self._replace(kinds=(urgent, best_effort))


URGENT = Kind(
    QueueTerms('urgent', SERVICE, 0, 3, stretch=1.5, target_ms=250),
    0.0247,
    1.6,
    9.5,
    1000,
    7500,
    15_000,
    0.2,
    0.005,
)
BEST_EFFORT = Kind(
    QueueTerms('best effort', SERVICE, 2, 3, stretch=2, target_ms=1000),
    0.0733,
    2,
    20,
    1700,
    7000,
    13_000,
    0.9,
    0.02,
)
SERVING = QueueTerms('serving', SERVICE, 0, 4, stretch=2.2, target_ms=2500)
#: Demand over supply, with declared run times that are far off.
OVERLOAD = Workload((URGENT, BEST_EFFORT))
#: The same of jobs that are small beside the cluster, as on a large one: the room that
#: the largest of them need at a time is there, so that only others keep them waiting.
NARROW = Workload(
    (
        URGENT._replace(width=URGENT.width / 2.5, per_s=URGENT.per_s * 2.5),
        BEST_EFFORT._replace(
            width=BEST_EFFORT.width / 4, per_s=BEST_EFFORT.per_s * 5.2
        ),
    )
)
WORKLOAD_BY_NAME = {'overload': OVERLOAD, 'narrow': NARROW}


@dataclasses.dataclass(frozen=True, slots=True)
class EmulatedJob:
    """A job and what the scheduler doesn't know of it.

    :ivar arrival_ms: time at which it is submitted, in ms from the start.
    :ivar length_ms: run time at full speed by step and task, in ms.
    """

    spec: JobSpec
    kind: Kind
    arrival_ms: int
    length_ms: tuple[tuple[float, ...], ...]

    @property
    def objective_ms(self) -> float:
        """Time in which the job has to complete, in ms."""
        chain_ms = sum(map(max, self.length_ms))
        terms = self.kind.terms
        return terms.stretch * chain_ms + terms.target_ms

    @property
    def work(self) -> float:
        """CPU time that it needs, in core-seconds."""
        return sum(
            sum(lengths) * step.needs.processors_milli
            for lengths, step in zip(
                self.length_ms, self.spec.steps, strict=True
            )
        ) / (_MS_PER_S * _MS_PER_S)


class Draw:
    """Draws the jobs of a day."""

    def __init__(self, workload: Workload, seed: int) -> None:
        self._workload = workload
        self._random = random.Random(seed)
        self._number = 0

    def coefficients(self) -> dict[tuple[str, str], float]:
        """Draw the interference of each pair of images.

        :returns: loss of idle capacity per use of a whole server.
        """
        draw, work = self._random, self._workload
        return {
            (f's{serving}', f'b{best_effort}'): (
                draw.uniform(1, 3.4)
                if draw.random() < work.heavy_share
                else draw.uniform(0, 0.4)
            )
            for serving in range(work.serving_images)
            for best_effort in range(work.best_effort_images)
        }

    def serving(self) -> list[EmulatedJob]:
        """Draw long-running jobs that fill their share of the servers."""
        work = self._workload
        wanted = work.serving_share * work.servers * work.cores * _MS_PER_S
        jobs = []
        while wanted > 0:
            width = max(1, round(self._spread(14, 0.4)))
            milli = round(self._spread(work.serving_milli, 0.25))
            image = f's{self._random.randrange(work.serving_images)}'
            step = StepSpec(
                width,
                Resources(milli, 2 * milli, 0),
                320,
                long_running=True,
                image=image,
                target_ms=TARGET_MS,
            )
            spec = self._spec(SERVING, (step,))
            kind = Kind(SERVING, 0, 1, width, 0, milli, 0, 0)
            jobs.append(EmulatedJob(spec, kind, 0, ((math.inf,) * width,)))
            wanted -= width * milli
        return jobs

    def arrivals(self, span_s: float) -> list[EmulatedJob]:
        """Draw the other jobs.

        :param span_s: time in which they arrive, in seconds.
        """
        jobs = [
            self._job(kind, at_s)
            for kind in self._workload.kinds
            for at_s in self._times(kind, span_s)
        ]
        return sorted(jobs, key=lambda job: job.arrival_ms)

    def failing(self, kind: Kind) -> bool:
        """Draw whether a run fails."""
        return self._random.random() < kind.failure_share

    def phase(self) -> float:
        """Draw the phase of a load, as a share of its period."""
        return self._random.random()

    def _times(self, kind: Kind, span_s: float) -> list[float]:
        work = self._workload
        times: list[float] = []
        at_s: float = 0
        while True:
            burst = work.burst_from_s <= at_s < work.burst_to_s
            factor = work.burst if burst and kind.terms.priority else 1
            at_s += self._random.expovariate(kind.per_s * work.servers * factor)
            if at_s >= span_s:
                return times
            times.append(at_s)

    def _job(self, kind: Kind, at_s: float) -> EmulatedJob:
        steps, lengths = [], []
        best_effort = kind.terms.priority > 0
        image = f'b{self._random.randrange(self._workload.best_effort_images)}'
        for index in range(max(1, round(self._spread(kind.steps, 0.4)))):
            width = self._spread(kind.width, 0.6, _MAX_WIDTH_FACTOR)
            mean_ms = self._spread(kind.length_ms, 0.5, _MAX_LENGTH_FACTOR)
            error = math.exp(self._random.gauss(0, kind.declared_error))
            milli = round(self._spread(kind.processors_milli, 0.3, 2))
            step = StepSpec(
                max(1, round(width)),
                Resources(milli, kind.memory_mb, 0),
                max(1, round(mean_ms * error)),
                (index - 1,) if index else (),
                writes_checkpoints=best_effort,
                image=image if best_effort else '',
                best_effort=best_effort,
            )
            steps.append(step)
            lengths.append(
                tuple(self._spread(mean_ms, 0.3) for _ in range(step.count))
            )
        spec = self._spec(kind.terms, tuple(steps))
        return EmulatedJob(spec, kind, round(at_s * _MS_PER_S), tuple(lengths))

    def _spec(self, terms: QueueTerms, steps: tuple[StepSpec, ...]) -> JobSpec:
        self._number += 1
        job_id = f'{self._number:016x}'
        return JobSpec(job_id, terms.name, '', steps, terms=terms)

    def _spread(
        self, mean: float, spread: float, most: float = math.inf
    ) -> float:
        drawn = self._random.lognormvariate(-(spread**2) / 2, spread)
        return mean * min(drawn, most)
