"""State of each server in the learned policy, and latency predictions."""

import dataclasses
import math
from collections.abc import Iterable
from typing import NamedTuple

from waxwingford.colocation._model import InterferenceModel, Term
from waxwingford.colocation._thresholds import Thresholds
from waxwingford.colocation._utilization import UtilizationTracker
from waxwingford.placement import RunningTask, ServerView
from waxwingford.ports import AttemptKey

#: Weight of the newest load in the moving average.
_LOAD_SMOOTHING = 0.4
#: CPU percent assumed for a throttle that an earlier lease holder ordered.
_ADOPTED_PERCENT = 50
_FULL_PERCENT = 100
#: Load change that invalidates a cached prediction.
_LOAD_CHANGE_THRESHOLD = 0.02
#: Number of steps to which a load is rounded in cache keys.
_LOAD_STEPS = 20


@dataclasses.dataclass(slots=True)
class ServerState:
    """State of one server; all times are monotonic.

    :ivar load: moving average of the share of busy slots, 0 to 1; None before
        the first view.
    :ivar signature: attempts in the last view and whether they are throttled.
    :ivar running_by_id: running tasks in the last view, by task ID.
    :ivar prediction: cached prediction; None if it is out of date.
    :ivar cooldown_until_ms: time before which nothing is placed here.
    :ivar eviction_ordered_ms_by_key: order times of unfinished evictions.
    :ivar throttle_changed_ms_by_key: times of the last throttle changes.
    :ivar cpu_percent_by_key: percent of its CPU that each throttled attempt
        may use, as last ordered.
    """

    load: float | None = None
    signature: list[tuple[AttemptKey, bool]] = dataclasses.field(
        default_factory=list,
    )
    running_by_id: dict[str, RunningTask] = dataclasses.field(
        default_factory=dict,
    )
    prediction: 'Prediction | None' = None
    cooldown_until_ms: int = 0
    eviction_ordered_ms_by_key: dict[AttemptKey, int] = dataclasses.field(
        default_factory=dict,
    )
    throttle_changed_ms_by_key: dict[AttemptKey, int] = dataclasses.field(
        default_factory=dict,
    )
    cpu_percent_by_key: dict[AttemptKey, int] = dataclasses.field(
        default_factory=dict,
    )

    def update_load(self, busy_share: float) -> None:
        """Update the moving average of the load.

        :param busy_share: current share of busy slots, 0 to 1.
        """
        if self.load is None:
            self.load = busy_share
        self.load += _LOAD_SMOOTHING * (busy_share - self.load)
        prediction = self.prediction
        if (
            prediction is not None
            and abs(prediction.load - self.load) > _LOAD_CHANGE_THRESHOLD
        ):
            self.prediction = None

    def update_running(self, server: ServerView) -> None:
        """Update the running attempts and drop the state of ended ones."""
        signature = [(task.key, task.throttled) for task in server.running]
        if signature == self.signature:
            return
        self.signature = signature
        self.prediction = None
        self.running_by_id = {task.key.task_id: task for task in server.running}
        present = {task.key for task in server.running}
        _discard_ended(self.eviction_ordered_ms_by_key, present)
        _discard_ended(self.throttle_changed_ms_by_key, present)
        _discard_ended(self.cpu_percent_by_key, present)

    def cpu_percent(self, task: RunningTask) -> int:
        """Return the share of its CPU that a task may use.

        :returns: percent, 100 without a throttle.
        """
        if not task.throttled:
            return self.cpu_percent_by_key.get(task.key, _FULL_PERCENT)
        return self.cpu_percent_by_key.get(task.key, _ADOPTED_PERCENT)


def _discard_ended(
    by_key: dict[AttemptKey, int], present: set[AttemptKey]
) -> None:
    for key in by_key.keys() - present:
        by_key.pop(key)


