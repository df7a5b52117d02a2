"""Queue of pending tasks, in the order in which they are placed."""

import collections
import dataclasses
import heapq
import itertools
from collections.abc import Callable, Iterable
from typing import NamedTuple

from waxwingford.batch._quotas import TeamLimits
from waxwingford.placement import PendingTask, QuotaTracker, TeamName
from waxwingford.ports import AttemptKey, Resources
from waxwingford.records import TaskStage, TaskState

#: Unsuccessful rounds after which a task is queued behind its team's others.
_OFFERS_BEFORE_DEMOTION = 8
#: Bounds the tasks of one team in a round, so that a team whose tasks fit
#: nowhere does not use up the round.
_MAX_TEAM_TASKS_PER_ROUND = 64

PendingViewFactory = Callable[[TaskState, int], PendingTask]


class Offer(NamedTuple):
    """A task that is offered to the policy in a round.

    :ivar view: view of the task for the policy.
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
    """A pending task that this daemon may claim.

    :ivar since_ms: monotonic time at which it became pending, in
        milliseconds.
    :ivar offers: number of rounds in which it was not placed.
    :ivar is_demoted: whether it is removed from the tracker until its team
        has no other tasks there.
    """

    task: TaskState
    since_ms: int
    offers: int = 0
    is_demoted: bool = False


class PendingQueue:
    """Pending tasks in the quota tracker, delayed by this daemon's rank.

    The tracker orders the tasks; the queue adds when this daemon may claim a
    task and how often it was not placed.

    :ivar tracker: tracker that orders tasks by shares, ageing and slack.
    """

    def __init__(self) -> None:
        self.tracker = QuotaTracker(Resources(1, 1, 1))
        self._deferred: list[_DeferredTask] = []
        self._order = itertools.count()
        self._entry_by_key: dict[AttemptKey, _Entry] = {}
        self._tracked_by_team: collections.Counter[TeamName] = (
            collections.Counter()
        )
        self._demoted_by_team: dict[TeamName, list[AttemptKey]] = {}

    def add(self, task: TaskState, now_ms: int, due_ms: int) -> None:
        """Add a pending task.

        :param now_ms: monotonic time, in milliseconds.
        :param due_ms: monotonic time from which this daemon may claim it, in
            milliseconds.
        """
        order = next(self._order)
        deferred = _DeferredTask(due_ms, order, task, task.attempt, now_ms)
        heapq.heappush(self._deferred, deferred)

    def has_due(self, now_ms: int) -> bool:
        """Return whether a deferred task may be claimed by now.

        :param now_ms: monotonic time, in milliseconds.
        :returns: whether ``take`` would add a task to the tracker.
        """
        return bool(self._deferred) and self._deferred[0].due_ms <= now_ms

    def offers(self, key: AttemptKey) -> int | None:
        """Return the number of rounds in which a task was not placed.

        :param key: key of its next attempt.
        :returns: the number; None before this daemon may claim it.
        """
        entry = self._entry_by_key.get(key)
        return entry.offers if entry else None

    def take(
        self,
        limit: int,
        now_ms: int,
        limits: TeamLimits,
        view: PendingViewFactory,
    ) -> list[Offer]:
        """Return the pending tasks that come first by the tracker's order.

        They stay in the tracker until they are dropped.

        :param limit: most tasks to return.
        :param now_ms: monotonic time, in milliseconds.
        :param view: builds the view of a task from its waiting time.
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
            # Cancelled tasks are dropped, so that each is checked only once.
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

    def drop(
        self, key: AttemptKey, now_ms: int, view: PendingViewFactory
    ) -> None:
        """Remove a task that is claimed or over.

        :param key: key of the attempt under which it was pending.
        :param now_ms: monotonic time, in milliseconds.
        :param view: builds the view of a task, as for ``take``.
        """
        entry = self._entry_by_key.pop(key, None)
        if entry is not None and not entry.is_demoted:
            self._untrack(key, entry, now_ms, view)

    def record_unplaced(
        self, keys: Iterable[AttemptKey], now_ms: int, view: PendingViewFactory
    ) -> None:
        """Count a round in which tasks were not placed.

        :param now_ms: monotonic time, in milliseconds.
        :param view: builds the view of a task, as for ``take``.
        """
        for key in keys:
            entry = self._entry_by_key[key]
            entry.offers += 1
            if entry.offers % _OFFERS_BEFORE_DEMOTION == 0:
                # Tasks that fit nowhere must not starve the smaller ones of
                # their team.
                entry.is_demoted = True
                team = _team_of(entry.task)
                self._demoted_by_team.setdefault(team, []).append(key)
                self._untrack(key, entry, now_ms, view)

    def _admit_due(self, now_ms: int, view: PendingViewFactory) -> None:
        while self.has_due(now_ms):
            deferred = heapq.heappop(self._deferred)
            task = deferred.task
            key = AttemptKey(task.task_id, deferred.attempt + 1)
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
        self,
        key: AttemptKey,
        entry: _Entry,
        now_ms: int,
        view: PendingViewFactory,
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

    def _is_still_pending(self, key: AttemptKey) -> bool:
        entry = self._entry_by_key.get(key)
        return (
            entry is not None
            and entry.task.stage == TaskStage.pending
            and entry.task.next_key == key
        )


class _LimitFilter:
    """Accepts tasks within the limits of their teams, counting each."""

    def __init__(
        self, limits: TeamLimits, entry_by_key: dict[AttemptKey, _Entry]
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
