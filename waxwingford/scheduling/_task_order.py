"""Order in which pending tasks are placed."""

from typing import NamedTuple

from waxwingford.scheduling._job_estimates import (
    JobEstimate,
    Lateness,
    estimate_job,
)
from waxwingford.scheduling._shard_state import ShardState, has_runs
from waxwingford.scheduling._specs import QueueTerms
from waxwingford.scheduling._state import Job, Step, Task

#: Pending time after which a long-running task comes before all others, in ms.
OVERDUE_MS = 2000
#: Exponent of its size by which a job's remaining work is divided in the order: with 0,
#: the least work left comes first, with 1 the smallest share of the job's work.
SIZE_EXPONENT = 0.9
#: Weight of a job's age, relative to its objective, by which newer jobs come first.
AGE_WEIGHT = 0.5
#: Time without a run after which a job comes before others of its priority while
#: starts are limited, in ms.
STARVED_MS = 2000
#: Share of a service's CPU in use by long-running tasks from which on new ones
#: don't become overdue, so that they can't take the rest from short tasks.
#: Tasks that have run before are exempt.
MAX_LONG_RUNNING_SHARE = 0.85
#: Ranks of starved jobs, of those ordered by ``_precedence``, and of expired ones.
_STARVED = -1
_IN_TURN = 0
_EXPIRED = 1
#: Lower than every priority.
_OVERDUE_RANK = -1


class PendingTask(NamedTuple):
    """A task without a server, and its place in the order.

    :ivar rank: sort key; lower comes first.
    :ivar overdue: whether it is a long-running task pending for too long.
    """

    rank: tuple[int, int, int, float, int]
    task: Task
    step: Step
    queue: QueueTerms
    overdue: bool = False


def rank_task(
    task: Task,
    step: Step,
    queue: QueueTerms,
    estimate: JobEstimate,
    now_ms: int,
    deferred: bool = False,
    limited: bool = False,
) -> PendingTask:
    """Compute the place of a task in the order.

    Within a priority, short tasks come before long-running ones, and
    best-effort tasks last. Short and best-effort tasks are ordered by
    ``_precedence``; those of expired jobs come after all others. A long-running
    task that is overdue comes before all others, so that short ones can't starve
    it.

    :param estimate: estimate for the repetition.
    :param now_ms: current monotonic time, in ms.
    :param deferred: whether a long-running task can't become overdue.
    :param limited: whether the owner's processor limits the starts, so that large
        jobs could wait for ever; those without a run for ``STARVED_MS`` then come
        first.
    """
    job = step.job
    long_running = step.spec.long_running
    if (
        long_running
        and not deferred
        and now_ms - task.pending_since_ms >= OVERDUE_MS
    ):
        rank = _OVERDUE_RANK, 0, 0, task.pending_since_ms, task.key.index
        return PendingTask(rank, task, step, queue, overdue=True)
    kind = 2 if step.spec.best_effort else int(long_running)
    urgency_class, order = _IN_TURN, float(job.received_ms)
    if not long_running:
        urgency_class = _urgency_class(job, estimate, now_ms, limited)
        order = _precedence(estimate)
    rank = queue.priority, kind, urgency_class, order, task.key.index
    return PendingTask(rank, task, step, queue)


def rank_alone(
    state: ShardState, task: Task, step: Step, now_ms: int
) -> PendingTask:
    """Compute the place of a task in the order as if it were pending.

    :param now_ms: current monotonic time, in ms.
    """
    queue = state.queue_of(step.job)
    steps = step.job.steps_by_occurrence[step.occurrence]
    estimate = estimate_job(steps, queue, state.learned.run_times)
    return rank_task(task, step, queue, estimate, now_ms)


class FullServices:
    """Services at their limit of long-running tasks, computed on demand."""

    def __init__(self, state: ShardState) -> None:
        self._state = state
        self._full_by_service: dict[str, bool] = {}

    def __contains__(self, service: str) -> bool:
        full = self._full_by_service.get(service)
        if full is None:
            full = self._is_full(service)
            self._full_by_service[service] = full
        return full

    def _is_full(self, service: str) -> bool:
        servers = [
            server
            for server in self._state.server_by_id.values()
            if server.is_available and server.entry.service == service
        ]
        long_running_milli = sum(
            server.long_running_milli for server in servers
        )
        capacity_milli = sum(
            server.entry.capacity.processors_milli for server in servers
        )
        return long_running_milli > MAX_LONG_RUNNING_SHARE * capacity_milli


def _urgency_class(
    job: Job, estimate: JobEstimate, now_ms: int, limited: bool
) -> int:
    if limited and _is_starved(job, now_ms):
        return _STARVED
    expired = estimate.lateness is Lateness.expired
    return _EXPIRED if expired else _IN_TURN


def _precedence(estimate: JobEstimate) -> float:
    """Compute the place of a job among those of its priority; lower comes first.

    By the least work left, a large job would be begun and then wait for each
    smaller one that comes. Divided by most of its size, its work left falls below
    that of new jobs as it proceeds, so that it is finished. By arrival, every job
    would be late under overload, so newer ones come first.
    """
    size = max(1, estimate.size)
    # The age of a timed job is negative after a step of the clock.
    age = max(0, estimate.age_ms) / max(1, estimate.objective_ms)
    return estimate.work / size**SIZE_EXPONENT * (1 + AGE_WEIGHT * age)


def _is_starved(job: Job, now_ms: int) -> bool:
    return now_ms - job.last_run_ms >= STARVED_MS and not has_runs(job)
