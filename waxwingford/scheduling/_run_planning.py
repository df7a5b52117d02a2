"""Plans runs of tasks on the servers that were chosen for them."""

import functools
from collections.abc import Iterable

from waxwingford.scheduling import _gangs as gangs
from waxwingford.scheduling._backend_client import RunKey
from waxwingford.scheduling._crashes import is_suspect
from waxwingford.scheduling._gangs_in_progress import (
    MAX_MEMBERS_OF_ROUND,
    GangInProgress,
)
from waxwingford.scheduling._isolation import Isolation
from waxwingford.scheduling._look_ahead import LookAhead
from waxwingford.scheduling._pending_report import PendingReport
from waxwingford.scheduling._reservations import Reservations
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._shard_state import ShardState
from waxwingford.scheduling._state import Run, RunPhase, Step, Task


class RunPlanner:
    """Plans runs.

    :ivar placed: runs that were planned in this round.
    :ivar changed: servers that got a run or a reservation in this round, in order.
    """

    def __init__(
        self,
        state: ShardState,
        isolation: Isolation,
        report: PendingReport,
        look_ahead: LookAhead | None,
    ) -> None:
        self.placed = 0
        self.changed: list[Server] = []
        self._state = state
        self._isolation = isolation
        self._report = report
        self._look_ahead = look_ahead
        self._gang_by_step: dict[str, GangInProgress] = {}

    @property
    def plans_gangs(self) -> bool:
        """Whether members of gangs are still to be planned."""
        return bool(self._gang_by_step)

    def begin(self) -> None:
        """Begin a placement round."""
        self.placed = 0
        self.changed.clear()

    def go_on(
        self, usable: list[Server], reservations: Reservations, now_ms: int
    ) -> None:
        """Plan more members of gangs of which some are planned.

        :param usable: servers that accept starts.
        :param reservations: told of the room that is held for the others.
        :param now_ms: current monotonic time, in ms.
        """
        usable_ids = {server.entry.server_id for server in usable}
        for name, gang in list(self._gang_by_step.items()):
            room_of = functools.partial(reservations.available, step=gang.step)
            if gang.can_go_on(usable_ids, room_of):
                self._plan_part(gang, now_ms)
                gang.hold_room(reservations)
            else:
                gang.stop()
                del self._gang_by_step[name]

    def plan(self, task: Task, step: Step, server: Server, now_ms: int) -> None:
        """Plan a run.

        :param now_ms: current monotonic time, in ms.
        """
        # A copy doesn't wait: another run of its task is present.
        copied = bool(task.run_by_number)
        waited_ms = None if copied else now_ms - task.pending_since_ms
        task.last_run += 1
        key = RunKey(task.key, task.last_run)
        run = Run(
            key,
            server.incarnation,
            RunPhase.planned,
            now_ms,
            now_ms,
            checkpoint=task.checkpoint,
            progress_changed_ms=now_ms,
            resumed_from=task.checkpoint,
        )
        step.add_run(task, run)
        suspected = task.suspected_crashes or task.lost_starts
        if (suspected or step.spec.gang) and is_suspect(task, step):
            self._isolation.isolate(server, task, step)
        self._state.pending_by_key.discard(task.key)
        gang = self._gang_by_step.get(step.name)
        self._state.plan(run, step, starts=gang is None)
        if gang is not None:
            gang.note_planned(server, run)
        if self._look_ahead is not None:
            self._look_ahead.note_planned(task, step, server, now_ms)
        self.changed.append(server)
        self._report.count_placed(step)
        self.placed += 1
        self._state.notes.add(
            'run.planned',
            task.key,
            run=key.run,
            server=server.entry.server_id,
            waited_ms=waited_ms,
            looked_ms_ago=now_ms - server.polled_ms,
            terms=self._state.terms.version,
        )

    def plan_gang(
        self, step: Step, assignments: Iterable[gangs.Assignment], now_ms: int
    ) -> None:
        """Plan runs of all members of a gang, those of a wide one in several rounds.

        :param assignments: servers of all members.
        :param now_ms: current monotonic time, in ms.
        """
        gang = GangInProgress(step, list(assignments))
        self._gang_by_step[step.name] = gang
        self._plan_part(gang, now_ms)

    def _plan_part(self, gang: GangInProgress, now_ms: int) -> None:
        for task, server in gang.take(MAX_MEMBERS_OF_ROUND):
            task.last_run = gang.number - 1
            self.plan(task, gang.step, server, now_ms)
        if gang.complete:
            self._state.add_starts(gang.starts)
            del self._gang_by_step[gang.step.name]


__all__ = ('RunPlanner',)
