"""Preemptions in progress, and the room that is held for their tasks."""

from typing import NamedTuple

from waxwingford.ports import Resources, fits_resources, subtract_resources
from waxwingford.scheduling._backend_client import RunKey, TaskKey
from waxwingford.scheduling._incarnations import Incarnation
from waxwingford.scheduling._reservations import Reservations
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._shard_state import ShardState
from waxwingford.scheduling._state import Step, Task

#: Time for which freed room is held for the task that has preempted, in ms.
HOLD_MS = 2000
_ROOM_USED = 'room used'
_SERVER_LEFT = 'server left'
_TOO_LATE = 'too late'


class Preemption(NamedTuple):
    """A preemption whose task isn't placed yet.

    :ivar task: task that has preempted.
    :ivar stopped: runs that were stopped, and what their ends free.
    :ivar since_ms: monotonic time in ms at which they were stopped.
    """

    task: Task
    step: Step
    server: Server
    stopped: dict[RunKey, Resources]
    since_ms: int

    @property
    def held(self) -> Resources:
        """Resources that others may not use; stopped runs still occupy the rest."""
        held = self.step.spec.reserved_resources
        for key, freed in self.stopped.items():
            if key in self.server.run_by_key:
                held = subtract_resources(held, freed)
        return Resources(*(max(0, one) for one in held))


class PreemptionHolds:
    """Holds room until the tasks that have preempted are placed."""

    def __init__(self, state: ShardState) -> None:
        self._state = state
        self._in_progress: dict[TaskKey, Preemption] = {}
        #: Room that is held in this round.
        self._held: dict[TaskKey, Resources] = {}
        self._abandoned_on: dict[TaskKey, set[Incarnation]] = {}

    def __len__(self) -> int:
        return len(self._in_progress)

    def __contains__(self, key: TaskKey) -> bool:
        return key in self._in_progress

    def begin(self, reservations: Reservations, now_ms: int) -> None:
        """Begin a placement round: end what is over, hold room for the rest.

        :param now_ms: current monotonic time, in ms.
        """
        self._held.clear()
        self.release_placed(reservations)
        for key, preemption in list(self._in_progress.items()):
            available = reservations.available(preemption.server)
            reason = self._abandon_reason(preemption, available, now_ms)
            if reason:
                self._in_progress.pop(key)
                self._note_abandoned(preemption, reason, now_ms)
            else:
                self._hold(preemption, available, reservations)

    def add(self, preemption: Preemption, reservations: Reservations) -> None:
        """Hold room for a task that has preempted now."""
        key, held = preemption.task.key, preemption.held
        self._in_progress[key] = preemption
        self._held[key] = held
        reservations.hold(preemption.server, preemption.step, held)

    def servers_of(self, step: Step) -> set[Incarnation]:
        """List the servers on which tasks of a step have preempted."""
        return {
            one.server.incarnation
            for one in self._in_progress.values()
            if one.step is step
        }

    def abandoned_on(self, task: Task) -> set[Incarnation]:
        """List the servers on which a pending task has preempted in vain."""
        return self._abandoned_on.get(task.key, set())

    def release_placed(self, reservations: Reservations) -> None:
        """End the preemptions of tasks that are no longer pending."""
        pending = self._state.pending_by_key
        for key, preemption in list(self._in_progress.items()):
            if key in pending:
                continue
            self._in_progress.pop(key)
            held = self._held.pop(key, None)
            if held is not None:
                reservations.release(preemption.server, preemption.step, held)
            self._hand_over(preemption)
        for key in self._abandoned_on.keys() - pending.keys():
            self._abandoned_on.pop(key)

    def _hand_over(self, preemption: Preemption) -> None:
        """Let another task of the step use what runs free that have yet to end.

        A task may be placed in the room that was held for another one of its step.
        """
        server, step = preemption.server, preemption.step
        runs = preemption.task.run_by_number.values()
        if not any(run.incarnation == server.incarnation for run in runs):
            return
        for other in self._in_progress.values():
            if other.server is server and other.step is step:
                other.stopped.update(preemption.stopped)
                return

    def _hold(
        self,
        preemption: Preemption,
        available: Resources,
        reservations: Reservations,
    ) -> None:
        """Hold room for a task, or what is left of it.

        :param available: resources that aren't held for others.
        """
        pairs = zip(preemption.held, available, strict=True)
        held = Resources(*(max(0, min(pair)) for pair in pairs))
        self._held[preemption.task.key] = held
        reservations.hold(preemption.server, preemption.step, held)

    def _abandon_reason(
        self, preemption: Preemption, available: Resources, now_ms: int
    ) -> str:
        """Tell why a preemption ends without a start, empty if it goes on.

        If its room was used, it goes on until its stopped runs have ended. Otherwise
        its task would stop others although their room is still to come.

        :param available: resources that aren't held for others.
        :param now_ms: current monotonic time, in ms.
        """
        server = preemption.server
        server_id = server.entry.server_id
        left = (
            server.entry.draining
            or server.evacuated
            or self._state.server_by_id.get(server_id) is not server
        )
        if left:
            return _SERVER_LEFT
        if now_ms - preemption.since_ms >= HOLD_MS:
            return _TOO_LATE
        ending = any(key in server.run_by_key for key in preemption.stopped)
        if ending or fits_resources(preemption.held, available):
            return ''
        return _ROOM_USED

    def _note_abandoned(
        self, preemption: Preemption, reason: str, now_ms: int
    ) -> None:
        task, server = preemption.task, preemption.server
        if reason != _ROOM_USED:
            abandoned_on = self._abandoned_on.setdefault(task.key, set())
            abandoned_on.add(server.incarnation)
        self._state.notes.add(
            'preemption.abandoned',
            task.key,
            server=server.entry.server_id,
            reason=reason,
            held_ms=now_ms - preemption.since_ms,
            server_left=reason == _SERVER_LEFT,
            not_ended=sum(
                key in server.run_by_key for key in preemption.stopped
            ),
        )
