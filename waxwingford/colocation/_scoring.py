"""Choice of a server for a pending task."""

import math
import random
from typing import NamedTuple

from waxwingford.colocation._room import Room
from waxwingford.colocation._state import Foresight, Outlook
from waxwingford.placement import PendingTask, Placement

#: Standard deviations of what is not known that count as damage.
_CAUTION = 0.2
#: What a task may add beyond the limit when its deadline is near.
_HURRY_ALLOWANCE = 0.06
_HURRY_SLACK_MS = 60_000
#: Servers looked at for one task; more cost time and hardly place better.
_CANDIDATES = 24


class _Candidate(NamedTuple):
    """A server on which a task may go.

    :ivar score: smaller is better.
    :ivar change: what this pass adds to the tail, with the task.
    :ivar server_id: which server.
    """

    score: float
    change: float
    server_id: str


class Scorer:
    """Places the tasks of one pass."""

    def __init__(
        self,
        foresight: Foresight,
        outlooks: list[Outlook],
        numbers: random.Random,
    ) -> None:
        """Set up.

        :param foresight: predictions of this pass.
        :param outlooks: of the servers that take new work.
        :param numbers: random numbers.
        """
        self._foresight = foresight
        self._random = numbers
        self._outlooks = outlooks
        self._room = Room([outlook.server for outlook in outlooks])
        #: What placements of this pass add to the tail's logarithm.
        self._change_by_id: dict[str, float] = {}

    def place(self, task: PendingTask) -> Placement | None:
        """Choose the best server that stays within its limit.

        :param task: what to place.
        :returns: decision, or None if there is no such server.
        """
        candidates = [
            candidate
            for outlook in self._candidates_of_pass()
            if (candidate := self._candidate(task, outlook)) is not None
        ]
        if not candidates:
            return None
        best = min(candidates)
        self._change_by_id[best.server_id] = best.change
        self._room.take(task, best.server_id)
        return Placement(task.key, best.server_id)

    def _candidates_of_pass(self) -> list[Outlook]:
        if len(self._outlooks) <= _CANDIDATES:
            return self._outlooks
        return self._random.sample(self._outlooks, _CANDIDATES)

    def _candidate(
        self,
        task: PendingTask,
        outlook: Outlook,
    ) -> _Candidate | None:
        server = outlook.server
        if not self._room.admits(task, server):
            return None
        effect = self._foresight.effect(
            server.service,
            task.kind,
            outlook.load,
        )
        units = self._foresight.uses.units(task.kind, task.resources)
        change = self._change_by_id.get(server.server_id, 0)
        change += max(effect.mean, 0) * units
        score = self._foresight.tail_after(outlook, change)
        score += _CAUTION * math.sqrt(effect.variance) * units
        if score > outlook.limits.place + _allowance(task):
            return None
        return _Candidate(score, change, server.server_id)


def _allowance(task: PendingTask) -> float:
    if task.slack_ms is None or task.slack_ms > _HURRY_SLACK_MS:
        return 0
    return _HURRY_ALLOWANCE
