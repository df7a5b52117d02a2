"""Shapes of the tasks that wait for room, and what other tasks leave for them.

A shape is what one task takes of a server.
"""

from waxwingford.ports import Resources, fits_resources
from waxwingford.scheduling._crashes import is_suspect
from waxwingford.scheduling._eligibility import matches
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._shard_state import ShardState
from waxwingford.scheduling._state import Step
from waxwingford.scheduling._task_order import PendingTask


class WaitingShapes:
    """Shapes that the tasks of a service need room for."""

    def __init__(self, state: ShardState) -> None:
        self._state = state
        self._waiting_by_step: dict[str, PendingTask] = {}
        self._largest_by_service: dict[str, PendingTask] = {}

    def begin(self) -> None:
        """Begin a placement round: forget tasks that no longer wait."""
        pending_by_key = self._state.pending_by_key
        waiting = [
            pending
            for pending in self._waiting_by_step.values()
            if pending.task.key in pending_by_key
        ]
        self._waiting_by_step.clear()
        self._largest_by_service.clear()
        for pending in waiting:
            self._insert(pending)

    def add(self, pending: PendingTask, usable: list[Server]) -> None:
        """Add a task that fits on no server now.

        :param usable: servers that accept starts.
        """
        if pending.step.name in self._waiting_by_step or not may_reserve(
            pending
        ):
            return
        service = pending.queue.service
        needs = pending.step.spec.needs
        if any(
            fits_resources(needs, server.entry.capacity)
            and matches(pending.step, service, server)
            for server in usable
        ):
            self._insert(pending)

    def leave_memory(
        self, step: Step, server: Server, room: Resources
    ) -> Resources:
        """Subtract the memory that a best-effort task has to leave on a server.

        A server whose free CPU suffices for a task of the largest waiting shape would
        otherwise be of no use to it.

        :param step: step of the task to place.
        :param room: resources that the task could use.
        """
        largest = self._largest_by_service.get(server.entry.service)
        if largest is None or not step.spec.best_effort:
            return room
        needs = largest.step.spec.needs
        free_milli = server.free_resources.processors_milli
        if (
            needs.processors_milli > free_milli
            or not fits_resources(needs, server.entry.capacity)
            or not matches(largest.step, largest.queue.service, server)
            or not _may_have_memory(server, needs.memory_mb)
        ):
            return room
        return room._replace(memory_mb=room.memory_mb - needs.memory_mb)

    def _insert(self, pending: PendingTask) -> None:
        self._waiting_by_step[pending.step.name] = pending
        service = pending.queue.service
        largest = self._largest_by_service.get(service)
        if largest is None or _is_larger(
            pending.step.spec.needs, largest.step.spec.needs
        ):
            self._largest_by_service[service] = pending


def may_reserve(pending: PendingTask) -> bool:
    """Tell whether room is kept for a task.

    Best-effort tasks use what others leave. Gangs need several servers at a time. The
    servers for suspects and for steps with tickets depend on more than on room.
    """
    spec = pending.step.spec
    return not (
        spec.best_effort
        or spec.gang
        or pending.queue.advised
        or is_suspect(pending.task, pending.step)
    )


def _is_larger(one: Resources, other: Resources) -> bool:
    return (one.processors_milli, one.memory_mb) > (
        other.processors_milli,
        other.memory_mb,
    )


def _may_have_memory(server: Server, needed_mb: int) -> bool:
    """Tell whether memory is free beside the long-running tasks of a server.

    :param needed_mb: memory in MB.
    """
    memory_mb = server.free_resources.memory_mb
    if needed_mb <= memory_mb:
        return True
    releasable_mb = sum(
        step.spec.needs.memory_mb
        for step in server.step_by_run.values()
        if not step.spec.long_running
    )
    return needed_mb <= memory_mb + releasable_mb
