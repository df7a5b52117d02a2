"""Order of pending tasks: fair share by member and team, with borrowing.

Sizes of quotas count only against each other; hard limits are the caller's.

Members are rivals, so a member's priorities and deadlines order only its own
tasks; between members and teams only the share used against the quota counts.
A team without pending tasks leaves its quota to the others (borrowing): the
order never withholds a task, it only says who is next.
"""

import heapq
import itertools
from collections.abc import Callable, Mapping

from waxwingford.placement._fit import NOTHING, subtract
from waxwingford.placement._pending import (
    Known,
    TeamName,
    Turn,
    Waiting,
    as_of,
    drop_stale,
    rank_ms,
)
from waxwingford.placement._shares import Shares
from waxwingford.placement._views import PendingTask
from waxwingford.ports import Resources, TaskKey

#: Heap entries for each team before the stale ones are dropped.
_STALE_FACTOR = 8


class QuotaTracker:
    """Pending tasks and used shares; every change costs O(log n).

    :ivar shares: what members and teams use, to read.
    """

    def __init__(
        self,
        capacity: Resources,
        share_by_member: Mapping[str, float] | None = None,
        share_by_team: Mapping[TeamName, float] | None = None,
    ) -> None:
        """Start with nothing pending.

        :param capacity: all that batch work may use, for shares.
        :param share_by_member: quota of members, relative and above 0; 1 if
            missing.
        :param share_by_team: quota of teams within their member, relative and
            above 0; 1 if missing.
        """
        self.shares = Shares(capacity, share_by_member, share_by_team)
        self._sequence = itertools.count()
        self._known_by_key: dict[TaskKey, Known] = {}
        self._waiting_by_team: dict[TeamName, list[Waiting]] = {}
        self._teams_by_member: dict[str, set[TeamName]] = {}
        self._turns_by_member: dict[str, list[Turn]] = {}

    def __len__(self) -> int:
        """Count pending tasks.

        :returns: the count.
        """
        return len(self._known_by_key)

    def reweigh(
        self,
        capacity: Resources,
        share_by_member: Mapping[str, float],
        share_by_team: Mapping[TeamName, float],
    ) -> None:
        """Put other quotas in force; costs O(n), as all shares change.

        :param capacity: all that batch work may use.
        :param share_by_member: as for a new tracker.
        :param share_by_team: as for a new tracker.
        """
        used = self.shares.used_by_team()
        self.shares = Shares(capacity, share_by_member, share_by_team)
        for name, given in used.items():
            self.shares.charge(name, given)
        self._known_by_key = {
            key: known._replace(step=self.shares.dominant(known.task.resources))
            for key, known in self._known_by_key.items()
        }
        for member, teams in self._teams_by_member.items():
            self._rebuild_turns(member, teams)

    def add(self, task: PendingTask, now_ms: int) -> None:
        """Take a pending task in; adding it again changes nothing.

        :param task: the task.
        :param now_ms: monotonic time, in milliseconds.
        """
        if task.key in self._known_by_key:
            return
        sequence = next(self._sequence)
        step = self.shares.dominant(task.resources)
        self._known_by_key[task.key] = Known(task, now_ms, sequence, step)
        waiting = Waiting(rank_ms(task, now_ms), sequence, task.key)
        self._push(TeamName(task.member, task.team), waiting)

    def remove(self, key: TaskKey) -> None:
        """Forget a task that was placed, cancelled or moved elsewhere.

        Its heap entry goes when it comes up, so that a wave of cancellations
        costs O(1) for each task.

        :param key: which one.
        """
        self._known_by_key.pop(key, None)

    def charge(self, name: TeamName, given: Resources) -> None:
        """Count what a task that starts is given.

        :param name: its team.
        :param given: its size.
        """
        self.shares.charge(name, given)
        if self._waiting_by_team.get(name):
            self._queue_turn(name)

    def release(self, name: TeamName, given: Resources) -> None:
        """Give back what a task that ended was given.

        :param name: its team.
        :param given: its size.
        """
        self.charge(name, subtract(NOTHING, given))

    def member_share(self, member: str) -> float:
        """Tell a member's dominant share against its quota, for metrics.

        :param member: the member.
        :returns: largest share over the dimensions, divided by the quota.
        """
        return self.shares.of_member(member)

    def order(
        self,
        limit: int,
        now_ms: int,
        may_take: Callable[[PendingTask], bool] | None = None,
    ) -> list[PendingTask]:
        """List the most deserving tasks, each as if those before it ran.

        The tracker is the same afterwards; the cost is O(limit * log n).

        :param limit: tasks at most.
        :param now_ms: monotonic time, in milliseconds.
        :param may_take: told of each task before it is listed; where it says
            no, the task's team is left out of the rest of the list.
        :returns: tasks with waiting time and slack as of now.
        """
        extra: dict[str | TeamName, float] = {}
        closed: set[TeamName] = set()
        picked: list[Waiting] = []
        members = [
            (self.shares.of_member(member), member)
            for member in self._turns_by_member
        ]
        heapq.heapify(members)
        while len(picked) < limit:
            waiting = self._pop_next(members, extra, may_take, closed)
            if waiting is None:
                break
            picked.append(waiting)
        known = [self._known_by_key[waiting.key] for waiting in picked]
        for waiting, entry in zip(picked, known, strict=True):
            self._push(TeamName(entry.task.member, entry.task.team), waiting)
        for name in closed.union(extra):
            if isinstance(name, TeamName):
                self._queue_turn(name)
        return [as_of(entry, now_ms) for entry in known]

    def heap_entries(self) -> int:
        """Count heap entries, stale ones included, for memory figures.

        :returns: the count.
        """
        heaps = itertools.chain(
            self._waiting_by_team.values(),
            self._turns_by_member.values(),
        )
        return sum(map(len, heaps))

    def _push(self, name: TeamName, waiting: Waiting) -> None:
        heap = self._waiting_by_team.setdefault(name, [])
        self._teams_by_member.setdefault(name.member, set()).add(name)
        heapq.heappush(heap, waiting)
        if len(heap) == 1:
            self._queue_turn(name)

    def _queue_turn(self, name: TeamName) -> None:
        turns = self._turns_by_member.setdefault(name.member, [])
        heapq.heappush(turns, Turn(self.shares.of_team(name), name))
        teams = self._teams_by_member[name.member]
        if len(turns) > _STALE_FACTOR * (len(teams) + 1):
            self._rebuild_turns(name.member, teams)

    def _rebuild_turns(self, member: str, teams: set[TeamName]) -> None:
        # Turns of shares long past never come up; without this the heap
        # would grow with every start and end for as long as a daemon lives.
        turns = [
            Turn(self.shares.of_team(name), name)
            for name in teams
            if self._waiting_by_team[name]
        ]
        heapq.heapify(turns)
        self._turns_by_member[member] = turns

    def _pop_next(
        self,
        members: list[tuple[float, str]],
        extra: dict[str | TeamName, float],
        may_take: Callable[[PendingTask], bool] | None,
        closed: set[TeamName],
    ) -> Waiting | None:
        # One member's share changes with each task listed, so a heap of them
        # saves sorting all members for every task.
        while members:
            member = members[0][1]
            waiting = self._pop_of(member, extra, may_take, closed)
            if waiting is not None:
                share = self.shares.of_member(member) + extra[member]
                heapq.heapreplace(members, (share, member))
                return waiting
            heapq.heappop(members)
        return None

    def _pop_of(
        self,
        member: str,
        extra: dict[str | TeamName, float],
        may_take: Callable[[PendingTask], bool] | None,
        closed: set[TeamName],
    ) -> Waiting | None:
        turns = self._turns_by_member[member]
        while turns:
            name = turns[0].name
            heap = self._waiting_by_team[name]
            drop_stale(heap, self._known_by_key)
            present = self.shares.of_team(name) + extra.get(name, 0)
            is_present = bool(heap) and turns[0].share == present
            if is_present and name not in closed:
                task = self._known_by_key[heap[0].key].task
                if may_take is None or may_take(task):
                    return self._pop_first(name, extra)
                closed.add(name)
            heapq.heappop(turns)
        return None

    def _pop_first(
        self,
        name: TeamName,
        extra: dict[str | TeamName, float],
    ) -> Waiting:
        waiting = heapq.heappop(self._waiting_by_team[name])
        step = self._known_by_key[waiting.key].step
        for holder, part in self.shares.steps(name, step):
            extra[holder] = extra.get(holder, 0) + part
        share = self.shares.of_team(name) + extra[name]
        heapq.heapreplace(self._turns_by_member[name.member], Turn(share, name))
        return waiting
