"""Forecasts when the servers of a service will have room for a new best-effort job.

The work that accepted best-effort jobs have left is divided by the rate at which such
work is done. That rate is the servers' capacity only while tasks wait for room, so it
is learned only then.
"""

import collections
import dataclasses
import functools
import itertools
import statistics
from collections.abc import Callable
from typing import NamedTuple

from waxwingford.ports import Resources
from waxwingford.scheduling._containment import attempt
from waxwingford.scheduling._job_estimates import (
    estimate_job,
    expected_run_time_ms,
    owed_since_ms,
)
from waxwingford.scheduling._room_checks import RoomChecks
from waxwingford.scheduling._room_waits import waiting_services
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._shard_state import ShardState
from waxwingford.scheduling._state import Job, Step

#: Shortest interval between two updates, in ms. Decisions are made more often, and an
#: update looks at all accepted best-effort jobs.
UPDATE_INTERVAL_MS = 250
#: Time after the first update, or an interruption, in which no rate is learned, in ms:
#: the progress that runs are first listed with was made before.
FIRST_LISTINGS_MS = 3000
#: Time between two updates from which on the owner was interrupted, in ms.
INTERRUPTION_MS = 1000
#: Time with waiting tasks over which the rate is measured, in ms.
RATE_INTERVAL_MS = 1000
#: Weights of a new measurement that is above the rate, and of one that is below.
RISE_WEIGHT = 0.5
FALL_WEIGHT = 0.1
#: Time in which the rate falls by half while nothing waits, in ms.
RATE_HALF_LIFE_MS = 60_000
#: Time without waiting tasks after which the rate is unknown again, in ms.
RATE_MEMORY_MS = 120_000
#: Lowest rate that a known one falls to, in thousandths of a core, so that waits are finite.
MIN_RATE_MILLI = 1
#: Weight of a new job in the mean objective of its service.
OBJECTIVE_WEIGHT = 0.05
#: Recent steps of a service that tell its typical task.
RECENT_STEPS = 41
#: Multiple of its objective after which the work of a job isn't counted any more.
COUNTED_OBJECTIVES = 3
#: Updates in which the estimates of all jobs are renewed, a part in each.
ESTIMATE_ROUNDS = 8
_FULL_PERCENT = 100


class RecentTask(NamedTuple):
    """A task of a recent step.

    :ivar needs: resources, with CPU.
    :ivar run_time_ms: expected run time, in ms.
    """

    needs: Resources
    run_time_ms: float


def _no_recent_tasks() -> collections.deque[RecentTask]:
    return collections.deque(maxlen=RECENT_STEPS)


@dataclasses.dataclass(slots=True)
class ServiceRoom:
    """Forecast for the best-effort jobs of one service.

    Work is in thousandths of a core times milliseconds.

    :ivar work: work left of accepted jobs, without ended and expired ones.
    :ivar rate_milli: rate at which such work is done while tasks wait, in thousandths
        of a core; 0 if it is unknown.
    :ivar waiting: whether tasks wait for room.
    :ivar fits_now: whether a typical task fits on a server at present.
    :ivar objective_ms: mean objective of recent jobs, in ms.
    :ivar recent_tasks: a task of each recent step.
    :ivar learned_ms: monotonic time in ms up to which tasks have waited.
    :ivar sample_work: work done in the current measurement.
    :ivar sample_ms: time covered by it, in ms.
    """

    work: float = 0
    rate_milli: float = 0
    waiting: bool = False
    fits_now: bool = False
    objective_ms: float = 0
    recent_tasks: collections.deque[RecentTask] = dataclasses.field(
        default_factory=_no_recent_tasks
    )
    learned_ms: int = 0
    sample_work: float = 0
    sample_ms: int = 0

    @property
    def wait_ms(self) -> float:
        """Time in ms until the work is done, 0 if the rate is unknown."""
        return self.work / self.rate_milli if self.rate_milli else 0

    def add_objective(self, objective_ms: float) -> None:
        """Add the objective of a new job, in ms."""
        former_ms = self.objective_ms or objective_ms
        change_ms = objective_ms - former_ms
        self.objective_ms = former_ms + OBJECTIVE_WEIGHT * change_ms

    def learn(self, done: float, elapsed_ms: int, now_ms: int) -> None:
        """Learn the rate from an interval in which tasks waited.

        :param done: work done in the interval.
        :param now_ms: current monotonic time, in ms.
        """
        self.learned_ms = now_ms
        self.sample_work += done
        self.sample_ms += elapsed_ms
        if self.sample_ms < self._sample_target_ms:
            return
        rate_milli = self.sample_work / self.sample_ms
        if self.rate_milli:
            change = max(MIN_RATE_MILLI, rate_milli) - self.rate_milli
            weight = RISE_WEIGHT if change > 0 else FALL_WEIGHT
            self.rate_milli += weight * change
        else:
            self.rate_milli = max(0, rate_milli)
        self.sample_work = 0
        self.sample_ms = 0

    @property
    def _sample_target_ms(self) -> float:
        """Shortest time that is measured, in ms.

        Tasks may show little progress until they have ended, and a first rate that is
        too low refuses jobs at once.
        """
        if self.rate_milli or not self.recent_tasks:
            return RATE_INTERVAL_MS
        typical_ms = statistics.median(
            task.run_time_ms for task in self.recent_tasks
        )
        return max(RATE_INTERVAL_MS, typical_ms)

    def fade(self, elapsed_ms: int, now_ms: int) -> None:
        """Trust the rate less after an interval in which nothing was learned.

        :param now_ms: current monotonic time, in ms.
        """
        self.sample_work = 0
        self.sample_ms = 0
        known = now_ms - self.learned_ms < RATE_MEMORY_MS
        self.rate_milli *= known * 0.5 ** (elapsed_ms / RATE_HALF_LIFE_MS)


