"""Counts the tasks that come before a job that isn't submitted, changing nothing."""

import itertools
from typing import NamedTuple

from waxwingford.scheduling._job_estimates import (
    JobEstimate,
    estimate_job,
    owed_since_ms,
)
from waxwingford.scheduling._shard_state import ShardState
from waxwingford.scheduling._state import Task
from waxwingford.scheduling._task_order import (
    FullServices,
    PendingTask,
    rank_task,
)

#: Pending tasks that are looked at, and groups of alike ones that are ranked. Both
#: take a few ms of the owner's processor.
MAX_TASKS = 4000
MAX_GROUPS = 300


class _RankedGroup(NamedTuple):
    # Pending tasks of one step that have the same place but for their index.
    first: PendingTask
    count: int


class OrderPreview(NamedTuple):
    """Pending tasks in groups with the same place in the order.

    :ivar pending: number of pending tasks.
    :ivar complete: whether all of them are in the groups.
    """

    groups: tuple[_RankedGroup, ...]
    pending: int
    complete: bool

    def count_ahead(self, pending: PendingTask) -> int:
        """Count the tasks that come before one for servers of its service.

        :param pending: task that would be the newest.
        """
        return sum(
            group.count
            for group in self.groups
            if group.first.queue.service == pending.queue.service
            and group.first.rank[:-1] <= pending.rank[:-1]
        )


def preview_order(state: ShardState, now_ms: int) -> OrderPreview:
    """Rank what is pending as ``ranked_tasks`` does, without its notes.

    :param now_ms: current monotonic time, in ms.
    """
    tasks_by_group: dict[tuple[object, ...], list[Task]] = {}
    tasks = itertools.islice(state.pending_by_key.values(), MAX_TASKS)
    for task in tasks:
        if task.not_before_ms <= now_ms:
            group = *task.key[:-1], task.pending_since_ms, bool(task.last_run)
            tasks_by_group.setdefault(group, []).append(task)
    ranking = _Ranking(state, now_ms)
    ranked = tuple(
        _RankedGroup(first, len(alike))
        for alike in itertools.islice(tasks_by_group.values(), MAX_GROUPS)
        if (first := ranking.rank(alike[0])) is not None
    )
    pending = len(state.pending_by_key)
    complete = pending <= MAX_TASKS and len(tasks_by_group) <= MAX_GROUPS
    return OrderPreview(ranked, pending, complete)


class _Ranking:
    """Ranks pending tasks, with one estimate for each repetition of a job."""

    def __init__(self, state: ShardState, now_ms: int) -> None:
        self._state = state
        self._now_ms = now_ms
        self._full = FullServices(state)
        self._estimate_by_job: dict[tuple[str, int], JobEstimate] = {}

    def rank(self, task: Task) -> PendingTask | None:
        """Rank a task.

        :returns: ``None`` if its job starts no more tasks.
        """
        job = self._state.job_by_id.get(task.key.job_id)
        if job is None or job.ended is not None or job.blocked:
            return None
        step = job.steps_by_occurrence[task.key.occurrence][task.key.step]
        queue = self._state.queue_of(job)
        new = step.spec.long_running and not task.last_run
        return rank_task(
            task,
            step,
            queue,
            self._estimate(task),
            self._now_ms,
            deferred=new and queue.service in self._full,
        )

    def _estimate(self, task: Task) -> JobEstimate:
        key = task.key.job_id, task.key.occurrence
        found = self._estimate_by_job.get(key)
        if found is None:
            state = self._state
            job = state.job_by_id[task.key.job_id]
            since_ms = owed_since_ms(
                job, task.key.occurrence, state.wall_offset_ms
            )
            found = estimate_job(
                job.steps_by_occurrence[task.key.occurrence],
                state.queue_of(job),
                state.learned.run_times,
            )._replace(age_ms=self._now_ms - since_ms)
            self._estimate_by_job[key] = found
        return found
