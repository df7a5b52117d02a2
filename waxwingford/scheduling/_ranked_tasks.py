"""Goes through the pending tasks in the order in which they are placed.

The order is that of ``_task_order``. Steps are ranked, and their tasks are taken from
them one by one, as tens of thousands may be pending of which few are started.
"""

import collections
import heapq
import itertools
from collections.abc import Iterator
from typing import NamedTuple

from waxwingford.scheduling._containment import note_failure
from waxwingford.scheduling._job_estimates import (
    JobEstimate,
    Lateness,
    estimate_job,
    owed_since_ms,
)
from waxwingford.scheduling._pending_tasks import PendingStep, Place
from waxwingford.scheduling._round_work import RoundWork
from waxwingford.scheduling._shard_state import ShardState, block_job
from waxwingford.scheduling._state import Job, Step, Task
from waxwingford.scheduling._task_order import (
    FullServices,
    PendingTask,
    rank_task,
)

#: Steps of one job that are looked at in a round; the others follow in the next ones.
MAX_STEPS_OF_JOB = 64
#: Tasks that are looked at of a step after one of them found no server, as others may
#: find one nevertheless, and as many preempt others or have room reserved: in most
#: rounds, in those for a long-running step, and in thorough rounds.
MAX_TASKS_OF_FULL_STEP = 1
MAX_TASKS_OF_FULL_LONG_STEP = 16
MAX_TASKS_OF_FULL_STEP_THOROUGH = 64
#: Tasks of a job that are looked at in vain, after which others of its full steps are not.
MAX_UNPLACED_OF_JOB = 128
#: Tasks of a step that are told to be without a server.
MAX_UNPLACED_OF_STEP = 16
#: Tasks of a step that are passed over as they may not start yet.
MAX_DELAYED_TASKS = 1000
#: Steps whose estimate takes a ms; the estimate of a job is kept for that time.
STEPS_PER_MS = 20


class _Kept(NamedTuple):
    estimate: JobEstimate
    at_ms: int


class Estimates:
    """Estimates of jobs, which are kept for a while if they have many steps."""

    def __init__(self, state: ShardState) -> None:
        self._state = state
        self._kept_by_repetition: dict[tuple[str, int], _Kept] = {}

    def forget_others(self) -> None:
        """Forget the estimates of jobs without pending tasks."""
        jobs = self._state.pending_by_key.steps_by_job
        self._kept_by_repetition = {
            repetition: kept
            for repetition, kept in self._kept_by_repetition.items()
            if repetition[0] in jobs
        }

    def estimate(
        self, job: Job, occurrence: int, now_ms: int, work: RoundWork
    ) -> JobEstimate:
        """Estimate a repetition of a job.

        :param now_ms: current monotonic time, in ms.
        :param work: counts the work.
        """
        steps = job.steps_by_occurrence[occurrence]
        since_ms = owed_since_ms(job, occurrence, self._state.wall_offset_ms)
        if len(steps) == 1:
            estimate = self._estimate(job, steps)
        else:
            estimate = self._keep(job, occurrence, now_ms, work)
        return estimate._replace(age_ms=now_ms - since_ms)

    def _keep(
        self, job: Job, occurrence: int, now_ms: int, work: RoundWork
    ) -> JobEstimate:
        steps = job.steps_by_occurrence[occurrence]
        repetition = job.spec.job_id, occurrence
        kept = self._kept_by_repetition.get(repetition)
        if kept is None or now_ms - kept.at_ms > len(steps) // STEPS_PER_MS:
            work.add(steps[0].name, len(steps))
            kept = _Kept(self._estimate(job, steps), now_ms)
            self._kept_by_repetition[repetition] = kept
        return kept.estimate

    def _estimate(self, job: Job, steps: list[Step]) -> JobEstimate:
        queue = self._state.queue_of(job)
        return estimate_job(steps, queue, self._state.learned.run_times)