class Interference(NamedTuple):
    """Predicted interference of a task with the colocated service.

    :ivar cpu_percent: percent of its CPU that the task may use.
    :ivar unthrottled: increase of the log 99th percentile latency without a
        throttle.
    """

    task: RunningTask
    cpu_percent: int
    unthrottled: float

    @property
    def current(self) -> float:
        """Compute the interference under the current throttle.

        :returns: increase of the log 99th percentile latency.
        """
        return self.unthrottled * self.cpu_percent / _FULL_PERCENT


@dataclasses.dataclass(frozen=True, slots=True)
class Prediction:
    """Predicted latency of the service on a server.

    :ivar load: share of busy slots assumed by the prediction, 0 to 1.
    :ivar isolated: log latency of the service without batch work.
    :ivar interferences: interference of each running task, including those
        that are being evicted.
    :ivar log_p99: logarithm of the 99th percentile latency in milliseconds,
        once all ordered evictions are complete.
    """

    server: ServerView
    state: ServerState
    thresholds: Thresholds
    load: float
    isolated: Term
    interferences: tuple[Interference, ...]
    log_p99: float


class Predictor:
    """Predicts latencies and caches the terms of the model.

    An instance is valid until the model is updated.
    """

    def __init__(
        self, model: InterferenceModel, utilization: UtilizationTracker
    ) -> None:
        self._model = model
        self.utilization = utilization
        self._term_by_key: dict[tuple[str, str, int], Term] = {}

    def effect(self, service: str, kind: str, load: float) -> Term:
        """Predict the effect of a batch kind at the load, rounded to a step.

        :param load: share of busy slots, 0 to 1.
        :returns: effect of one CPU unit on the log latency.
        """
        steps = round(load * _LOAD_STEPS)
        pair = (service, kind, steps)
        effect = self._term_by_key.get(pair)
        if effect is None:
            effect = self._model.effect(service, kind, steps / _LOAD_STEPS)
            self._term_by_key[pair] = effect
        return effect

    def predict(
        self,
        server: ServerView,
        state: ServerState,
        thresholds: Thresholds,
    ) -> Prediction:
        """Predict the latency with the tasks that run on a server."""
        load = server.busy_share if state.load is None else state.load
        isolated = self._model.isolated(server.server_id, server.service, load)
        interferences = tuple(self._interferences(server, state, load))
        log_p99 = isolated.mean + sum(
            interference.current
            for interference in interferences
            if interference.task.key not in state.eviction_ordered_ms_by_key
        )
        return Prediction(
            server, state, thresholds, load, isolated, interferences, log_p99
        )

    def log_p99_after(self, prediction: Prediction, log_change: float) -> float:
        """Predict the latency after batch work is added or removed.

        A slower service also occupies its slots for longer.  Ignoring the
        queueing that this causes would overload servers near saturation.

        :param prediction: prediction for the current tasks.
        :param log_change: direct effect of the work on the log latency.
        :returns: logarithm of the 99th percentile latency in milliseconds.
        """
        load = min(prediction.load * math.exp(log_change), 1)
        queueing_change = self._isolated_mean(
            prediction.server, load
        ) - self._isolated_mean(
            prediction.server,
            prediction.load,
        )
        return prediction.log_p99 + log_change + queueing_change

    def _isolated_mean(self, server: ServerView, load: float) -> float:
        steps = round(load * _LOAD_STEPS)
        key = (server.server_id, '', steps)
        isolated = self._term_by_key.get(key)
        if isolated is None:
            isolated = self._model.isolated(
                server.server_id,
                server.service,
                steps / _LOAD_STEPS,
            )
            self._term_by_key[key] = isolated
        return isolated.mean

    def _interferences(
        self,
        server: ServerView,
        state: ServerState,
        load: float,
    ) -> Iterable[Interference]:
        for task in server.running:
            effect = self.effect(server.service, task.kind, load)
            units = self.utilization.expected_units(task.kind, task.resources)
            unthrottled = max(effect.mean, 0) * units
            yield Interference(task, state.cpu_percent(task), unthrottled)