@dataclasses.dataclass(slots=True)
class _TrackedStep:
    # Tasks that were finished at the last update, with parts of running ones, and
    # expected run time and work of one task.
    step: Step
    finished: float
    run_time_ms: float = 0
    task_work: float = 0


@dataclasses.dataclass(slots=True)
class _Repetition:
    # A repetition of a job, its best-effort steps, and when it is worth nothing more.
    job: Job
    occurrence: int
    service: str
    steps: list[_TrackedStep]
    expires_ms: float = 0


class RoomForecast:
    """Forecasts of all services of a shard.

    :ivar room_by_service: forecasts of services that had best-effort jobs.
    :ivar updated_ms: monotonic time of the last update, in ms.
    """

    def __init__(self, available: Callable[[Server], Resources]) -> None:
        """Start without a known rate.

        :param available: tells the resources of a server neither used nor reserved.
        """
        self.room_by_service: dict[str, ServiceRoom] = {}
        self._available = available
        #: Jobs for which an update has failed.
        self._left_out: set[str] = set()
        self.updated_ms = 0
        self._began_ms: int | None = None
        self._round = 0
        self._known_by_job: dict[str, int] = {}
        self._repetitions: list[_Repetition] = []

    def update(
        self, state: ShardState, now_ms: int, limited: bool = False
    ) -> bool:
        """Update the forecasts, unless the last update is recent.

        :param now_ms: current monotonic time, in ms.
        :param limited: whether the owner's processor limits the starts, so that tasks
            wait although there may be room.
        :returns: whether they were updated.
        """
        elapsed_ms = self._since_update_ms(now_ms)
        if elapsed_ms is None:
            return False
        self.updated_ms = now_ms
        self._round = (self._round + 1) % ESTIMATE_ROUNDS
        checks = RoomChecks(state, self._available, now_ms)
        progress_by_step = _running_progress(state)
        self._track_new(state, progress_by_step)
        done_by_service = self._count(state, progress_by_step, checks, now_ms)
        busy = {
            service
            for service, room in self.room_by_service.items()
            if room.work > 0
        }
        waiting = waiting_services(state, busy, checks, self._left_out, now_ms)
        settled = now_ms - self._began_ms >= FIRST_LISTINGS_MS
        for service, room in self.room_by_service.items():
            room.waiting = service in waiting
            needs = [task.needs for task in room.recent_tasks]
            room.fits_now = room.waiting and checks.fits_now(needs, service)
            if not room.waiting:
                room.fade(elapsed_ms, now_ms)
            elif settled and not limited:
                room.learn(done_by_service[service], elapsed_ms, now_ms)
        return True

    def _since_update_ms(self, now_ms: int) -> int | None:
        """Time that an update covers, in ms, ``None`` if the last one is recent."""
        if self._began_ms is None:
            self._began_ms = now_ms
            return 0
        elapsed_ms = now_ms - self.updated_ms
        if elapsed_ms >= INTERRUPTION_MS:
            self._began_ms = now_ms
        return elapsed_ms if elapsed_ms >= UPDATE_INTERVAL_MS else None

    def _track_new(
        self, state: ShardState, progress_by_step: dict[str, float]
    ) -> None:
        for job_id in self._known_by_job.keys() - state.job_by_id.keys():
            del self._known_by_job[job_id]
        self._left_out &= state.job_by_id.keys()
        for job_id, job in state.job_by_id.items():
            known = self._known_by_job.get(job_id, 0)
            if job.ended is None and len(job.steps_by_occurrence) > known:
                new = itertools.islice(job.steps_by_occurrence, known, None)
                for occurrence in new:
                    track = functools.partial(
                        self._track, state, job, occurrence, progress_by_step
                    )
                    self._attempt(state, job_id, track)
                self._known_by_job[job_id] = len(job.steps_by_occurrence)

    def _attempt(
        self, state: ShardState, job_id: str, action: Callable[[], object]
    ) -> None:
        """Do work for one job, which is left out from its first failure on."""
        if job_id not in self._left_out and not attempt(
            state.notes, 'admit', job_id, action
        ):
            self._left_out.add(job_id)

    def _track(
        self,
        state: ShardState,
        job: Job,
        occurrence: int,
        progress_by_step: dict[str, float],
    ) -> None:
        steps = [
            _TrackedStep(step, _finished(step, progress_by_step))
            for step in job.steps_by_occurrence[occurrence]
            if step.spec.best_effort
        ]
        if not steps:
            return
        service = state.queue_of(job).service
        repetition = _Repetition(job, occurrence, service, steps)
        objective_ms = _estimate(state, repetition)
        self._repetitions.append(repetition)
        room = self.room_by_service.setdefault(service, ServiceRoom())
        room.add_objective(objective_ms)
        room.recent_tasks.extend(
            RecentTask(tracked.step.spec.needs, tracked.run_time_ms)
            for tracked in steps
        )

    def _count(
        self,
        state: ShardState,
        progress_by_step: dict[str, float],
        checks: RoomChecks,
        now_ms: int,
    ) -> dict[str, float]:
        """Count the work left of each service, and what was done since last time.

        :param progress_by_step: progress of the present runs, in tasks.
        :returns: work done by service. A run that is lost without a checkpoint is
            deducted, as its work is to be done again.
        """
        for room in self.room_by_service.values():
            room.work = 0
        done_by_service = dict.fromkeys(self.room_by_service, float())
        for index, repetition in enumerate(self._repetitions):
            renew = index % ESTIMATE_ROUNDS == self._round
            count = functools.partial(
                self._count_one,
                state,
                repetition,
                progress_by_step,
                checks,
                done_by_service,
                renew,
                now_ms,
            )
            self._attempt(state, repetition.job.spec.job_id, count)
        # An ended job stays until its last work was counted as done.
        self._repetitions = [
            repetition
            for repetition in self._repetitions
            if repetition.job.ended is None
            and repetition.job.spec.job_id not in self._left_out
            and any(tracked.step.unfinished for tracked in repetition.steps)
        ]
        return done_by_service

    def _count_one(
        self,
        state: ShardState,
        repetition: _Repetition,
        progress_by_step: dict[str, float],
        checks: RoomChecks,
        done_by_service: dict[str, float],
        renew: bool,
        now_ms: int,
    ) -> None:
        """Count the work of a repetition.

        :param done_by_service: work done by service, which is added to.
        :param renew: whether its estimates are renewed.
        """
        if renew:
            _estimate(state, repetition)
        service = repetition.service
        left: float = 0
        done: float = 0
        for tracked in repetition.steps:
            spec = tracked.step.spec
            finished = _finished(tracked.step, progress_by_step)
            done += tracked.task_work * (finished - tracked.finished)
            if checks.fits_beside(spec.reserved_resources, service):
                left += tracked.task_work * (spec.count - finished)
            tracked.finished = finished
        done_by_service[service] += done
        if now_ms <= repetition.expires_ms and not repetition.job.blocked:
            room = self.room_by_service[service]
            room.work += left * (repetition.job.ended is None)


