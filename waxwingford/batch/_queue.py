"""Pending tasks in the order in which this daemon tries to place them."""

import heapq
import itertools
import sys
from collections.abc import Callable, Iterator
from typing import NamedTuple

from waxwingford.records import TaskStage, TaskState, team_key

#: Sorts tasks without a deadline behind those with one.
_NO_DEADLINE_MS = sys.maxsize
#: A task that found no place so often goes behind those tried less often.
_ROUND_PASSES = 8
#: Tasks of one team tried in one round.
_TEAM_ROUND = 64


class _Turn(NamedTuple):
    round: int
    urgency: int
    finish_by_wall_ms: int
    order: int
    task: TaskState
    attempt: int
    passes: int


class _Later(NamedTuple):
    due_ms: int
    order: int
    task: TaskState
    attempt: int


class PendingQueue:
    """Pending tasks by team; a task of another daemon's comes in later.

    Teams take turns, so that one team's wave does not hold up the others, and
    a task that found no place goes behind the others of its team.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._turns_by_team: dict[str, list[_Turn]] = {}
        self._later: list[_Later] = []
        self._order = itertools.count()
        #: Of the tasks taken in the present round.
        self._passes_by_id: dict[str, int] = {}

    def add(self, task: TaskState, due_ms: int) -> None:
        """Enter a pending task.

        :param task: the task.
        :param due_ms: monotonic time from which this daemon may claim it.
        """
        later = _Later(due_ms, next(self._order), task, task.attempt)
        heapq.heappush(self._later, later)

    def has_due(self, now_ms: int) -> bool:
        """Tell whether a task has come in, or its turn here has come.

        :param now_ms: monotonic time.
        :returns: whether ``take`` would bring one in.
        """
        return bool(self._later) and self._later[0].due_ms <= now_ms

    def take(
        self,
        limit: int,
        now_ms: int,
        has_quota: Callable[[TaskState], bool],
    ) -> list[TaskState]:
        """Take tasks that are still pending, teams in turn.

        :param limit: tasks at most.
        :param now_ms: monotonic time.
        :param has_quota: whether a task's team may use more.
        :returns: tasks, those of each team in their order.
        """
        self._bring_in(now_ms)
        self._passes_by_id.clear()
        per_team = max(1, min(_TEAM_ROUND, limit))
        taken: list[TaskState] = []
        for team in list(self._turns_by_team):
            if len(taken) >= limit:
                break
            room = min(per_team, limit - len(taken))
            taken.extend(self._take_team(team, room, has_quota))
        return taken

    def put_back(self, task: TaskState) -> None:
        """Enter a task again that found no place in this round.

        :param task: the task, as taken.
        """
        self._push(task, self._passes_by_id.get(task.task_id, 0) + 1)

    def _bring_in(self, now_ms: int) -> None:
        while self._later and self._later[0].due_ms <= now_ms:
            later = heapq.heappop(self._later)
            if _is_open(later.task, later.attempt):
                self._push(later.task, 0)

    def _push(self, task: TaskState, passes: int) -> None:
        spec = task.job.spec
        turn = _Turn(
            passes // _ROUND_PASSES,
            -spec.priority,
            spec.finish_by_wall_ms or _NO_DEADLINE_MS,
            next(self._order),
            task,
            task.attempt,
            passes,
        )
        turns = self._turns_by_team.setdefault(team_key(spec), [])
        heapq.heappush(turns, turn)

    def _take_team(
        self, team: str, room: int, has_quota: Callable[[TaskState], bool]
    ) -> Iterator[TaskState]:
        # The team goes behind the others, or away if nothing of it is left.
        turns = self._turns_by_team.pop(team)
        taken = 0
        while turns and taken < room and has_quota(turns[0].task):
            turn = heapq.heappop(turns)
            if _is_open(turn.task, turn.attempt):
                taken += 1
                self._passes_by_id[turn.task.task_id] = turn.passes
                yield turn.task
        while turns and not _is_open(turns[0].task, turns[0].attempt):
            heapq.heappop(turns)
        if turns:
            self._turns_by_team[team] = turns


def _is_open(task: TaskState, attempt: int) -> bool:
    return task.stage == TaskStage.pending and task.attempt == attempt
