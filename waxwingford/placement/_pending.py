"""Pending tasks as the quota tracker keeps them: ranks and heap entries."""

import heapq
from collections.abc import Mapping
from typing import NamedTuple

from waxwingford.placement._views import PendingTask
from waxwingford.ports import TaskKey

#: One step of priority is worth so much waiting time.
_PRIORITY_STEP_MS = 6000
#: A task becomes urgent when its slack falls below this.
_SLACK_LEAD_MS = 600_000


class TeamName(NamedTuple):
    """A team of a member; names of teams are not unique between members.

    :ivar member: owner.
    :ivar team: team of the owner.
    """

    member: str
    team: str


class Turn(NamedTuple):
    """Heap entry of a team; stale once the team's share has changed.

    :ivar share: the team's share when the entry was made.
    :ivar name: the team.
    """

    share: float
    name: TeamName


class Waiting(NamedTuple):
    """Heap entry of a pending task; smaller goes first.

    Ageing and falling slack move all entries alike, so the rank is a fixed
    point in time and the heap never has to be rebuilt as time passes.

    :ivar rank_ms: monotonic time from which on it counts as waiting.
    :ivar sequence: first come, first served among equals.
    :ivar key: the task.
    """

    rank_ms: int
    sequence: int
    key: TaskKey


class Known(NamedTuple):
    """A pending task with the time at which its times were read.

    :ivar task: as added.
    :ivar added_ms: monotonic time of that, in milliseconds.
    :ivar sequence: of its heap entry; others with its key are stale.
    :ivar step: its dominant share of the capacity.
    """

    task: PendingTask
    added_ms: int
    sequence: int
    step: float


def rank_ms(task: PendingTask, now_ms: int) -> int:
    """Rank a task within its team.

    :param task: the task.
    :param now_ms: monotonic time, in milliseconds.
    :returns: smaller is sooner; the time it began to wait, moved back by its
        priority, or the time at which it became urgent.
    """
    since_ms = now_ms - task.waiting_ms - task.priority * _PRIORITY_STEP_MS
    if task.slack_ms is None:
        return since_ms
    return min(since_ms, now_ms + task.slack_ms - _SLACK_LEAD_MS)


def as_of(known: Known, now_ms: int) -> PendingTask:
    """Bring a task's times up to date.

    :param known: task with the time of its times.
    :param now_ms: monotonic time, in milliseconds.
    :returns: the task as of now.
    """
    passed_ms = now_ms - known.added_ms
    task = known.task
    slack_ms = None if task.slack_ms is None else task.slack_ms - passed_ms
    return task._replace(
        waiting_ms=task.waiting_ms + passed_ms,
        slack_ms=slack_ms,
    )


def drop_stale(
    heap: list[Waiting],
    known_by_key: Mapping[TaskKey, Known],
) -> None:
    """Drop heap entries of tasks that were removed, as far as they are first.

    :param heap: entries of a team; changed in place.
    :param known_by_key: tasks that are pending now.
    """
    while heap:
        known = known_by_key.get(heap[0].key)
        if known is not None and known.sequence == heap[0].sequence:
            return
        heapq.heappop(heap)
