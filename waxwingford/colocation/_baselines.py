"""Simple policies to compare with; none of them learns interference."""

import random
from abc import ABC, abstractmethod
from collections.abc import Mapping

from waxwingford.colocation._room import Room
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

#: Latency that a policy without a model tells routing: no preference.
_NO_PREDICTION_MS = 1


class _Baseline(ABC):
    """Placement by one rule, no reaction."""

    def __init__(
        self,
        weights_by_service: Mapping[str, PolicyWeights],
        seed: int,
    ) -> None:
        """Set up.

        :param weights_by_service: from the bundle.
        :param seed: of the policy's random numbers.
        """
        self._weights_by_service = weights_by_service
        self._random = random.Random(seed)

    def observe(
        self,
        server_id: str,
        sample: UsageSample,
        received_ms: int,
        kind_by_task_id: dict[str, str],
    ) -> None:
        """Ignore the sample.

        :param server_id: where it was taken.
        :param sample: the sample.
        :param received_ms: when it arrived.
        :param kind_by_task_id: batch kind of the tasks in it.
        """

    def place(
        self,
        pending: list[PendingTask],
        servers: list[ServerView],
        now_ms: int,
    ) -> list[Placement]:
        """Place every task that fits somewhere.

        :param pending: tasks, most deserving first.
        :param servers: the servers that this daemon holds.
        :param now_ms: monotonic time.
        :returns: decisions.
        """
        room = Room(servers)
        placements = []
        for task in pending:
            admitting = [
                server for server in servers if room.admits(task, server)
            ]
            if not admitting:
                continue
            chosen = self._choose(task, admitting, room)
            room.take(task, chosen.server_id)
            placements.append(Placement(task.key, chosen.server_id))
        return placements

    def react(self, servers: list[ServerView], now_ms: int) -> list[Reaction]:
        """Do nothing.

        :param servers: the servers that this daemon holds.
        :param now_ms: monotonic time.
        :returns: no decisions.
        """
        return []

    def predicted_ms(self, server: ServerView) -> float:
        """Predict nothing.

        :param server: its view.
        :returns: the same for every server.
        """
        return _NO_PREDICTION_MS

    @abstractmethod
    def _choose(
        self,
        task: PendingTask,
        servers: list[ServerView],
        room: Room,
    ) -> ServerView:
        """Choose among servers that admit the task."""


@policies.register('random')
class RandomPolicy(_Baseline):
    """Any server that has room."""

    def _choose(
        self,
        task: PendingTask,
        servers: list[ServerView],
        room: Room,
    ) -> ServerView:
        return self._random.choice(servers)


@policies.register('least_loaded')
class LeastLoadedPolicy(_Baseline):
    """The server with most processors free."""

    def _choose(
        self,
        task: PendingTask,
        servers: list[ServerView],
        room: Room,
    ) -> ServerView:
        return max(
            servers,
            key=lambda server: room.free(server.server_id).processors_milli,
        )


@policies.register('best_fit')
class BestFitPolicy(_Baseline):
    """The fullest server that has room; blind to interference."""

    def _choose(
        self,
        task: PendingTask,
        servers: list[ServerView],
        room: Room,
    ) -> ServerView:
        return min(
            servers,
            key=lambda server: room.free(server.server_id).processors_milli,
        )


@policies.register('evict_at_once')
class EvictAtOncePolicy(LeastLoadedPolicy):
    """Evicts the largest task for every sample above the target."""

    def __init__(
        self,
        weights_by_service: Mapping[str, PolicyWeights],
        seed: int,
    ) -> None:
        """Set up.

        :param weights_by_service: from the bundle.
        :param seed: of the policy's random numbers.
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
        """Note a server whose service is over its target.

        :param server_id: where it was taken.
        :param sample: the sample.
        :param received_ms: when it arrived.
        :param kind_by_task_id: batch kind of the tasks in it.
        """
        weights = self._weights_by_service.get(sample.service)
        if weights and sample.service_p99_ms > weights.target_p99_ms:
            self._over_target.add(server_id)
        else:
            self._over_target.discard(server_id)

    def react(self, servers: list[ServerView], now_ms: int) -> list[Reaction]:
        """Evict one task from each server over target.

        :param servers: the servers that this daemon holds.
        :param now_ms: monotonic time.
        :returns: decisions about running attempts.
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
