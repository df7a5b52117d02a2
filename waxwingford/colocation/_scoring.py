"""Choice of a server for a pending task."""

import math
from typing import NamedTuple

from waxwingford.colocation._mechanisms import Mechanisms
from waxwingford.colocation._room import Room
from waxwingford.colocation._state import Foresight, Outlook
from waxwingford.placement import PendingTask, Placement

#: Standard deviations of what is not known that count as damage.
_CAUTION = 0.5
#: Share of the servers on which kinds hardly known may be tried at once.
_EXPLORED_SHARE = 0.1
#: An effect is hardly known while its standard deviation is above this.
_UNKNOWN_DEVIATION = 0.08
#: Room to the limit that a server must have for a trial.
_EXPLORED_SLACK = 0.1
#: Price of each point against the tail's logarithm.
_FRAGMENT_PRICE = 0.02
_RACK_PRICE = 0.02
_LOCALITY_PRICE = 0.02
_HURRY_ALLOWANCE = 0.06
_HURRY_SLACK_MS = 60_000


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
        now_ms: int,
        mechanisms: Mechanisms,
    ) -> None:
        """Set up.

        :param foresight: predictions of this pass.
        :param outlooks: of the servers that the daemon holds.
        :param now_ms: monotonic time, in milliseconds.
        :param mechanisms: parts to use.
        """
        self._foresight = foresight
        self._mechanisms = mechanisms
        self._outlooks = [
            outlook
            for outlook in outlooks
            if outlook.state.closed_until_ms <= now_ms
        ]
        self._room = Room([outlook.server for outlook in outlooks])
        #: What placements of this pass add to the tail's logarithm.
        self._change_by_id = {
            outlook.server.server_id: 0.0 for outlook in outlooks
        }
        self._trials = max(1, int(_EXPLORED_SHARE * len(outlooks)))

    def place(self, task: PendingTask) -> Placement | None:
        """Choose the best server that stays within its limit.

        :param task: what to place.
        :returns: decision, or None if there is no such server.
        """
        candidates = [
            candidate
            for outlook in self._outlooks
            if (candidate := self._candidate(task, outlook)) is not None
        ]
        if not candidates:
            return None
        best = min(candidates)
        self._change_by_id[best.server_id] = best.change
        self._room.take(task, best.server_id)
        return Placement(task.key, best.server_id)

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
        deviation = math.sqrt(effect.variance)
        change = self._change_by_id[server.server_id]
        change += max(effect.mean, 0) * units
        tail = self._foresight.tail_after(outlook, change)
        risk = _CAUTION * deviation * units
        if self._may_try(deviation, outlook.limits.place - tail):
            risk = 0
        if tail + risk > outlook.limits.place + _allowance(task):
            return None
        score = tail + risk + self._extras(task, outlook)
        return _Candidate(score, change, server.server_id)

    def _may_try(self, deviation: float, slack: float) -> bool:
        if not self._mechanisms.exploration:
            return False
        return deviation > _UNKNOWN_DEVIATION and slack > _EXPLORED_SLACK

    def _extras(self, task: PendingTask, outlook: Outlook) -> float:
        server = outlook.server
        extra: float = 0
        if self._mechanisms.fragmentation:
            extra += _FRAGMENT_PRICE * self._imbalance(task, server.server_id)
        if self._mechanisms.rack_spread:
            extra += _RACK_PRICE * _siblings(task, outlook)
        if self._mechanisms.locality:
            extra -= _LOCALITY_PRICE * (
                task.checkpoint_server == server.server_id
            )
        return extra

    def _imbalance(self, task: PendingTask, server_id: str) -> float:
        free = self._room.free(server_id)
        total = self._room.server_by_id[server_id].total
        processors = (
            free.processors_milli - task.resources.processors_milli
        ) / max(total.processors_milli, 1)
        memory = (free.memory_mb - task.resources.memory_mb) / max(
            total.memory_mb,
            1,
        )
        return abs(processors - memory)


def _siblings(task: PendingTask, outlook: Outlook) -> int:
    job_id = task.key.task_id.rpartition('/')[0]
    return sum(
        running.key.task_id.rpartition('/')[0] == job_id
        for running in outlook.server.running
    )


def _allowance(task: PendingTask) -> float:
    if task.slack_ms is None or task.slack_ms > _HURRY_SLACK_MS:
        return 0
    return _HURRY_ALLOWANCE
