"""Reserved room by server, and what other tasks may use of it."""

import copy
import dataclasses
import math
import operator
from collections.abc import Collection
from typing import Self

from waxwingford.ports import Resources, add_resources, subtract_resources
from waxwingford.scheduling._job_estimates import expected_run_time_ms
from waxwingford.scheduling._reservations import Reservations, common_resources
from waxwingford.scheduling._room_profile import RoomProfiles
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._shard_state import ShardState
from waxwingford.scheduling._state import Step
from waxwingford.scheduling._task_order import PendingTask

#: Time by which tasks that fill in may put a reserved time back in all, in ms.
MAX_PUT_BACK_MS = 2000
#: A task fills in only if that bound holds even if it takes this multiple of its
#: expected run time.
OVERRUN_FACTOR = 3


@dataclasses.dataclass(slots=True, eq=False)
class Reservation:
    """Room for one waiting task on one server.

    Times are monotonic times of the owner in milliseconds.

    :ivar takes: resources of the task.
    :ivar due_ms: time from which on the room is expected to be free.
    :ivar promised_ms: this time when the first task filled in.
    :ivar filled: whether a task has filled in.
    :ivar put_back_ms: time by which tasks that filled in on former servers have put
        the task back.
    :ivar searched_ms: time of the latest search.
    """

    pending: PendingTask
    server: Server
    takes: Resources
    due_ms: float
    promised_ms: float
    searched_ms: int
    filled: bool = False
    put_back_ms: float = 0

    @property
    def latest_ms(self) -> float:
        """Time until which tasks that fill in may put this one back, in ms."""
        return self.promised_ms + MAX_PUT_BACK_MS - self.put_back_ms

    def latest_end_ms(self, now_ms: int) -> float | None:
        """Predict when tasks that filled in and are late have ended.

        :param now_ms: current monotonic time, in ms.
        :returns: monotonic time in ms, ``None`` if it is unknown.
        """
        known = self.filled and now_ms <= self.latest_ms
        return self.latest_ms if known else None

    def admits(self, run_time_ms: float, now_ms: int) -> bool:
        """Tell whether a task may fill in.

        :param run_time_ms: expected run time in ms, infinite if it is unknown.
        :param now_ms: current monotonic time, in ms.
        """
        return (
            now_ms + run_time_ms <= self.due_ms
            and now_ms + OVERRUN_FACTOR * run_time_ms <= self.latest_ms
        )

    def set_due(self, due_ms: float) -> None:
        """Apply a new prediction for the same server.

        :param due_ms: monotonic time in ms.
        """
        self.due_ms = due_ms
        self.promised_ms = (
            min(self.promised_ms, due_ms) if self.filled else due_ms
        )

    def move(self, server: Server, due_ms: float, now_ms: int) -> None:
        """Move to another server.

        All of the delay is put down to the tasks that have filled in.

        :param due_ms: time from which on it is expected to have room, in ms.
        :param now_ms: current monotonic time, in ms.
        """
        self.searched_ms = now_ms
        if self.filled:
            self.put_back_ms += max(0, due_ms - self.promised_ms)
        self.filled = False
        self.server = server
        self.set_due(due_ms)


class ReservedRoom:
    """Reservations for waiting tasks, by server.

    :ivar held: all reservations.
    """

    def __init__(self, state: ShardState, reservations: Reservations) -> None:
        """Begin without reservations.

        :param reservations: told what is left to tasks of unknown end.
        """
        self.held: list[Reservation] = []
        self._reservations = reservations
        self._run_times = state.learned.run_times
        self._profiles = RoomProfiles(self._run_times)

    def clear_profiles(self) -> None:
        """Forget the profiles of servers."""
        self._profiles.clear()

    def preview(self) -> Self:
        """Copy the reservations and profiles for ``room_for``."""
        copied = copy.copy(self)
        copied.held = self.held.copy()
        copied._profiles = self._profiles.preview()
        return copied

    def on_server(self, server: Server) -> list[Reservation]:
        """List the reservations on a server."""
        return [held for held in self.held if held.server is server]

    def run_time_ms(self, step: Step) -> float:
        """Predict the run time of a step's tasks.

        :returns: run time in ms, infinite for long-running tasks.
        """
        if step.spec.long_running:
            return math.inf
        return expected_run_time_ms(step, self._run_times)

    def room_for(self, step: Step, server: Server, now_ms: int) -> Resources:
        """Return the resources of a server that a task may use.

        A step may always use the room that is reserved for a task of it.

        :param now_ms: current monotonic time, in ms.
        """
        on_server = self.on_server(server)
        if not on_server:
            return self._reservations.available(server, step)
        if any(held.pending.step is step for held in on_server):
            return self._reservations.within(server, None, step)
        run_time_ms = self.run_time_ms(step)
        barring = [
            held for held in on_server if not held.admits(run_time_ms, now_ms)
        ]
        later = self._later_room(server, barring, now_ms)
        return self._reservations.within(server, later, step)

    def room_ms(
        self,
        takes: Resources,
        server: Server,
        own: Reservation | None,
        now_ms: int,
    ) -> float | None:
        """Predict when a server has room beside its other reservations.

        :param takes: resources of the task.
        :param own: reservation that the task has, if any.
        :param now_ms: current monotonic time, in ms.
        :returns: monotonic time in ms, ``None`` if it is unknown.
        """
        for held in self.on_server(server):
            if held is not own:
                takes = add_resources(takes, held.takes)
        profile = self._profiles.profile_of(server, now_ms)
        return profile.first_fit(takes, now_ms)

    def limit(self, server: Server, now_ms: int) -> None:
        """Limit what tasks of unknown end may use of a server.

        :param now_ms: current monotonic time, in ms.
        """
        on_server = self.on_server(server)
        later = self._later_room(server, on_server, now_ms)
        self._reservations.limit(server, later)

    def _later_room(
        self, server: Server, barring: Collection[Reservation], now_ms: int
    ) -> Resources | None:
        """Compute the room that reservations leave from their times on.

        :returns: room, ``None`` if there are no reservations.
        """
        if not barring:
            return None
        profile = self._profiles.profile_of(server, now_ms)
        later: Resources | None = None
        taken = Resources(0, 0, 0)
        for held in sorted(barring, key=operator.attrgetter('due_ms')):
            taken = add_resources(taken, held.takes)
            left = subtract_resources(profile.at(held.due_ms, now_ms), taken)
            later = left if later is None else common_resources(later, left)
        return later


__all__ = ('Reservation', 'ReservedRoom')
