"""Colocation policy based on a learned interference model."""

import math
import random
from collections import defaultdict
from collections.abc import Mapping

from waxwingford.colocation._escalation import Escalation
from waxwingford.colocation._mechanisms import ALL_MECHANISMS, Mechanisms
from waxwingford.colocation._model import InterferenceModel
from waxwingford.colocation._samples import SampleBuffer
from waxwingford.colocation._scoring import Scorer
from waxwingford.colocation._state import Prediction, Predictor, ServerState
from waxwingford.colocation._thresholds import (
    DEFAULT_WEIGHTS,
    Thresholds,
    thresholds_for,
)
from waxwingford.colocation._utilization import UtilizationTracker
from waxwingford.placement import (
    PendingTask,
    Placement,
    PolicyWeights,
    Reaction,
    ServerView,
    policies,
)
from waxwingford.ports import UsageSample

#: Run time below which a task may have started within the sampled window.
_MIN_RUN_MS = 60_000
#: Prior latency of a service as a share of its target.
_PRIOR_TARGET_SHARE = 0.65


@policies.register('learned')
class LearnedPolicy:
    """Places tasks and reacts to interference with a learned model."""

    def __init__(
        self,
        weights_by_service: Mapping[str, PolicyWeights],
        seed: int,
        mechanisms: Mechanisms = ALL_MECHANISMS,
    ) -> None:
        """Create the policy.

        :param weights_by_service: policy weights from the bundle.
        """
        self._thresholds_by_service = {
            service: thresholds_for(weights)
            for service, weights in weights_by_service.items()
        }
        self._model = InterferenceModel(
            {
                service: weights.target_p99_ms * _PRIOR_TARGET_SHARE
                for service, weights in weights_by_service.items()
            },
            mechanisms,
        )
        self._rng = random.Random(seed)
        self._samples = SampleBuffer()
        self._utilization = UtilizationTracker()
        self._escalation = Escalation(mechanisms)
        self._cached_predictor: Predictor | None = None
        self._state_by_server: dict[str, ServerState] = defaultdict(ServerState)

    def observe(
        self,
        server_id: str,
        sample: UsageSample,
        received_ms: int,
        kind_by_task_id: dict[str, str],
    ) -> None:
        """Update the model with a delayed sample.

        :param received_ms: monotonic time of receipt, in milliseconds.
        """
        state = self._state_by_server[server_id]
        state.prediction = None
        self._cached_predictor = None
        self._record_utilization(state, sample)
        observation = self._samples.add(server_id, sample, kind_by_task_id)
        if observation is not None:
            self._model.learn(*observation)

    def place(
        self,
        pending: list[PendingTask],
        servers: list[ServerView],
        now_ms: int,
    ) -> list[Placement]:
        """Place tasks where the predicted latency stays below its threshold.

        :param pending: pending tasks, highest priority first.
        :param servers: servers whose control lease this daemon holds.
        :param now_ms: monotonic time, in milliseconds.
        :returns: placement decisions for some of the pending tasks.
        """
        predictions = [self._predict(server) for server in servers]
        scorer = Scorer(
            self._predictor(),
            [
                prediction
                for prediction in predictions
                if prediction.state.cooldown_until_ms <= now_ms
            ],
            self._rng,
        )
        placements = map(scorer.place, pending)
        return [placement for placement in placements if placement is not None]

    def react(self, servers: list[ServerView], now_ms: int) -> list[Reaction]:
        """Relieve services whose latency approaches its target.

        :param servers: servers whose control lease this daemon holds.
        :param now_ms: monotonic time, in milliseconds.
        :returns: throttle, eviction and stop decisions.
        """
        reactions: list[Reaction] = []
        for server in servers:
            state = self._state_by_server[server.server_id]
            state.update_load(server.busy_share)
            prediction = self._predict(server)
            chosen = self._escalation.react(
                prediction, self._predictor(), now_ms
            )
            if chosen:
                state.prediction = None
                reactions += chosen
        return reactions

    def predicted_ms(self, server: ServerView) -> float:
        """Predict the 99th percentile latency of a service for routing.

        :returns: predicted latency, in milliseconds.
        """
        return math.exp(self._predict(server).log_p99)

    def _predictor(self) -> Predictor:
        # Cached terms are valid until the next update of the model.
        if self._cached_predictor is None:
            self._cached_predictor = Predictor(self._model, self._utilization)
        return self._cached_predictor

    def _predict(self, server: ServerView) -> Prediction:
        state = self._state_by_server[server.server_id]
        state.update_running(server)
        if state.prediction is None:
            thresholds = self._thresholds(server.service)
            state.prediction = self._predictor().predict(
                server, state, thresholds
            )
        return state.prediction

    def _thresholds(self, service: str) -> Thresholds:
        thresholds = self._thresholds_by_service.get(service)
        if thresholds is None:
            thresholds = thresholds_for(DEFAULT_WEIGHTS)
            self._thresholds_by_service[service] = thresholds
        return thresholds

    def _record_utilization(
        self, state: ServerState, sample: UsageSample
    ) -> None:
        for key in sample.running:
            task = state.running_by_id.get(key.task_id)
            used = sample.used_by_task_id.get(key.task_id)
            if task is None or used is None or task.key != key:
                continue
            throttle_changed_ms = state.throttle_changed_ms_by_key.get(key)
            if throttle_changed_ms is None and task.ran_ms > _MIN_RUN_MS:
                cpu_percent = state.cpu_percent(task)
                self._utilization.record(
                    task.kind, used, task.resources, cpu_percent
                )
