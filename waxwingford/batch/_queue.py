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
_OFFERS_BEFORE_DEMOTION = 8
#: Tasks of one team tried in one round, so that a team whose tasks fit
#: nowhere does not use up the whole round.
_MAX_TEAM_TASKS_PER_ROUND = 64

PendingViewFactory = Callable[[TaskState, int], PendingTask]


class Offer(NamedTuple):
    """A task taken for a round.

    :ivar task: the task.
    :ivar view: what the policy is shown of it.
    """

    task: TaskState
    view: PendingTask


class _DeferredTask(NamedTuple):
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
    :ivar is_demoted: out of the tracker until its team has nothing else.
    """

    task: TaskState
    since_ms: int
    offers: int = 0
    is_demoted: bool = False


class PendingQueue:
    """Pending tasks in the quota tracker; a task of another daemon's comes deferred.

    The tracker says who deserves most; here is only what is this daemon's own:
    whose turn has come, and which tasks found no place.

    :ivar tracker: order by shares, ageing and slack.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.tracker = QuotaTracker(Resources(1, 1, 1))
        self._deferred: list[_DeferredTask] = []
        self._order = itertools.count()
        self._entry_by_key: dict[TaskKey, _Entry] = {}
        self._tracked_by_team: collections.Counter[TeamName] = (
            collections.Counter()
        )
        self._demoted_by_team: dict[TeamName, list[TaskKey]] = {}

    def add(self, task: TaskState, now_ms: int, due_ms: int) -> None:
        """Enter a pending task.

        :param task: the task.
        :param now_ms: monotonic time, in milliseconds.
        :param due_ms: monotonic time from which this daemon may claim it.
        """
        order = next(self._order)
        deferred = _DeferredTask(due_ms, order, task, task.attempt, now_ms)
        heapq.heappush(self._deferred, deferred)

    def has_due(self, now_ms: int) -> bool:
        """Tell whether a task has come in, or its turn here has come.

        :param now_ms: monotonic time, in milliseconds.
        :returns: whether ``take`` would bring one in.
        """
        return bool(self._deferred) and self._deferred[0].due_ms <= now_ms

    def offers(self, key: TaskKey) -> int | None:
        """Count the rounds in which a task found no place here.

        :param key: its next attempt.
        :returns: the count; None before its turn here has come.
        """
        entry = self._entry_by_key.get(key)
        return entry.offers if entry else None

    def take(
        self, limit: int, now_ms: int, limits: Limits, view: PendingViewFactory
    ) -> list[Offer]:
        """List the most deserving tasks that are still pending.

        They stay in the tracker until they are dropped or put back.

        :param limit: tasks at most.
        :param now_ms: monotonic time, in milliseconds.
        :param limits: hard limits of teams.
        :param view: shows a task, given how long it waits.
        :returns: tasks, most deserving first.
        """
        self._admit_due(now_ms, view)
        while True:
            limit_filter = _LimitFilter(limits.copy(), self._entry_by_key)
            ordered = self.tracker.order(limit, now_ms, limit_filter.accepts)
            closed = [
                ordered_task.key
                for ordered_task in ordered
                if not self._is_still_pending(ordered_task.key)
            ]
            if not closed:
                break
            # Each task that was cancelled costs one look, not one a round.
            for key in closed:
                self.drop(key, now_ms, view)
        tasks = [
            self._entry_by_key[ordered_task.key].task
            for ordered_task in ordered
        ]
        return [
            Offer(task, view(task, ordered_task.waiting_ms))
            for task, ordered_task in zip(tasks, ordered, strict=True)
        ]

    def drop(self, key: TaskKey, now_ms: int, view: PendingViewFactory) -> None:
        """Forget a task that is claimed or over.

        :param key: the attempt under which it was pending.
        :param now_ms: monotonic time, in milliseconds.
        :param view: as for ``take``.
        """
        entry = self._entry_by_key.pop(key, None)
        if entry is not None and not entry.is_demoted:
            self._untrack(key, entry, now_ms, view)

    def record_unplaced(
        self, keys: Iterable[TaskKey], now_ms: int, view: PendingViewFactory
    ) -> None:
        """Note tasks that found no place in this round.

        :param keys: as taken.
        :param now_ms: monotonic time, in milliseconds.
        :param view: as for ``take``.
        """
        for key in keys:
            entry = self._entry_by_key[key]
            entry.offers += 1
            if entry.offers % _OFFERS_BEFORE_DEMOTION == 0:
                # Without this, tasks that fit nowhere at present would hold up
                # the smaller ones of their team for ever.
                entry.is_demoted = True
                team = _team_of(entry.task)
                self._demoted_by_team.setdefault(team, []).append(key)
                self._untrack(key, entry, now_ms, view)

    def _admit_due(self, now_ms: int, view: PendingViewFactory) -> None:
        while self.has_due(now_ms):
            deferred = heapq.heappop(self._deferred)
            task = deferred.task
            key = TaskKey(task.task_id, deferred.attempt + 1)
            is_open = task.stage == TaskStage.pending and task.next_key == key
            if is_open and key not in self._entry_by_key:
                entry = _Entry(task, deferred.since_ms)
                self._entry_by_key[key] = entry
                self._track(entry, now_ms, view)

    def _track(
        self, entry: _Entry, now_ms: int, view: PendingViewFactory
    ) -> None:
        self.tracker.add(view(entry.task, now_ms - entry.since_ms), now_ms)
        self._tracked_by_team[_team_of(entry.task)] += 1

    def _untrack(
        self, key: TaskKey, entry: _Entry, now_ms: int, view: PendingViewFactory
    ) -> None:
        self.tracker.remove(key)
        team = _team_of(entry.task)
        self._tracked_by_team[team] -= 1
        if self._tracked_by_team[team]:
            return
        self._tracked_by_team.pop(team)
        for demoted in self._demoted_by_team.pop(team, ()):
            if self._is_still_pending(demoted):
                self._entry_by_key[demoted].is_demoted = False
                self._track(self._entry_by_key[demoted], now_ms, view)
            else:
                self._entry_by_key.pop(demoted, None)

    def _is_still_pending(self, key: TaskKey) -> bool:
        entry = self._entry_by_key.get(key)
        return (
            entry is not None
            and entry.task.stage == TaskStage.pending
            and entry.task.next_key == key
        )


class _LimitFilter:
    """Hard limits and tasks of each team, counting what is listed."""

    def __init__(
        self, limits: Limits, entry_by_key: dict[TaskKey, _Entry]
    ) -> None:
        self._limits = limits
        self._entry_by_key = entry_by_key
        self._accepted_by_team: collections.Counter[TeamName] = (
            collections.Counter()
        )

    def accepts(self, view: PendingTask) -> bool:
        task = self._entry_by_key[view.key].task
        team = TeamName(view.member, view.team)
        if self._accepted_by_team[
            team
        ] >= _MAX_TEAM_TASKS_PER_ROUND or not self._limits.has_room(task):
            return False
        self._accepted_by_team[team] += 1
        self._limits.count_claim(task)
        return True


def _team_of(task: TaskState) -> TeamName:
    return TeamName(task.job.spec.member, task.job.spec.team)
