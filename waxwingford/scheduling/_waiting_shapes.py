"""Shapes of the tasks that wait for room, and what other tasks leave for them.

A shape is what one task takes of a server. The free resources of a server that no
such task can use, because too little of the one or the other is left, are stranded.
"""

import copy
import itertools
import statistics
from typing import Self

from waxwingford.ports import Resources, fits_resources, subtract_resources
from waxwingford.scheduling._crashes import is_suspect
from waxwingford.scheduling._eligibility import matches
from waxwingford.scheduling._server_costs import BEST_EFFORT_WEIGHT
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._shard_state import ShardState
from waxwingford.scheduling._state import Step
from waxwingford.scheduling._task_order import PendingTask

#: Interval between updates of the typical long-running task of a service, in ms.
TYPICAL_INTERVAL_MS = 1000
#: Servers of a service that are sampled for it.
MAX_SAMPLED_SERVERS = 64
#: Weight of all stranded resources of a server beside those that a task newly
#: strands: of two servers where it strands as much, the one that is left with less is
#: better.
STRANDED_WEIGHT = 0.1


class WaitingShapes:
    """Shapes that the tasks of a service need room for."""

    def __init__(self, state: ShardState) -> None:
        self._state = state
        self._waiting_by_step: dict[str, PendingTask] = {}
        self._largest_by_service: dict[str, PendingTask] = {}
        self._typical_by_service: dict[str, Resources | None] = {}
        self._typical_ms = 0

    def begin(self, now_ms: int) -> None:
        """Begin a placement round: forget tasks that no longer wait.

        :param now_ms: current monotonic time, in ms.
        """
        if now_ms - self._typical_ms >= TYPICAL_INTERVAL_MS:
            self._typical_ms = now_ms
            self._typical_by_service.clear()
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

    def preview(self) -> Self:
        """Copy the shapes for ``leave_memory`` and ``stranding_cost``."""
        copied = copy.copy(self)
        copied._typical_by_service = self._typical_by_service.copy()
        return copied

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

    def stranding_cost(self, step: Step, server: Server) -> float | None:
        """Compute the cost of the resources that a short task strands.

        :returns: cost in units of a server's whole CPU, ``None`` while no larger task
            waits or for tasks that aren't short.
        """
        spec = step.spec
        if spec.best_effort or spec.long_running or spec.target_ms:
            return None
        service = server.entry.service
        largest = self._largest_by_service.get(service)
        if largest is None or not _is_larger(
            largest.step.spec.needs, spec.needs
        ):
            return None
        shapes = [largest.step.spec.needs]
        typical = self._typical(service)
        if typical is not None:
            shapes.append(typical)
        capacity = server.entry.capacity
        before = stranded_share(server.free_resources, shapes, capacity)
        left = subtract_resources(server.free_resources, spec.needs)
        after = stranded_share(left, shapes, capacity)
        best_effort_share = server.best_effort_milli / max(
            1, capacity.processors_milli
        )
        return (
            after
            - before
            + STRANDED_WEIGHT * after
            + BEST_EFFORT_WEIGHT * best_effort_share
        )

    def _insert(self, pending: PendingTask) -> None:
        self._waiting_by_step[pending.step.name] = pending
        service = pending.queue.service
        largest = self._largest_by_service.get(service)
        if largest is None or _is_larger(
            pending.step.spec.needs, largest.step.spec.needs
        ):
            self._largest_by_service[service] = pending

    def _typical(self, service: str) -> Resources | None:
        if service not in self._typical_by_service:
            self._typical_by_service[service] = _typical_long_running(
                self._state, service
            )
        return self._typical_by_service[service]


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


def stranded_share(
    room: Resources, shapes: list[Resources], capacity: Resources
) -> float:
    """Compute what no task of the shapes can use of free resources.

    :param shapes: shapes of tasks, of which the best suited one counts.
    :returns: mean of the stranded shares of a server's CPU and memory.
    """
    return min(_left_share(room, shape, capacity) for shape in shapes)


def _left_share(
    room: Resources, shape: Resources, capacity: Resources
) -> float:
    count = min(
        room.processors_milli // max(1, shape.processors_milli),
        room.memory_mb // max(1, shape.memory_mb),
    )
    left_milli = room.processors_milli - count * shape.processors_milli
    left_mb = room.memory_mb - count * shape.memory_mb
    return (
        left_milli / max(1, capacity.processors_milli)
        + left_mb / max(1, capacity.memory_mb)
    ) / 2


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


def _typical_long_running(state: ShardState, service: str) -> Resources | None:
    servers = (
        server
        for server in state.server_by_id.values()
        if server.entry.service == service
    )
    needs = [
        step.spec.needs
        for server in itertools.islice(servers, MAX_SAMPLED_SERVERS)
        for step in server.step_by_run.values()
        if step.spec.long_running
    ]
    if not needs:
        return None
    return Resources(
        round(statistics.fmean(one.processors_milli for one in needs)),
        round(statistics.fmean(one.memory_mb for one in needs)),
        0,
    )
