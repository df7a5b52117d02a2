"""Pending tasks of the quota tracker: ranks and heap entries."""

import heapq
from collections.abc import Mapping
from typing import NamedTuple

from waxwingford.placement._views import PendingTask
from waxwingford.ports import AttemptKey

#: Waiting time that one unit of priority is equivalent to.
_WAIT_MS_PER_PRIORITY = 6000
#: Slack below which the deadline determines a task's rank.
_URGENT_SLACK_MS = 600_000


class TeamName(NamedTuple):
    """Qualified team name; a team name is unique only within its member."""

    member: str
    team: str


class TeamHeapEntry(NamedTuple):
    """Heap entry of a team; stale once the team's share has changed.

    :ivar share: dominant share divided by quota when the entry was pushed.
    """

    share: float
    name: TeamName


class TaskHeapEntry(NamedTuple):
    """Heap entry of a pending task, in scheduling order.

    Waiting time and slack change at the same rate for all tasks, so the rank
    is a constant and the heap stays valid as time passes.

    :ivar rank_ms: monotonic time, in milliseconds; see :func:`rank_ms`.
    :ivar sequence: insertion order, which breaks ties.
    :ivar key: next attempt of the task.
    """

    rank_ms: int
    sequence: int
    key: AttemptKey


class TrackedTask(NamedTuple):
    """A pending task and its bookkeeping.

    :ivar task: the task, with its times as of ``added_ms``.
    :ivar added_ms: monotonic time of insertion, in milliseconds.
    :ivar sequence: sequence of its current heap entry; entries with the same
        key and another sequence are stale.
    :ivar dominant_share: the task's dominant share of the capacity.
    """

    task: PendingTask
    added_ms: int
    sequence: int
    dominant_share: float


def rank_ms(task: PendingTask, now_ms: int) -> int:
    """Compute a task's rank within its team.

    :param now_ms: monotonic time, in milliseconds.
    :returns: a monotonic time, in milliseconds, where smaller runs earlier:
        the time the task became pending, moved back according to its
        priority, or the time its slack reaches the urgency threshold if that
        is earlier.
    """
    effective_start_ms = (
        now_ms - task.waiting_ms - task.priority * _WAIT_MS_PER_PRIORITY
    )
    if task.slack_ms is None:
        return effective_start_ms
    return min(effective_start_ms, now_ms + task.slack_ms - _URGENT_SLACK_MS)


def with_current_times(tracked: TrackedTask, now_ms: int) -> PendingTask:
    """Update a task's waiting time and slack to the current time.

    :param now_ms: monotonic time, in milliseconds.
    """
    elapsed_ms = now_ms - tracked.added_ms
    task = tracked.task
    slack_ms = None if task.slack_ms is None else task.slack_ms - elapsed_ms
    return task._replace(
        waiting_ms=task.waiting_ms + elapsed_ms,
        slack_ms=slack_ms,
    )


def pop_stale_entries(
    heap: list[TaskHeapEntry],
    tracked_by_key: Mapping[AttemptKey, TrackedTask],
) -> None:
    """Pop the stale entries at the top of a heap.

    :param heap: task entries of a team; modified in place.
    :param tracked_by_key: tasks that are currently pending.
    """
    while heap:
        tracked = tracked_by_key.get(heap[0].key)
        if tracked is not None and tracked.sequence == heap[0].sequence:
            return
        heapq.heappop(heap)
