"""Pending tasks in the order in which this daemon tries to place them."""

import collections
import dataclasses
import heapq
import itertools
from collections.abc import Callable, Iterable
from typing import NamedTuple

from waxwingford.batch._quotas import Limits
from waxwingford.placement import PendingTask, QuotaTracker, TeamName
from waxwingford.ports import Resources, TaskKey
from waxwingford.records import TaskStage, TaskState

#: A task that found no place so often goes behind the others of its team.
_OFFERS_IN_TURN = 8
#: Tasks of one team tried in one round, so that a team whose tasks fit
#: nowhere does not use up the whole round.
_TEAM_ROUND = 64

ViewTask = Callable[[TaskState, int], PendingTask]


class Offer(NamedTuple):
    """A task taken for a round.

    :ivar task: the task.
    :ivar view: what the policy is shown of it.
    """

    task: TaskState
    view: PendingTask


class _Later(NamedTuple):
    due_ms: int
    order: int
    task: TaskState
    attempt: int
    since_ms: int


@dataclasses.dataclass(slots=True, eq=False)
class _Entry:
    """A task whose turn here has come.

    :ivar task: the task.
    :ivar since_ms: monotonic time since which it waits.
    :ivar offers: rounds in which it found no place.
    :ivar is_aside: out of the tracker until its team has nothing else.
    """

    task: TaskState
    since_ms: int
    offers: int = 0
    is_aside: bool = False


class PendingQueue:
    """Pending tasks in the quota tracker; a task of another daemon's comes later.

    The tracker says who deserves most; here is only what is this daemon's own:
    whose turn has come, and which tasks found no place.

    :ivar tracker: order by shares, ageing and slack.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.tracker = QuotaTracker(Resources(1, 1, 1))
        self._later: list[_Later] = []
        self._order = itertools.count()
        self._entry_by_key: dict[TaskKey, _Entry] = {}
        self._in_tracker: collections.Counter[TeamName] = collections.Counter()
        self._aside_by_team: dict[TeamName, list[TaskKey]] = {}

    def add(self, task: TaskState, now_ms: int, due_ms: int) -> None:
        """Enter a pending task.

        :param task: the task.
        :param now_ms: monotonic time.
        :param due_ms: monotonic time from which this daemon may claim it.
        """
        order = next(self._order)
        later = _Later(due_ms, order, task, task.attempt, now_ms)
        heapq.heappush(self._later, later)

    def has_due(self, now_ms: int) -> bool:
        """Tell whether a task has come in, or its turn here has come.

        :param now_ms: monotonic time.
        :returns: whether ``take`` would bring one in.
        """
        return bool(self._later) and self._later[0].due_ms <= now_ms

    def offers(self, key: TaskKey) -> int | None:
        """Count the rounds in which a task found no place here.

        :param key: its next attempt.
        :returns: the count; None before its turn here has come.
        """
        entry = self._entry_by_key.get(key)
        return entry.offers if entry else None

    def take(
        self, limit: int, now_ms: int, limits: Limits, view: ViewTask
    ) -> list[Offer]:
        """List the most deserving tasks that are still pending.

        They stay in the tracker until they are dropped or put back.

        :param limit: tasks at most.
        :param now_ms: monotonic time.
        :param limits: hard limits of teams.
        :param view: shows a task, given how long it waits.
        :returns: tasks, most deserving first.
        """
        self._bring_in(now_ms, view)
        while True:
            counted = _Counted(limits.copy(), self._entry_by_key)
            ordered = self.tracker.order(limit, now_ms, counted.take)
            over = [one.key for one in ordered if not self._is_open(one.key)]
            if not over:
                break
            # Each task that was cancelled costs one look, not one a round.
            for key in over:
                self.drop(key, now_ms, view)
        tasks = [self._entry_by_key[one.key].task for one in ordered]
        return [
            Offer(task, view(task, one.waiting_ms))
            for task, one in zip(tasks, ordered, strict=True)
        ]

    def drop(self, key: TaskKey, now_ms: int, view: ViewTask) -> None:
        """Forget a task that is claimed or over.

        :param key: the attempt under which it was pending.
        :param now_ms: monotonic time.
        :param view: as for ``take``.
        """
        entry = self._entry_by_key.pop(key, None)
        if entry is not None and not entry.is_aside:
            self._leave_tracker(key, entry, now_ms, view)

    def put_back(
        self, keys: Iterable[TaskKey], now_ms: int, view: ViewTask
    ) -> None:
        """Note tasks that found no place in this round.

        :param keys: as taken.
        :param now_ms: monotonic time.
        :param view: as for ``take``.
        """
        for key in keys:
            entry = self._entry_by_key[key]
            entry.offers += 1
            if entry.offers % _OFFERS_IN_TURN == 0:
                # Without this, tasks that fit nowhere at present would hold up
                # the smaller ones of their team for ever.
                entry.is_aside = True
                team = _team_of(entry.task)
                self._aside_by_team.setdefault(team, []).append(key)
                self._leave_tracker(key, entry, now_ms, view)

    def _bring_in(self, now_ms: int, view: ViewTask) -> None:
        while self.has_due(now_ms):
            later = heapq.heappop(self._later)
            task = later.task
            key = TaskKey(task.task_id, later.attempt + 1)
            is_open = task.stage == TaskStage.pending and task.next_key == key
            if is_open and key not in self._entry_by_key:
                entry = _Entry(task, later.since_ms)
                self._entry_by_key[key] = entry
                self._enter_tracker(entry, now_ms, view)

    def _enter_tracker(
        self, entry: _Entry, now_ms: int, view: ViewTask
    ) -> None:
        self.tracker.add(view(entry.task, now_ms - entry.since_ms), now_ms)
        self._in_tracker[_team_of(entry.task)] += 1

    def _leave_tracker(
        self, key: TaskKey, entry: _Entry, now_ms: int, view: ViewTask
    ) -> None:
        self.tracker.remove(key)
        team = _team_of(entry.task)
        self._in_tracker[team] -= 1
        if self._in_tracker[team]:
            return
        self._in_tracker.pop(team)
        for aside in self._aside_by_team.pop(team, ()):
            if self._is_open(aside):
                self._entry_by_key[aside].is_aside = False
                self._enter_tracker(self._entry_by_key[aside], now_ms, view)
            else:
                self._entry_by_key.pop(aside, None)

    def _is_open(self, key: TaskKey) -> bool:
        entry = self._entry_by_key.get(key)
        return (
            entry is not None
            and entry.task.stage == TaskStage.pending
            and entry.task.next_key == key
        )


class _Counted:
    """Hard limits and tasks of each team, counting what is listed."""

    def __init__(
        self, limits: Limits, entry_by_key: dict[TaskKey, _Entry]
    ) -> None:
        self._limits = limits
        self._entry_by_key = entry_by_key
        self._taken: collections.Counter[TeamName] = collections.Counter()

    def take(self, view: PendingTask) -> bool:
        task = self._entry_by_key[view.key].task
        team = TeamName(view.member, view.team)
        if self._taken[team] >= _TEAM_ROUND or not self._limits.has_room(task):
            return False
        self._taken[team] += 1
        self._limits.note_claimed(task)
        return True


def _team_of(task: TaskState) -> TeamName:
    return TeamName(task.job.spec.member, task.job.spec.team)
