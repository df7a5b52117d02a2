"""Tells whether best-effort tasks have room on the servers of a shard."""

import statistics
from collections.abc import Callable, Iterable

from waxwingford.ports import Resources, fits_resources, subtract_resources
from waxwingford.scheduling._eligibility import usable_servers
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._shard_state import ShardState


class RoomChecks:
    """Checks of one update, of the servers that accept starts."""

    def __init__(
        self,
        state: ShardState,
        available: Callable[[Server], Resources],
        now_ms: int,
    ) -> None:
        """Prepare the checks.

        :param available: tells the resources of a server neither used nor reserved.
        :param now_ms: current monotonic time, in ms.
        """
        self._available = available
        self._servers = usable_servers(state, now_ms)
        self._rooms_by_service: dict[str, list[Resources]] = {}
        self._fits_by_shape: dict[tuple[str, Resources], bool] = {}

    def fits_beside(self, takes: Resources, service: str) -> bool:
        """Whether a task ever fits on a server beside its long-running tasks.

        :param takes: resources that the task reserves.
        """
        shape = service, takes
        fits = self._fits_by_shape.get(shape)
        if fits is None:
            fits = any(
                fits_resources(takes, room) for room in self._rooms(service)
            )
            self._fits_by_shape[shape] = fits
        return fits

    def fits_now(self, needs: Iterable[Resources], service: str) -> bool:
        """Whether a typical task fits on a server at present.

        Each resource is the median, as a mean follows a single large task. Tasks that
        never fit are left out.

        :param needs: resources of recent tasks, with CPU.
        """
        fitting = [
            one
            for one in needs
            if self.fits_beside(one._replace(processors_milli=0), service)
        ]
        if not fitting:
            return True
        typical = Resources(
            *(statistics.median_high(level) for level in zip(*fitting))
        )
        return any(
            fits_resources(typical, self._unused(server))
            for server in self._servers
            if server.entry.service == service and server.reserved_for is None
        )

    def _unused(self, server: Server) -> Resources:
        room = self._available(server)
        left_milli = room.processors_milli - server.best_effort_milli
        return room._replace(processors_milli=left_milli)

    def _rooms(self, service: str) -> list[Resources]:
        rooms = self._rooms_by_service.get(service)
        if rooms is None:
            rooms = [
                _beside_long_running(server)
                for server in self._servers
                if server.entry.service == service
            ]
            self._rooms_by_service[service] = rooms
        return rooms


def _beside_long_running(server: Server) -> Resources:
    room = server.entry.capacity
    for step in server.step_by_run.values():
        if step.spec.long_running:
            room = subtract_resources(room, step.spec.reserved_resources)
    return room


__all__ = ('RoomChecks',)
