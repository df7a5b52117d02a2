"""What the learned policy remembers of each server, and what it foresees."""

import dataclasses
import math
from collections.abc import Iterable
from typing import NamedTuple

from waxwingford.colocation._limits import Limits
from waxwingford.colocation._model import InterferenceModel, Term
from waxwingford.colocation._uses import UseTracker
from waxwingford.placement import RunningTask, ServerView
from waxwingford.ports import TaskKey

#: Weight of the newest reading of busy slots.
_LOAD_STEP = 0.4
#: Percent of a throttled task whose throttle an earlier holder chose.
_ADOPTED_PERCENT = 50
_FULL_PERCENT = 100
#: A prediction is made again when the load has moved by more than this.
_LOAD_MOVED = 0.02
#: Steps of load between which an effect is taken to be the same.
_LOAD_STEPS = 20


@dataclasses.dataclass(slots=True)
class ServerState:
    """Memory of one server.

    :ivar load: smoothed share of busy slots; None before the first view.
    :ivar signature: tasks and whether they are throttled, in the last view.
    :ivar running_by_id: tasks in the last view.
    :ivar outlook: newest prediction; None if something changed since.
    :ivar closed_until_ms: no placements before this monotonic time.
    :ivar evicted_ms_by_key: when evictions were ordered that are not over.
    :ivar changed_ms_by_key: when a task's throttle was changed last.
    :ivar percent_by_key: throttles ordered.
    """

    load: float | None = None
    signature: list[tuple[TaskKey, bool]] = dataclasses.field(
        default_factory=list,
    )
    running_by_id: dict[str, RunningTask] = dataclasses.field(
        default_factory=dict,
    )
    outlook: 'Outlook | None' = None
    closed_until_ms: int = 0
    evicted_ms_by_key: dict[TaskKey, int] = dataclasses.field(
        default_factory=dict,
    )
    changed_ms_by_key: dict[TaskKey, int] = dataclasses.field(
        default_factory=dict,
    )
    percent_by_key: dict[TaskKey, int] = dataclasses.field(
        default_factory=dict,
    )

    def see_load(self, busy_share: float) -> None:
        """Take the present load in.

        :param busy_share: share of busy slots, 0 to 1.
        """
        if self.load is None:
            self.load = busy_share
        self.load += _LOAD_STEP * (busy_share - self.load)
        outlook = self.outlook
        if outlook is not None and abs(outlook.load - self.load) > _LOAD_MOVED:
            self.outlook = None

    def see_running(self, server: ServerView) -> None:
        """Take present attempts in and forget those that are over.

        :param server: its view.
        """
        signature = [(task.key, task.throttled) for task in server.running]
        if signature == self.signature:
            return
        self.signature = signature
        self.outlook = None
        self.running_by_id = {task.key.task_id: task for task in server.running}
        present = {task.key for task in server.running}
        _keep(self.evicted_ms_by_key, present)
        _keep(self.changed_ms_by_key, present)
        _keep(self.percent_by_key, present)

    def percent(self, task: RunningTask) -> int:
        """Tell a task's throttle.

        :param task: the task.
        :returns: percent of its processors that it may use.
        """
        if not task.throttled:
            return self.percent_by_key.get(task.key, _FULL_PERCENT)
        return self.percent_by_key.get(task.key, _ADOPTED_PERCENT)


def _keep(by_key: dict[TaskKey, int], present: set[TaskKey]) -> None:
    """Drop what is remembered of attempts that are over.

    :param by_key: memory; changed in place.
    :param present: attempts on the server.
    """
    for key in by_key.keys() - present:
        by_key.pop(key)


class Pressure(NamedTuple):
    """What a task does to the service beside it now.

    :ivar task: the task.
    :ivar percent: its throttle.
    :ivar full: what it adds to the tail's logarithm without a throttle.
    """

    task: RunningTask
    percent: int
    full: float

    @property
    def now(self) -> float:
        """Compute what it adds under its throttle.

        :returns: part of the tail's logarithm.
        """
        return self.full * self.percent / _FULL_PERCENT


@dataclasses.dataclass(frozen=True, slots=True)
class Outlook:
    """What the model foresees for a server.

    :ivar server: its view.
    :ivar state: its memory.
    :ivar limits: thresholds of its service.
    :ivar load: share of busy slots that the prediction is for, 0 to 1.
    :ivar base: the service alone.
    :ivar pressures: each task beside it, those being evicted included.
    :ivar tail: once ordered evictions are over, logarithm of the 99th
        percentile in milliseconds.
    """

    server: ServerView
    state: ServerState
    limits: Limits
    load: float
    base: Term
    pressures: tuple[Pressure, ...]
    tail: float


class Foresight:
    """Predictions of one pass; effects are looked up once for each pair."""

    def __init__(self, model: InterferenceModel, uses: UseTracker) -> None:
        """Set up.

        :param model: what was learned.
        :param uses: what tasks really use.
        """
        self._model = model
        self.uses = uses
        self._effect_by_pair: dict[tuple[str, str, int], Term] = {}

    def effect(self, service: str, kind: str, load: float) -> Term:
        """Look an effect up, at a load rounded to a step.

        :param service: which service.
        :param kind: batch kind.
        :param load: share of busy slots, 0 to 1.
        :returns: effect of one unit.
        """
        steps = round(load * _LOAD_STEPS)
        pair = (service, kind, steps)
        effect = self._effect_by_pair.get(pair)
        if effect is None:
            effect = self._model.effect(service, kind, steps / _LOAD_STEPS)
            self._effect_by_pair[pair] = effect
        return effect

    def outlook(
        self,
        server: ServerView,
        state: ServerState,
        limits: Limits,
    ) -> Outlook:
        """Predict a server as it is.

        :param server: its view.
        :param state: its memory.
        :param limits: thresholds of its service.
        :returns: prediction.
        """
        load = server.busy_share if state.load is None else state.load
        base = self._model.base(server.server_id, server.service, load)
        pressures = tuple(self._pressures(server, state, load))
        tail = base.mean + sum(
            pressure.now
            for pressure in pressures
            if pressure.task.key not in state.evicted_ms_by_key
        )
        return Outlook(server, state, limits, load, base, pressures, tail)

    def tail_after(self, outlook: Outlook, change: float) -> float:
        """Predict the tail after work was added or taken away.

        A service that runs slower also keeps its slots busy for longer.
        Without counting that in, a server near saturation looks as if it had
        room, is filled, and saturates: seen as latencies of many times the
        target while the prediction was within it.

        :param outlook: the server as it is.
        :param change: what the work adds to the logarithm by itself.
        :returns: logarithm of the 99th percentile in milliseconds.
        """
        load = min(outlook.load * math.exp(change), 1)
        queueing = self._base(outlook.server, load) - self._base(
            outlook.server,
            outlook.load,
        )
        return outlook.tail + change + queueing

    def _base(self, server: ServerView, load: float) -> float:
        steps = round(load * _LOAD_STEPS)
        key = (server.server_id, '', steps)
        base = self._effect_by_pair.get(key)
        if base is None:
            base = self._model.base(
                server.server_id,
                server.service,
                steps / _LOAD_STEPS,
            )
            self._effect_by_pair[key] = base
        return base.mean

    def _pressures(
        self,
        server: ServerView,
        state: ServerState,
        load: float,
    ) -> Iterable[Pressure]:
        for task in server.running:
            effect = self.effect(server.service, task.kind, load)
            units = self.uses.units(task.kind, task.resources)
            full = max(effect.mean, 0) * units
            yield Pressure(task, state.percent(task), full)
