"""Servers that are evaluated for a task, and those of them that may run it."""

import functools

from waxwingford.ports import fits_resources
from waxwingford.scheduling._admission import BestEffortAdmission
from waxwingford.scheduling._eligibility import eligible
from waxwingford.scheduling._isolation import Isolation
from waxwingford.scheduling._look_ahead import LookAhead
from waxwingford.scheduling._reservations import Reservations
from waxwingford.scheduling._round_work import RoundWork
from waxwingford.scheduling._server_selection import ServerSelection
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._shard_state import ShardState
from waxwingford.scheduling._task_order import PendingTask

#: Work of a look at a server for a best-effort task, see ``RoundWork``.
BEST_EFFORT_WORK = 5


class ServerPools:
    """Selects servers for tasks, with the state of one placement round.

    :ivar evaluations: servers that were evaluated for best-effort tasks.
    """

    def __init__(
        self,
        state: ShardState,
        admission: BestEffortAdmission,
        reservations: Reservations,
        isolation: Isolation,
        look_ahead: LookAhead | None,
        work: RoundWork,
    ) -> None:
        """Use what a placer decides with.

        :param work: counts the servers that are looked at.
        """
        self.evaluations = 0
        self._state = state
        self._admission = admission
        self._reservations = reservations
        self._isolation = isolation
        self._look_ahead = look_ahead
        self._work = work
        self._selection = ServerSelection()

    def pool(
        self, pending: PendingTask, usable: list[Server], now_ms: int
    ) -> list[Server]:
        """Select the servers to evaluate for a task.

        :param usable: servers that accept starts.
        :param now_ms: current monotonic time, in ms.
        """
        step, service = pending.step, pending.queue.service
        if step.spec.best_effort:
            pool = self._admission.open_servers(step, service, now_ms)
            self.evaluations += len(pool)
            self._work.add(step.name, BEST_EFFORT_WORK * len(pool))
            return pool
        pool = usable
        if not (step.spec.gang or pending.queue.advised):
            pool = self._selection.with_room(step, service, usable)
            if self._look_ahead is not None:
                pool = self._look_ahead.with_reserved(step, pool)
        self._work.add(step.name, len(pool))
        return pool

    def fitting(
        self, pending: PendingTask, servers: list[Server], now_ms: int
    ) -> list[Server]:
        """Keep the servers on which a task may start now.

        :param now_ms: current monotonic time, in ms.
        """
        with_room = self.with_room(pending, servers, now_ms)
        return self._isolation.admitting(with_room, pending.task, pending.step)

    def with_room(
        self, pending: PendingTask, servers: list[Server], now_ms: int
    ) -> list[Server]:
        """Keep the servers with room for a task, also those kept for suspects.

        :param now_ms: current monotonic time, in ms.
        """
        step = pending.step
        service = pending.queue.service
        takes = step.spec.reserved_resources
        room_of = functools.partial(self._reservations.available, step=step)
        if self._look_ahead is not None:
            room_of = self._look_ahead.room_of(step, now_ms)
            # Most servers are full while tasks wait.
            servers = [
                server
                for server in servers
                if fits_resources(takes, server.free_resources)
            ]
        fitting = [
            server
            for server in eligible(step, service, servers)
            if fits_resources(takes, room_of(server))
        ]
        if step.spec.best_effort:
            fitting = self._admission.admitting(step, service, fitting, now_ms)
        if pending.queue.advised and fitting:
            return self._state.tickets.allowed(step, fitting, now_ms)
        return fitting


__all__ = ('ServerPools',)
