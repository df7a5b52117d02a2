"""Selection of a server for a pending task."""

import math
import random
from typing import NamedTuple

from waxwingford.colocation._capacity import FreeCapacity
from waxwingford.colocation._state import Prediction, Predictor
from waxwingford.placement import PendingTask, Placement

#: Standard deviations of the effect that are added to the score.
_UNCERTAINTY_WEIGHT = 0.2
#: Excess over the placement threshold allowed to urgent tasks, log scale.
_URGENT_ALLOWANCE = 0.06
#: Slack up to which a pending task is urgent.
_URGENT_SLACK_MS = 60_000
#: Upper bound of servers scored for one task.
_MAX_CANDIDATES = 24


class _Candidate(NamedTuple):
    """A server on which a task may be placed.

    :ivar score: predicted log latency plus an uncertainty term; lower is
        better.
    :ivar log_change: direct effect of this pass's placements on the log
        latency, including the task.
    :ivar server_id: name of the server.
    """

    score: float
    log_change: float
    server_id: str


class Scorer:
    """Places the tasks of one pass on the servers with the best scores."""

    def __init__(
        self,
        predictor: Predictor,
        predictions: list[Prediction],
        rng: random.Random,
    ) -> None:
        """Start a pass.

        :param predictions: predictions for the servers that accept new work.
        """
        self._predictor = predictor
        self._rng = rng
        self._predictions = predictions
        self._capacity = FreeCapacity(
            [prediction.server for prediction in predictions]
        )
        #: Direct effect of this pass's placements on the log latency.
        self._log_change_by_id: dict[str, float] = {}

    def place(self, task: PendingTask) -> Placement | None:
        """Choose the best server that stays within its placement threshold.

        :returns: placement decision, or None if there is no such server.
        """
        candidates = [
            candidate
            for prediction in self._sample_predictions()
            if (candidate := self._candidate(task, prediction)) is not None
        ]
        if not candidates:
            return None
        best = min(candidates)
        self._log_change_by_id[best.server_id] = best.log_change
        self._capacity.reserve(task, best.server_id)
        return Placement(task.key, best.server_id)

    def _sample_predictions(self) -> list[Prediction]:
        if len(self._predictions) <= _MAX_CANDIDATES:
            return self._predictions
        return self._rng.sample(self._predictions, _MAX_CANDIDATES)

    def _candidate(
        self,
        task: PendingTask,
        prediction: Prediction,
    ) -> _Candidate | None:
        server = prediction.server
        if not self._capacity.admits(task, server):
            return None
        effect = self._predictor.effect(
            server.service,
            task.kind,
            prediction.load,
        )
        units = self._predictor.utilization.expected_units(
            task.kind, task.resources
        )
        log_change = self._log_change_by_id.get(server.server_id, 0)
        log_change += max(effect.mean, 0) * units
        score = self._predictor.log_p99_after(prediction, log_change)
        score += _UNCERTAINTY_WEIGHT * math.sqrt(effect.variance) * units
        if score > prediction.thresholds.place + _allowance(task):
            return None
        return _Candidate(score, log_change, server.server_id)


def _allowance(task: PendingTask) -> float:
    if task.slack_ms is None or task.slack_ms > _URGENT_SLACK_MS:
        return 0
    return _URGENT_ALLOWANCE
