"""Reserves servers so that crash suspects start alone.

If other tasks started beside a suspect that crashes its server, they would
become suspects as well, and sound jobs would fail. So nothing else starts on a
suspect's server until the server has outlived the suspect's start.
"""

from collections.abc import Callable

from waxwingford.ports import Resources
from waxwingford.scheduling import _gangs as gangs
from waxwingford.scheduling._backend_client import TaskKey
from waxwingford.scheduling._crashes import is_suspect, suspect_key
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._shard_state import ShardState
from waxwingford.scheduling._state import Step, Task

#: Share of the usable servers that is reserved at a time, at least one server.
MAX_RESERVED_SHARE = 0.25


class Isolation:
    """Servers that are reserved for suspects."""

    def __init__(self, state: ShardState) -> None:
        self._state = state
        self._reserved = 0
        self._max_reserved = 1

    def begin(self, usable: list[Server]) -> None:
        """Begin a placement round and release servers no longer needed.

        :param usable: servers that accept starts.
        """
        self._reserved = 0
        self._max_reserved = max(1, int(len(usable) * MAX_RESERVED_SHARE))
        for server in usable:
            if server.reserved_for is None:
                continue
            if self._is_needed(server, server.reserved_for):
                self._reserved += 1
            else:
                server.reserved_for = None

    def admitting(
        self, servers: list[Server], task: Task, step: Step
    ) -> list[Server]:
        """Keep the servers on which a task may start now.

        :param servers: servers with free resources for the task.
        :returns: servers on which no suspect would share its start.
        """
        cause = suspect_key(task.key, step)
        if not is_suspect(task, step):
            # A previous suspect may still have a server reserved.
            open_for = (None, cause)
            return [
                server for server in servers if server.reserved_for in open_for
            ]
        return [
            server for server in servers if self._admits_suspect(server, cause)
        ]

    def reserve(
        self,
        task: Task,
        step: Step,
        candidates: list[Server],
        room_of: Callable[[Server], Resources],
    ) -> list[Server]:
        """Reserve servers for a suspect that can't be placed yet.

        :param task: suspected task.
        :param candidates: servers with free resources for the task.
        :param room_of: function that returns the resources of a server that the
            task may use.
        :returns: servers that are newly reserved.
        """
        cause = suspect_key(task.key, step)
        if any(server.reserved_for == cause for server in candidates):
            return []
        unreserved = [
            server for server in candidates if server.reserved_for is None
        ]
        chosen = _choose(step, unreserved, room_of)
        total = self._reserved + len(chosen)
        if self._reserved and total > self._max_reserved:
            return []
        for server in chosen:
            self.isolate(server, task, step)
        return chosen

    def isolate(self, server: Server, task: Task, step: Step) -> None:
        """Reserve a server for a suspect.

        :param task: suspected task.
        """
        if server.reserved_for is None:
            server.reserved_for = suspect_key(task.key, step)
            self._reserved += 1

    def is_reserved(self, server: Server) -> bool:
        """Tell whether a server is kept for a suspect, without a change."""
        cause = server.reserved_for
        return cause is not None and self._is_needed(server, cause)

    def _admits_suspect(self, server: Server, cause: TaskKey) -> bool:
        if server.reserved_for is None:
            may_use = self._reserved < self._max_reserved
        else:
            may_use = server.reserved_for == cause
        return may_use and all(
            suspect_key(key.task, server.step_by_run[key]) == cause
            for key in server.recent_starts
        )

    def _is_needed(self, server: Server, cause: TaskKey) -> bool:
        pending = self._state.pending_by_key.get(cause)
        if pending is not None and not pending.held:
            return True
        return any(
            suspect_key(key.task, server.step_by_run[key]) == cause
            for key in server.recent_starts
        )


def _choose(
    step: Step,
    servers: list[Server],
    room_of: Callable[[Server], Resources],
) -> list[Server]:
    """Choose the servers with the fewest runs that a crash would lose."""
    if step.spec.gang:
        assignments = gangs.assign_members(step, servers, room_of) or []
        return [assignment.server for assignment in assignments]
    by_runs = sorted(servers, key=_count_runs)
    return by_runs[:1]


def _count_runs(server: Server) -> int:
    return len(server.run_by_key)
