"""Reservations of room that running tasks are expected to release.

A waiting task that fits on no server gets the server that has room for it first, and
the time from which on. Other tasks may use that room before (backfilling) if they are
expected to end in time. Nothing is stored: a new owner makes its own reservations.
"""

import copy
import functools
from collections.abc import Callable
from typing import Self

from waxwingford.ports import (
    Resources,
    add_resources,
    fits_resources,
    subtract_resources,
)
from waxwingford.scheduling._backend_client import TaskKey
from waxwingford.scheduling._eligibility import eligible
from waxwingford.scheduling._placement_view import RoomPreview
from waxwingford.scheduling._reservations import Reservations, common_resources
from waxwingford.scheduling._reserved_room import Reservation, ReservedRoom
from waxwingford.scheduling._room_profile import OVERDUE_RUN_MS
from waxwingford.scheduling._server_selection import ServerSelection
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._shard_state import ShardState
from waxwingford.scheduling._state import Step, Task
from waxwingford.scheduling._task_order import PendingTask
from waxwingford.scheduling._waiting_shapes import WaitingShapes, may_reserve

#: Maximum number of reservations, and of those for one step.
MAX_RESERVATIONS = 8
MAX_STEP_RESERVATIONS = 2
#: Maximum number of searches in one round, as each evaluates up to 400 servers.
MAX_SEARCHES = 2
#: Interval between searches for a better server, and time before a search that found
#: no server is repeated for a step, in ms.
SEARCH_INTERVAL_MS = 400
#: Time by which another server has to be earlier for a reservation to move, in ms.
MIN_GAIN_MS = 300
#: Time for which reserved room may be free without being used before the reservation
#: moves, in ms.
MAX_UNUSED_MS = 500