class _Cursor:
    """Tasks of a step that are still to be looked at.

    :ivar total: number of its tasks at the begin of the round.
    :ivar taken: number of tasks that were taken.
    :ivar delayed: number of those that may not start yet.
    :ivar unplaced: number of those that found no server.
    :ivar full: whether no server has room for the step.
    :ivar pending: task that was taken last.
    """

    def __init__(
        self, queue: PendingStep, step: Step, places: list[Place]
    ) -> None:
        self.queue = queue
        self.step = step
        self.places = iter(places)
        self.total = len(places)
        self.taken = 0
        self.delayed = 0
        self.unplaced = 0
        self.full = False
        self.pending: PendingTask | None = None


class RankedTasks:
    """Pending tasks of one round, in order."""

    def __init__(
        self,
        state: ShardState,
        estimates: Estimates,
        work: RoundWork,
        now_ms: int,
        with_best_effort: bool,
        limited: bool,
        thorough: bool,
    ) -> None:
        """Rank the steps.

        :param work: counts the work.
        :param now_ms: current monotonic time, in ms.
        :param limited: whether an overloaded owner left tasks in the round before.
        :param thorough: whether more tasks of full steps are looked at.
        """
        self._thorough = thorough
        self._state = state
        self._estimates = estimates
        self._work = work
        self._now_ms = now_ms
        self._limited = limited
        self._full_services = FullServices(state)
        self._cursor_by_step: dict[str, _Cursor] = {}
        self._unplaced_by_job: collections.Counter[str] = collections.Counter()
        self._heap: list[tuple[tuple[float, ...], int, _Cursor]] = []
        self._numbers = itertools.count()
        self._fill(with_best_effort)

    def __bool__(self) -> bool:
        """Whether any task is left."""
        return bool(self._heap)

    def __iter__(self) -> Iterator[PendingTask]:
        """Yield the tasks; what the caller notes of one has an effect on the next."""
        while self._heap:
            cursor = self._heap[0][-1]
            if not cursor.step.job.blocked:
                yield cursor.pending
            self._advance(cursor)

    def note_unplaced(self, pending: PendingTask, full: bool) -> bool:
        """Note that a task found no server.

        :param full: whether no other task of its step would, so that few follow.
        :returns: whether the caller needs to know of it.
        """
        cursor = self._cursor_by_step[pending.step.name]
        cursor.unplaced += 1
        cursor.full = full
        self._unplaced_by_job[pending.task.key.job_id] += 1
        return cursor.unplaced <= MAX_UNPLACED_OF_STEP

    def left(self) -> Iterator[tuple[Step, int]]:
        """Count the tasks that were left of each step that isn't full.

        :yields: steps and their numbers of tasks, at least one.
        """
        for _, _, cursor in self._heap:
            if not cursor.full:
                yield cursor.step, cursor.total - cursor.taken + 1

    def end(self) -> None:
        """Look at full steps of large jobs after their other steps in the next round."""
        for cursor in self._cursor_by_step.values():
            job_id = cursor.step.job.spec.job_id
            steps = self._state.pending_by_key.steps_by_job.get(job_id, {})
            if cursor.full and len(steps) > MAX_STEPS_OF_JOB:
                self._state.pending_by_key.postpone(
                    job_id, cursor.queue.occurrence, cursor.queue.index
                )

    def _fill(self, with_best_effort: bool) -> None:
        steps_by_job = self._state.pending_by_key.steps_by_job
        for job_id, steps in list(steps_by_job.items()):
            queues = (
                queue
                for queue in list(steps.values())
                if with_best_effort or not queue.best_effort
            )
            try:
                for queue in itertools.islice(queues, MAX_STEPS_OF_JOB):
                    self._add(job_id, queue)
            except Exception as error:
                note_failure(self._state.notes, 'rank', job_id, error)
                block_job(self._state, job_id)
        self._heap = [one for one in self._heap if not one[-1].step.job.blocked]
        heapq.heapify(self._heap)

    def _add(self, job_id: str, queue: PendingStep) -> None:
        job = self._state.job_by_id.get(job_id)
        if job is None or job.ended is not None or job.blocked:
            self._state.pending_by_key.discard_job(job_id)
            return
        step = job.steps_by_occurrence[queue.occurrence][queue.index]
        if step.name in self._work.passed_steps:
            return
        cursor = _Cursor(queue, step, queue.rotated())
        task = self._next_task(cursor)
        if task is None:
            return
        cursor.pending = self._rank(task, step)
        self._cursor_by_step[step.name] = cursor
        entry = cursor.pending.rank, next(self._numbers), cursor
        self._heap.append(entry)

    def _advance(self, cursor: _Cursor) -> None:
        ended = bool(cursor.unplaced) and self._is_enough(cursor)
        if ended and cursor.unplaced >= MAX_TASKS_OF_FULL_STEP_THOROUGH:
            cursor.queue.skip(cursor.taken)
        task = None
        if not (ended or cursor.step.spec.gang):
            task = self._next_task(cursor)
        if task is None:
            heapq.heappop(self._heap)
            return
        if cursor.step.spec.long_running:
            cursor.pending = self._rank(task, cursor.step)
        else:
            # Its tasks differ in the index only.
            rank = (*cursor.pending.rank[:-1], task.key.index)
            cursor.pending = cursor.pending._replace(rank=rank, task=task)
        _, number, _ = self._heap[0]
        heapq.heapreplace(self._heap, (cursor.pending.rank, number, cursor))

    def _is_enough(self, cursor: _Cursor) -> bool:
        """Tell whether no more tasks of a step are looked at in this round."""
        most = MAX_TASKS_OF_FULL_STEP
        job_id = cursor.step.job.spec.job_id
        many = self._unplaced_by_job[job_id] >= MAX_UNPLACED_OF_JOB
        if not cursor.full or (self._thorough and not many):
            most = MAX_TASKS_OF_FULL_STEP_THOROUGH
        elif cursor.step.spec.long_running and not many:
            most = MAX_TASKS_OF_FULL_LONG_STEP
        return cursor.unplaced >= most

    def _next_task(self, cursor: _Cursor) -> Task | None:
        """Take the next task that may start now."""
        step = cursor.step
        for place in cursor.places:
            cursor.taken += 1
            task = step.tasks[place[-1]]
            if task.not_before_ms <= self._now_ms:
                return task
            cursor.delayed += 1
            if cursor.delayed == MAX_DELAYED_TASKS:
                self._work.add(step.name, cursor.delayed)
                cursor.queue.skip(cursor.taken)
                return None
        return None

    def _rank(self, task: Task, step: Step) -> PendingTask:
        state, job = self._state, step.job
        queue = state.queue_of(job)
        estimate = self._estimates.estimate(
            job, step.occurrence, self._now_ms, self._work
        )
        new = step.spec.long_running and not task.last_run
        deferred = new and queue.service in self._full_services
        if not step.spec.long_running:
            _note_late(state, step, estimate)
        return rank_task(
            task, step, queue, estimate, self._now_ms, deferred, self._limited
        )


def _note_late(state: ShardState, step: Step, estimate: JobEstimate) -> None:
    job = step.job
    lateness = estimate.lateness
    if lateness <= job.noted_lateness:
        return
    job.noted_lateness = lateness
    steps = job.steps_by_occurrence[step.occurrence]
    state.notes.add(
        'job.late',
        job.spec.job_id,
        queue=job.spec.queue,
        size=state.learned.sizes.classify(job.spec.queue, estimate.size),
        expired=lateness is Lateness.expired,
        begun=job.begun,
        unfinished=sum(one.unfinished for one in steps),
        **estimate.note_fields(),
    )


__all__ = ('Estimates', 'RankedTasks')
