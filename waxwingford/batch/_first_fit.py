"""The plainest colocation policy: the first server with room."""

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
    """Count what a server has left.

    :param server: its view.
    :returns: size less what is reserved and claimed.
    """
    room = subtract_resources(server.total, server.reserved)
    for task in server.running:
        room = subtract_resources(room, task.resources)
    return room


class FirstFit:
    """Places tasks without looking at interference; never reacts."""

    def observe(
        self,
        server_id: str,
        sample: UsageSample,
        received_ms: int,
        kind_by_task_id: dict[str, str],
    ) -> None:
        """Learn nothing.

        :param server_id: where the sample was taken.
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
        """Give each task the first server with room.

        :param pending: tasks, most deserving first.
        :param servers: servers that this daemon holds.
        :param now_ms: monotonic time, in milliseconds.
        :returns: decisions for some of the tasks.
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
        """Leave everything as it is.

        :param servers: servers that this daemon holds.
        :param now_ms: monotonic time, in milliseconds.
        :returns: nothing.
        """
        return []

    def predicted_ms(self, server: ServerView) -> float:
        """Predict the same for all servers.

        :param server: its view.
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
    :returns: the policy.
    """
    return FirstFit()
