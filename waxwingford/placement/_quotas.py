"""Weighted dominant resource fairness over members and teams, with borrowing.

Quotas are relative weights; hard limits are enforced by the caller.

Priorities and deadlines order tasks only within a team, so that a member
cannot advance its tasks at the expense of others; members and teams are ordered
by their dominant share divided by their quota.  Unused quota is borrowed by
teams that have pending tasks.
"""

import heapq
import itertools
from collections.abc import Callable, Mapping

from waxwingford.placement._fit import NO_RESOURCES, subtract
from waxwingford.placement._pending import (
    TaskHeapEntry,
    TeamHeapEntry,
    TeamName,
    TrackedTask,
    pop_stale_entries,
    rank_ms,
    with_current_times,
)
from waxwingford.placement._shares import DominantShares
from waxwingford.placement._views import PendingTask
from waxwingford.ports import AttemptKey, Resources

#: Heap entries per team above which stale entries are removed.
_MAX_ENTRIES_PER_TEAM = 8


class QuotaTracker:
    """Pending tasks in fair order; changes cost O(log n).

    :ivar shares: usage of members and teams; read-only for callers.
    """

    def __init__(
        self,
        capacity: Resources,
        quota_by_member: Mapping[str, float] | None = None,
        quota_by_team: Mapping[TeamName, float] | None = None,
    ) -> None:
        """Create an empty tracker.

        :param capacity: total capacity for batch work.
        :param quota_by_member: relative quotas, positive; 1 if missing.
        :param quota_by_team: relative quotas within the member, positive; 1
            if missing.
        """
        self.shares = DominantShares(capacity, quota_by_member, quota_by_team)
        self._sequence = itertools.count()
        self._tracked_by_key: dict[AttemptKey, TrackedTask] = {}
        self._task_heap_by_team: dict[TeamName, list[TaskHeapEntry]] = {}
        self._teams_by_member: dict[str, set[TeamName]] = {}
        self._team_heap_by_member: dict[str, list[TeamHeapEntry]] = {}

    def __len__(self) -> int:
        """Count the pending tasks."""
        return len(self._tracked_by_key)

    def update_quotas(
        self,
        capacity: Resources,
        quota_by_member: Mapping[str, float],
        quota_by_team: Mapping[TeamName, float],
    ) -> None:
        """Replace the capacity and quotas and recompute all shares in O(n).

        :param capacity: total capacity for batch work.
        :param quota_by_member: relative quotas, positive; 1 if missing.
        :param quota_by_team: relative quotas within the member, positive; 1
            if missing.
        """
        used_by_team = self.shares.used_by_team()
        self.shares = DominantShares(capacity, quota_by_member, quota_by_team)
        for name, allocated in used_by_team.items():
            self.shares.charge(name, allocated)
        self._tracked_by_key = {
            key: tracked._replace(
                dominant_share=self.shares.dominant_share(
                    tracked.task.resources
                )
            )
            for key, tracked in self._tracked_by_key.items()
        }
        for member, teams in self._teams_by_member.items():
            self._rebuild_team_heap(member, teams)

    def add(self, task: PendingTask, now_ms: int) -> None:
        """Add a pending task; has no effect if it is already tracked.

        :param now_ms: monotonic time, in milliseconds.
        """
        if task.key in self._tracked_by_key:
            return
        sequence = next(self._sequence)
        dominant_share = self.shares.dominant_share(task.resources)
        self._tracked_by_key[task.key] = TrackedTask(
            task, now_ms, sequence, dominant_share
        )
        entry = TaskHeapEntry(rank_ms(task, now_ms), sequence, task.key)
        self._push_task(TeamName(task.member, task.team), entry)

    def remove(self, key: AttemptKey) -> None:
        """Remove a task that was placed, cancelled or moved elsewhere.

        Takes O(1): the task's heap entry is discarded lazily.

        :param key: attempt under which the task was added.
        """
        self._tracked_by_key.pop(key, None)

    def charge(self, name: TeamName, allocated: Resources) -> None:
        """Charge a team for a task that starts."""
        self.shares.charge(name, allocated)
        if self._task_heap_by_team.get(name):
            self._push_team(name)

    def release(self, name: TeamName, allocated: Resources) -> None:
        """Release a team's charge for a task that ended."""
        self.charge(name, subtract(NO_RESOURCES, allocated))

    def member_share(self, member: str) -> float:
        """Look up a member's dominant share, weighted by its quota.

        :returns: dominant share of the capacity divided by the quota.
        """
        return self.shares.of_member(member)

    def order(
        self,
        limit: int,
        now_ms: int,
        is_eligible: Callable[[PendingTask], bool] | None = None,
    ) -> list[PendingTask]:
        """List the next tasks in fair order.

        Each task is charged to its owners' shares before the next one is
        chosen.  Leaves the usage and the pending tasks unchanged; takes
        O(limit * log n).

        :param now_ms: monotonic time, in milliseconds.
        :param is_eligible: predicate called for each task before it is listed;
            if it returns False, the task's team is excluded from the rest of
            the list.  None accepts all tasks.
        :returns: tasks with current waiting time and slack, next one first.
        """
        added_share: dict[str | TeamName, float] = {}
        excluded_teams: set[TeamName] = set()
        selected: list[TaskHeapEntry] = []
        members = [
            (self.shares.of_member(member), member)
            for member in self._team_heap_by_member
        ]
        heapq.heapify(members)
        while len(selected) < limit:
            entry = self._pop_next(
                members, added_share, is_eligible, excluded_teams
            )
            if entry is None:
                break
            selected.append(entry)
        tracked_tasks = [self._tracked_by_key[entry.key] for entry in selected]
        for entry, tracked in zip(selected, tracked_tasks, strict=True):
            self._push_task(
                TeamName(tracked.task.member, tracked.task.team), entry
            )
        for name in excluded_teams.union(added_share):
            if isinstance(name, TeamName):
                self._push_team(name)
        return [
            with_current_times(tracked, now_ms) for tracked in tracked_tasks
        ]

    def count_heap_entries(self) -> int:
        """Count the heap entries, including stale ones."""
        heaps = itertools.chain(
            self._task_heap_by_team.values(),
            self._team_heap_by_member.values(),
        )
        return sum(map(len, heaps))

    def _push_task(self, name: TeamName, entry: TaskHeapEntry) -> None:
        task_heap = self._task_heap_by_team.setdefault(name, [])
        self._teams_by_member.setdefault(name.member, set()).add(name)
        heapq.heappush(task_heap, entry)
        if len(task_heap) == 1:
            self._push_team(name)

    def _push_team(self, name: TeamName) -> None:
        team_heap = self._team_heap_by_member.setdefault(name.member, [])
        heapq.heappush(
            team_heap, TeamHeapEntry(self.shares.of_team(name), name)
        )
        teams = self._teams_by_member[name.member]
        if len(team_heap) > _MAX_ENTRIES_PER_TEAM * (len(teams) + 1):
            self._rebuild_team_heap(name.member, teams)

    def _rebuild_team_heap(self, member: str, teams: set[TeamName]) -> None:
        # Stale entries below the top are never popped; without a rebuild the
        # heap would grow with every task that starts or ends.
        team_heap = [
            TeamHeapEntry(self.shares.of_team(name), name)
            for name in teams
            if self._task_heap_by_team[name]
        ]
        heapq.heapify(team_heap)
        self._team_heap_by_member[member] = team_heap

    def _pop_next(
        self,
        members: list[tuple[float, str]],
        added_share: dict[str | TeamName, float],
        is_eligible: Callable[[PendingTask], bool] | None,
        excluded_teams: set[TeamName],
    ) -> TaskHeapEntry | None:
        # Each listed task changes the share of one member only, so a heap
        # avoids sorting all members for every task.
        while members:
            member = members[0][1]
            entry = self._pop_next_of_member(
                member, added_share, is_eligible, excluded_teams
            )
            if entry is not None:
                share = self.shares.of_member(member) + added_share[member]
                heapq.heapreplace(members, (share, member))
                return entry
            heapq.heappop(members)
        return None

    def _pop_next_of_member(
        self,
        member: str,
        added_share: dict[str | TeamName, float],
        is_eligible: Callable[[PendingTask], bool] | None,
        excluded_teams: set[TeamName],
    ) -> TaskHeapEntry | None:
        team_heap = self._team_heap_by_member[member]
        while team_heap:
            name = team_heap[0].name
            task_heap = self._task_heap_by_team[name]
            pop_stale_entries(task_heap, self._tracked_by_key)
            current_share = self.shares.of_team(name) + added_share.get(name, 0)
            is_current = bool(task_heap) and team_heap[0].share == current_share
            if is_current and name not in excluded_teams:
                task = self._tracked_by_key[task_heap[0].key].task
                if is_eligible is None or is_eligible(task):
                    return self._pop_first_of_team(name, added_share)
                excluded_teams.add(name)
            heapq.heappop(team_heap)
        return None

    def _pop_first_of_team(
        self,
        name: TeamName,
        added_share: dict[str | TeamName, float],
    ) -> TaskHeapEntry:
        entry = heapq.heappop(self._task_heap_by_team[name])
        dominant_share = self._tracked_by_key[entry.key].dominant_share
        for holder, part in self.shares.share_increments(name, dominant_share):
            added_share[holder] = added_share.get(holder, 0) + part
        share = self.shares.of_team(name) + added_share[name]
        heapq.heapreplace(
            self._team_heap_by_member[name.member], TeamHeapEntry(share, name)
        )
        return entry
