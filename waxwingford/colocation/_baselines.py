"""Baseline policies for comparison, without an interference model."""

import random
from abc import ABC, abstractmethod
from collections.abc import Mapping

from waxwingford.colocation._capacity import FreeCapacity
from waxwingford.placement import (
    Evict,
    PendingTask,
    Placement,
    PolicyWeights,
    Reaction,
    ServerView,
    policies,
)
from waxwingford.ports import UsageSample

#: Equal for all servers, so that routing has no preference.
_NO_PREDICTION_MS = 1


class _BaselinePolicy(ABC):
    """Placement by a single rule, without reactions."""

    def __init__(
        self,
        weights_by_service: Mapping[str, PolicyWeights],
        seed: int,
    ) -> None:
        """Create the policy.

        :param weights_by_service: policy weights from the bundle.
        """
        self._weights_by_service = weights_by_service
        self._rng = random.Random(seed)

    def observe(
        self,
        server_id: str,
        sample: UsageSample,
        received_ms: int,
        kind_by_task_id: dict[str, str],
    ) -> None:
        """Ignore the sample.

        :param received_ms: monotonic time of receipt, in milliseconds.
        """

    def place(
        self,
        pending: list[PendingTask],
        servers: list[ServerView],
        now_ms: int,
    ) -> list[Placement]:
        """Place every task that fits on some server.

        :param pending: pending tasks, highest priority first.
        :param servers: servers whose control lease this daemon holds.
        :param now_ms: monotonic time, in milliseconds.
        """
        capacity = FreeCapacity(servers)
        placements = []
        for task in pending:
            eligible = [
                server for server in servers if capacity.admits(task, server)
            ]
            if not eligible:
                continue
            chosen = self._choose(task, eligible, capacity)
            capacity.reserve(task, chosen.server_id)
            placements.append(Placement(task.key, chosen.server_id))
        return placements

    def react(self, servers: list[ServerView], now_ms: int) -> list[Reaction]:
        """Return no reactions.

        :param servers: servers whose control lease this daemon holds.
        :param now_ms: monotonic time, in milliseconds.
        """
        return []

    def predicted_ms(self, server: ServerView) -> float:
        """Return a constant prediction.

        :returns: latency in milliseconds, equal for all servers.
        """
        return _NO_PREDICTION_MS

    @abstractmethod
    def _choose(
        self,
        task: PendingTask,
        servers: list[ServerView],
        capacity: FreeCapacity,
    ) -> ServerView:
        """Choose one of the servers that admit the task."""


@policies.register('random')
class RandomPolicy(_BaselinePolicy):
    """Places on a random server with sufficient free resources."""

    def _choose(
        self,
        task: PendingTask,
        servers: list[ServerView],
        capacity: FreeCapacity,
    ) -> ServerView:
        return self._rng.choice(servers)


@policies.register('least_loaded')
class LeastLoadedPolicy(_BaselinePolicy):
    """Places on the server with the most free CPU."""

    def _choose(
        self,
        task: PendingTask,
        servers: list[ServerView],
        capacity: FreeCapacity,
    ) -> ServerView:
        return max(
            servers,
            key=lambda server: capacity.free(server.server_id).processors_milli,
        )


@policies.register('best_fit')
class BestFitPolicy(_BaselinePolicy):
    """Places on the server with the least free CPU that fits the task."""

    def _choose(
        self,
        task: PendingTask,
        servers: list[ServerView],
        capacity: FreeCapacity,
    ) -> ServerView:
        return min(
            servers,
            key=lambda server: capacity.free(server.server_id).processors_milli,
        )


@policies.register('evict_at_once')
class EvictAtOncePolicy(LeastLoadedPolicy):
    """Evicts the largest task after each sample above the target."""

    def __init__(
        self,
        weights_by_service: Mapping[str, PolicyWeights],
        seed: int,
    ) -> None:
        """Create the policy.

        :param weights_by_service: policy weights from the bundle.
        """
        super().__init__(weights_by_service, seed)
        self._over_target: set[str] = set()

    def observe(
        self,
        server_id: str,
        sample: UsageSample,
        received_ms: int,
        kind_by_task_id: dict[str, str],
    ) -> None:
        """Record whether the service exceeded its latency target.

        :param received_ms: monotonic time of receipt, in milliseconds.
        """
        weights = self._weights_by_service.get(sample.service)
        if weights and sample.service_p99_ms > weights.target_p99_ms:
            self._over_target.add(server_id)
        else:
            self._over_target.discard(server_id)

    def react(self, servers: list[ServerView], now_ms: int) -> list[Reaction]:
        """Evict the largest task of each server over its target.

        :param servers: servers whose control lease this daemon holds.
        :param now_ms: monotonic time, in milliseconds.
        """
        over_target = [
            server
            for server in servers
            if server.server_id in self._over_target and server.running
        ]
        self._over_target.clear()
        return [
            Evict(
                max(
                    server.running,
                    key=lambda task: task.resources.processors_milli,
                ).key,
            )
            for server in over_target
        ]
