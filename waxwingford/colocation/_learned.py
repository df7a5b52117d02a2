"""The learned colocation policy."""

import math
import random
from collections import defaultdict
from collections.abc import Mapping

from waxwingford.colocation._escalation import Escalation
from waxwingford.colocation._limits import DEFAULT_WEIGHTS, Limits, limits_of
from waxwingford.colocation._mechanisms import ALL, Mechanisms
from waxwingford.colocation._model import InterferenceModel
from waxwingford.colocation._samples import SampleTracker
from waxwingford.colocation._scoring import Scorer
from waxwingford.colocation._state import Foresight, Outlook, ServerState
from waxwingford.colocation._uses import UseTracker
from waxwingford.placement import (
    PendingTask,
    Placement,
    PolicyWeights,
    Reaction,
    ServerView,
    policies,
)
from waxwingford.ports import UsageSample

#: A task younger than this may have started within the window.
_SETTLED_MS = 60_000
#: Share of its target at which a service is expected before any sample.
_EXPECTED_SHARE = 0.65


@policies.register('learned')
class LearnedPolicy:
    """Places and reacts by a learned model of interference."""

    def __init__(
        self,
        weights_by_service: Mapping[str, PolicyWeights],
        seed: int,
        mechanisms: Mechanisms = ALL,
    ) -> None:
        """Set up.

        :param weights_by_service: from the bundle.
        :param seed: of the policy's random numbers.
        :param mechanisms: parts to use; the benchmark switches some off.
        """
        self._limits_by_service = {
            service: limits_of(weights)
            for service, weights in weights_by_service.items()
        }
        self._model = InterferenceModel(
            {
                service: weights.target_p99_ms * _EXPECTED_SHARE
                for service, weights in weights_by_service.items()
            },
            mechanisms,
        )
        self._random = random.Random(seed)
        self._samples = SampleTracker()
        self._uses = UseTracker()
        self._escalation = Escalation(mechanisms)
        self._present: Foresight | None = None
        self._state_by_server: dict[str, ServerState] = defaultdict(ServerState)

    def observe(
        self,
        server_id: str,
        sample: UsageSample,
        received_ms: int,
        kind_by_task_id: dict[str, str],
    ) -> None:
        """Learn from one lagged sample.

        :param server_id: where it was taken.
        :param sample: the sample.
        :param received_ms: when it arrived.
        :param kind_by_task_id: batch kind of the tasks in it.
        """
        state = self._state_by_server[server_id]
        state.outlook = None
        self._present = None
        self._measure_uses(state, sample)
        observation = self._samples.add(server_id, sample, kind_by_task_id)
        if observation is not None:
            self._model.learn(*observation)

    def place(
        self,
        pending: list[PendingTask],
        servers: list[ServerView],
        now_ms: int,
    ) -> list[Placement]:
        """Choose servers where the tail stays within its limit.

        :param pending: tasks, most deserving first.
        :param servers: the servers that this daemon holds.
        :param now_ms: monotonic time.
        :returns: decisions for some of the pending tasks.
        """
        outlooks = [self._outlook(server) for server in servers]
        scorer = Scorer(
            self._foresight(),
            [
                outlook
                for outlook in outlooks
                if outlook.state.closed_until_ms <= now_ms
            ],
            self._random,
        )
        placements = map(scorer.place, pending)
        return [placement for placement in placements if placement is not None]

    def react(self, servers: list[ServerView], now_ms: int) -> list[Reaction]:
        """Relieve services that near their targets.

        :param servers: the servers that this daemon holds.
        :param now_ms: monotonic time.
        :returns: decisions about running attempts.
        """
        reactions: list[Reaction] = []
        for server in servers:
            state = self._state_by_server[server.server_id]
            state.see_load(server.busy_share)
            outlook = self._outlook(server)
            chosen = self._escalation.react(outlook, self._foresight(), now_ms)
            if chosen:
                state.outlook = None
                reactions += chosen
        return reactions

    def predicted_ms(self, server: ServerView) -> float:
        """Predict the service's 99th percentile for routing.

        :param server: its view.
        :returns: expected latency, in milliseconds.
        """
        return math.exp(self._outlook(server).tail)

    def _foresight(self) -> Foresight:
        # What was looked up stays valid until the model learns again.
        if self._present is None:
            self._present = Foresight(self._model, self._uses)
        return self._present

    def _outlook(self, server: ServerView) -> Outlook:
        state = self._state_by_server[server.server_id]
        state.see_running(server)
        if state.outlook is None:
            limits = self._limits(server.service)
            state.outlook = self._foresight().outlook(server, state, limits)
        return state.outlook

    def _limits(self, service: str) -> Limits:
        limits = self._limits_by_service.get(service)
        if limits is None:
            limits = limits_of(DEFAULT_WEIGHTS)
            self._limits_by_service[service] = limits
        return limits

    def _measure_uses(self, state: ServerState, sample: UsageSample) -> None:
        for key in sample.running:
            task = state.running_by_id.get(key.task_id)
            used = sample.used_by_task_id.get(key.task_id)
            if task is None or used is None or task.key != key:
                continue
            changed_ms = state.changed_ms_by_key.get(key)
            if changed_ms is None and task.ran_ms > _SETTLED_MS:
                percent = state.percent(task)
                self._uses.measure(task.kind, used, task.resources, percent)
