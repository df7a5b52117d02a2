"""What is free on servers while one call of ``place`` decides."""

from waxwingford.placement import (
    PendingTask,
    ServerView,
    fits,
    free_on,
    subtract,
)
from waxwingford.ports import Resources


class Room:
    """Free resources by server, less what this call has given out already.

    Two tasks decided in the same call must not be given the same room: the
    views are not updated between them, so the VM would be over-committed.
    """

    def __init__(self, servers: list[ServerView]) -> None:
        """Read the views.

        :param servers: the servers that the daemon holds.
        """
        self.server_by_id = {server.server_id: server for server in servers}
        self._free_by_id: dict[str, Resources] = {}
        self._probed: set[str] = set()

    def free(self, server_id: str) -> Resources:
        """Tell what is left.

        :param server_id: which server.
        :returns: free resources.
        """
        free = self._free_by_id.get(server_id)
        if free is None:
            free = free_on(self.server_by_id[server_id])
            self._free_by_id[server_id] = free
        return free

    def admits(self, task: PendingTask, server: ServerView) -> bool:
        """Tell whether the rules allow a task on a server.

        :param task: the task.
        :param server: the server.
        :returns: whether it fits, and the server is neither leaving, nor one
            on which the task failed, nor in quarantine with other work.
        """
        if server.leaving or server.server_id in task.failed_on:
            return False
        if server.quarantined and self._is_probed(server):
            return False
        return fits(task.resources, self.free(server.server_id))

    def take(self, task: PendingTask, server_id: str) -> None:
        """Give room out.

        :param task: the task placed.
        :param server_id: where.
        """
        left = subtract(self.free(server_id), task.resources)
        self._free_by_id[server_id] = left
        self._probed.add(server_id)

    def _is_probed(self, server: ServerView) -> bool:
        return bool(server.running) or server.server_id in self._probed