def _estimate(state: ShardState, repetition: _Repetition) -> float:
    """Estimate the work of a repetition's tasks, and when it expires.

    :returns: its objective, in ms.
    """
    job = repetition.job
    run_times = state.learned.run_times
    for tracked in repetition.steps:
        needs = tracked.step.spec.needs
        time_ms = expected_run_time_ms(tracked.step, run_times)
        tracked.run_time_ms = time_ms
        tracked.task_work = time_ms * needs.processors_milli
    objective_ms = estimate_job(
        job.steps_by_occurrence[repetition.occurrence],
        state.queue_of(job),
        run_times,
    ).objective_ms
    since_ms = owed_since_ms(job, repetition.occurrence, state.wall_offset_ms)
    repetition.expires_ms = since_ms + COUNTED_OBJECTIVES * objective_ms
    return objective_ms


def _running_progress(state: ShardState) -> dict[str, float]:
    """Add up the listed progress of best-effort runs.

    :returns: progress in tasks by name of the step.
    """
    progress_by_step: dict[str, float] = {}
    for server in state.server_by_id.values():
        for run, step in server.best_effort.values():
            progress = progress_by_step.get(step.name, 0)
            progress_by_step[step.name] = progress + run.percent / _FULL_PERCENT
    return progress_by_step


def _finished(step: Step, progress_by_step: dict[str, float]) -> float:
    done = step.spec.count - step.unfinished
    # A done task may have another run that is being stopped.
    return min(step.spec.count, done + progress_by_step.get(step.name, 0))


__all__ = ('RoomForecast', 'ServiceRoom')