class LookAhead:
    """Reservations for waiting tasks, kept from round to round.

    :ivar shapes: shapes of the tasks that wait.
    """

    def __init__(self, state: ShardState, reservations: Reservations) -> None:
        """Begin without reservations.

        :param reservations: told what is left to tasks of unknown end.
        """
        self.shapes = WaitingShapes(state)
        self._state = state
        self._reservations = reservations
        self._selection = ServerSelection()
        self._room = ReservedRoom(state, reservations)
        # Ended reservations of tasks that still wait, as the time by which others may
        # put a task back is bounded in all.
        self._former_by_task: dict[TaskKey, Reservation] = {}
        self._retry_ms_by_step: dict[str, int] = {}
        self._searches = 0

    def begin(self, usable: list[Server], now_ms: int) -> None:
        """Begin a placement round, after that of ``Reservations``.

        :param usable: servers that accept starts.
        :param now_ms: current monotonic time, in ms.
        """
        self.shapes.begin()
        self._searches = 0
        self._retry_ms_by_step = {
            name: retry_ms
            for name, retry_ms in self._retry_ms_by_step.items()
            if retry_ms > now_ms
        }
        self._former_by_task = {
            key: held
            for key, held in self._former_by_task.items()
            if key in self._state.pending_by_key
        }
        if not self._room.held:
            self._room.clear_profiles()
            return
        ended = [(held, self._find_end(held)) for held in self._room.held]
        for held, how in ended:
            if how:
                self._end(held, how, now_ms)
        usable_ids = {server.entry.server_id for server in usable}
        kept = tuple(self._room.held)
        for one in kept:
            is_usable = one.server.entry.server_id in usable_ids
            if not self._is_imminent(one, is_usable, now_ms):
                self._update(one, usable, now_ms)
        for reserved in kept:
            self._room.limit(reserved.server, now_ms)

    def reserve(
        self,
        pending: PendingTask,
        usable: list[Server],
        changed: list[Server],
        now_ms: int,
    ) -> None:
        """Reserve room for a task that fits on no server now.

        :param usable: servers that accept starts.
        :param changed: servers that have changed in this round; the reserved one is
            added.
        :param now_ms: current monotonic time, in ms.
        """
        self.shapes.add(pending, usable)
        if not self._may_search(pending):
            return
        found = self._search(pending, usable, now_ms)
        if found is None:
            retry_ms = now_ms + SEARCH_INTERVAL_MS
            self._retry_ms_by_step[pending.step.name] = retry_ms
            return
        server, due_ms = found
        takes = pending.step.spec.reserved_resources
        held = self._former_by_task.pop(pending.task.key, None)
        if held is None:
            held = Reservation(pending, server, takes, due_ms, due_ms, now_ms)
        held.move(server, due_ms, now_ms)
        self._room.held.append(held)
        self._room.limit(server, now_ms)
        self._note('room.reserved', held, now_ms)
        changed.append(server)

    def room_of(self, step: Step, now_ms: int) -> Callable[[Server], Resources]:
        """Return a function that returns what a task may use of a server.

        :param step: step of the task.
        :param now_ms: current monotonic time, in ms.
        """

        def room(server: Server) -> Resources:
            free = self._room.room_for(step, server, now_ms)
            return self.shapes.leave_memory(step, server, free)

        return room

    def preview(self) -> Self:
        """Copy the reservations and shapes for ``room_of``.

        The copy has caches of its own. A profile that a question cached would otherwise be used by later decisions.
        """
        copied = copy.copy(self)
        copied._room = self._room.preview()
        return copied

    def with_reserved(self, step: Step, servers: list[Server]) -> list[Server]:
        """Add the servers that are reserved for a step to a selection."""
        own = [
            held.server
            for held in self._room.held
            if held.pending.step is step and held.server not in servers
        ]
        return [*servers, *own] if own else servers

    def note_planned(
        self, task: Task, step: Step, server: Server, now_ms: int
    ) -> None:
        """Apply that a run was planned.

        :param now_ms: current monotonic time, in ms.
        """
        on_server = self._room.on_server(server)
        used = next(
            (held for held in on_server if held.pending.step is step), None
        )
        if used is not None:
            self._end(used, 'used', now_ms)
        elif on_server:
            self._note_backfilled(task, step, on_server, now_ms)
        for held in self._room.held.copy():
            if held.pending.task is task:
                self._end(held, 'placed_elsewhere', now_ms)
        if on_server:
            self._room.limit(server, now_ms)

    def _may_search(self, pending: PendingTask) -> bool:
        name = pending.step.name
        if not pending.overdue:
            # Reserved room is lost to tasks that could use it at once. Reservations
            # for short tasks make more of them late than they help.
            return False
        if (
            len(self._room.held) >= MAX_RESERVATIONS
            or self._searches >= MAX_SEARCHES
            or name in self._retry_ms_by_step
            or not may_reserve(pending)
        ):
            return False
        of_step = [
            held for held in self._room.held if held.pending.step.name == name
        ]
        return len(of_step) < MAX_STEP_RESERVATIONS and not any(
            held.pending.task is pending.task for held in of_step
        )

    def _find_end(self, held: Reservation) -> str:
        """Tell how a reservation has ended, empty if it goes on."""
        if held.pending.task.key not in self._state.pending_by_key:
            return 'gone'
        server_id = held.server.entry.server_id
        current = self._state.server_by_id.get(server_id)
        if current is not held.server or not current.is_available:
            return 'server_lost'
        return ''

    def _is_imminent(
        self, held: Reservation, usable: bool, now_ms: int
    ) -> bool:
        """Tell whether the room of a reservation is free, to be used at once.

        Something else may bar the task there; then the reservation isn't kept.
        """
        own_ms = self._room.room_ms(held.takes, held.server, held, now_ms)
        if own_ms != now_ms or not usable:
            return False
        held.set_due(min(held.due_ms, now_ms))
        return now_ms - held.due_ms <= MAX_UNUSED_MS

    def _update(
        self, held: Reservation, usable: list[Server], now_ms: int
    ) -> None:
        """Predict again, and move a reservation if another server is better."""
        own_ms = self._room.room_ms(held.takes, held.server, held, now_ms)
        if own_ms is not None and own_ms <= now_ms:
            own_ms = None
        passed = own_ms is None or now_ms > held.due_ms + OVERDUE_RUN_MS
        if own_ms is not None:
            held.set_due(own_ms)
        if not passed and now_ms - held.searched_ms < SEARCH_INTERVAL_MS:
            return
        if self._searches >= MAX_SEARCHES:
            return
        own_ms = own_ms or held.latest_end_ms(now_ms)
        held.searched_ms = now_ms
        found = self._search(held.pending, usable, now_ms, held)
        if own_ms is None and found is None:
            self._end(held, 'no_room', now_ms)
        elif found and _is_better(*found, held, own_ms):
            self._move(held, *found, now_ms)

    def _move(
        self, held: Reservation, server: Server, due_ms: float, now_ms: int
    ) -> None:
        former = held.server
        held.move(server, due_ms, now_ms)
        self._room.limit(former, now_ms)
        self._note('room.moved', held, now_ms, former=former.entry.server_id)

    def _search(
        self,
        pending: PendingTask,
        usable: list[Server],
        now_ms: int,
        own: Reservation | None = None,
    ) -> tuple[Server, float] | None:
        """Find the server that has room first, and from when on.

        Servers with room now are left out: something else bars the task there.
        """
        self._searches += 1
        step = pending.step
        takes = step.spec.reserved_resources
        window = self._selection.window(usable)
        found = [
            (due_ms, number, server)
            for number, server in enumerate(
                eligible(step, pending.queue.service, window)
            )
            if _may_fit(takes, server)
            and server.incarnation not in pending.task.avoided
            and (due_ms := self._room.room_ms(takes, server, own, now_ms))
            and due_ms > now_ms
        ]
        if not found:
            return None
        due_ms, _, server = min(found)
        return server, due_ms

    def _note_backfilled(
        self,
        task: Task,
        step: Step,
        on_server: list[Reservation],
        now_ms: int,
    ) -> None:
        server = on_server[0].server
        takes = step.spec.reserved_resources
        # The limit is that of before the run was planned.
        before = add_resources(self._reservations.available(server), takes)
        limit = self._reservations.limit_of(server)
        if limit is not None:
            before = common_resources(before, limit)
        if fits_resources(takes, before):
            return
        run_time_ms = self._room.run_time_ms(step)
        for held in on_server:
            if held.admits(run_time_ms, now_ms):
                held.filled = True
        self._state.notes.add(
            'room.backfilled',
            task.key,
            server=server.entry.server_id,
            reserved_for=str(on_server[0].pending.task.key),
            reserved_in_ms=round(on_server[0].due_ms - now_ms),
            expected_ms=round(run_time_ms),
        )

    def _end(self, held: Reservation, how: str, now_ms: int) -> None:
        self._room.held.remove(held)
        self._former_by_task[held.pending.task.key] = held
        self._room.limit(held.server, now_ms)
        self._state.notes.add(
            'room.reservation_ended',
            held.pending.task.key,
            server=held.server.entry.server_id,
            how=how,
            late_ms=round(now_ms - held.due_ms),
        )

    def _note(
        self, event: str, held: Reservation, now_ms: int, **more: object
    ) -> None:
        missing = subtract_resources(held.takes, held.server.free_resources)
        self._state.notes.add(
            event,
            held.pending.task.key,
            server=held.server.entry.server_id,
            in_ms=round(held.due_ms - now_ms),
            waited_ms=now_ms - held.pending.task.pending_since_ms,
            missing={
                name: lack
                for name, lack in missing._asdict().items()
                if lack > 0
            },
            **more,
        )


def preview_room(
    reservations: Reservations, look_ahead: LookAhead | None
) -> RoomPreview:
    """Copy what placement reads of reserved room.

    :param look_ahead: ``None`` if it is off.
    """
    if look_ahead is not None:
        copied = look_ahead.preview()
        return RoomPreview(copied.room_of)
    available = reservations.available
    return RoomPreview(lambda step, _: functools.partial(available, step=step))


def _may_fit(takes: Resources, server: Server) -> bool:
    """Tell whether a task could ever fit beside the long-running ones."""
    capacity = server.entry.capacity
    short_milli = capacity.processors_milli - server.long_running_milli
    return takes.processors_milli <= short_milli and fits_resources(
        takes, capacity
    )


def _is_better(
    server: Server, due_ms: float, held: Reservation, own_ms: float | None
) -> bool:
    if server is held.server:
        return False
    return own_ms is None or due_ms + MIN_GAIN_MS < own_ms
