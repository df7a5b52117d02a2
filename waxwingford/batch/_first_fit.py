"""First-fit colocation policy: the first server with room."""

from collections.abc import Mapping

from waxwingford.placement import (
    PendingTask,
    Placement,
    PolicyWeights,
    Reaction,
    ServerView,
    policies,
)
from waxwingford.ports import (
    Resources,
    UsageSample,
    fits_resources,
    subtract_resources,
)


def room_of(server: ServerView) -> Resources:
    """Compute the free resources of a server.

    :returns: total less reserved and claimed resources.
    """
    room = subtract_resources(server.total, server.reserved)
    for task in server.running:
        room = subtract_resources(room, task.resources)
    return room


class FirstFit:
    """Places tasks without regard to interference; never reacts."""

    def observe(
        self,
        server_id: str,
        sample: UsageSample,
        received_ms: int,
        kind_by_task_id: dict[str, str],
    ) -> None:
        """Ignore a usage sample.

        :param server_id: id of the server that it was taken on.
        :param received_ms: monotonic time of receipt, in milliseconds.
        :param kind_by_task_id: batch kinds of the tasks in the sample.
        """

    def place(
        self,
        pending: list[PendingTask],
        servers: list[ServerView],
        now_ms: int,
    ) -> list[Placement]:
        """Place each task on the first server with room.

        :param pending: tasks in order of preference.
        :param servers: servers that this daemon holds.
        :param now_ms: monotonic time, in milliseconds.
        :returns: placements of the tasks that fit.
        """
        room_by_server = {
            server.server_id: room_of(server)
            for server in servers
            if not server.leaving
        }
        placements = []
        for task in pending:
            server_id = _first_with_room(task, room_by_server)
            if server_id is None:
                continue
            room = room_by_server[server_id]
            room_by_server[server_id] = subtract_resources(room, task.resources)
            placements.append(Placement(task.key, server_id))
        return placements

    def react(self, servers: list[ServerView], now_ms: int) -> list[Reaction]:
        """Return no reactions.

        :param servers: servers that this daemon holds.
        :param now_ms: monotonic time, in milliseconds.
        """
        return []

    def predicted_ms(self, server: ServerView) -> float:
        """Predict the same latency for all servers.

        :returns: 1 ms.
        """
        return 1


def _first_with_room(
    task: PendingTask, room_by_server: dict[str, Resources]
) -> str | None:
    return next(
        (
            server_id
            for server_id, room in room_by_server.items()
            if server_id not in task.failed_on
            and fits_resources(task.resources, room)
        ),
        None,
    )


@policies.register('first_fit')
def make_first_fit(
    weights_by_service: Mapping[str, PolicyWeights], seed: int
) -> FirstFit:
    """Make the policy.

    :param weights_by_service: unused.
    :param seed: unused.
    """
    return FirstFit()
