"""Free resources of servers during one placement pass."""

from waxwingford.placement import (
    PendingTask,
    ServerView,
    fits,
    free_resources,
    subtract,
)
from waxwingford.ports import Resources


class FreeCapacity:
    """Free resources by server, minus those assigned during this pass.

    The views are not updated between the decisions of a pass; without this
    accounting, two tasks could be placed on the same free resources.
    """

    def __init__(self, servers: list[ServerView]) -> None:
        """Start from server views.

        :param servers: servers whose control lease the daemon holds.
        """
        self.server_by_id = {server.server_id: server for server in servers}
        self._free_by_id: dict[str, Resources] = {}
        self._assigned: set[str] = set()

    def free(self, server_id: str) -> Resources:
        """Return the resources that are still free on a server."""
        free = self._free_by_id.get(server_id)
        if free is None:
            free = free_resources(self.server_by_id[server_id])
            self._free_by_id[server_id] = free
        return free

    def admits(self, task: PendingTask, server: ServerView) -> bool:
        """Check whether a task may be placed on a server.

        :returns: true if the task fits and has not failed on the server, and
            the server is neither leaving nor quarantined with other work.
        """
        if server.leaving or server.server_id in task.failed_on:
            return False
        if server.quarantined and self._is_occupied(server):
            return False
        return fits(task.resources, self.free(server.server_id))

    def reserve(self, task: PendingTask, server_id: str) -> None:
        """Reserve the resources of a placed task."""
        remaining = subtract(self.free(server_id), task.resources)
        self._free_by_id[server_id] = remaining
        self._assigned.add(server_id)

    def _is_occupied(self, server: ServerView) -> bool:
        return bool(server.running) or server.server_id in self._assigned
