"""Checks a policy's placements before they become claims."""

from collections.abc import Iterable, Mapping

from waxwingford.batch._effects import Note
from waxwingford.batch._placing import PROBATION_MS, room_for_claims
from waxwingford.batch._quotas import Quotas
from waxwingford.batch._server import ServerControl
from waxwingford.placement import Placement, ServerView
from waxwingford.ports import Resources
from waxwingford.records import (
    TaskState,
    fits_resources,
    subtract_resources,
)


class CheckedPlacements:
    """Placements of one round that hold.

    The policy is a plug-in: a wrong decision of it must neither over-commit a
    VM nor stop the daemon, so it is left out and noted.

    :ivar placed: placements with their tasks.
    :ivar left: tasks that found no place.
    :ivar notes: on placements that were left out.
    """

    def __init__(
        self,
        views: list[ServerView],
        quotas: Quotas,
        held: Mapping[str, ServerControl],
        now_ms: int,
    ) -> None:
        """Start a round.

        :param views: servers as the policy sees them.
        :param quotas: of teams and members.
        :param held: servers by id.
        :param now_ms: monotonic time.
        """
        self.left: list[TaskState] = []
        self.placed: list[tuple[Placement, TaskState]] = []
        self.notes: list[Note] = []
        self._view_by_id = {view.server_id: view for view in views}
        self._room_by_id: dict[str, Resources] = {}
        self._quotas = quotas
        self._held = held
        self._now_ms = now_ms

    def take_all(
        self, placements: Iterable[Placement], tasks: Iterable[TaskState]
    ) -> None:
        """Check the policy's decisions.

        :param placements: decisions.
        :param tasks: that were shown to the policy.
        """
        task_by_key = {task.next_key: task for task in tasks}
        for placement in placements:
            task = task_by_key.get(placement.key)
            view = self._view_by_id.get(placement.server_id)
            if task is not None and view is not None:
                if self._take(placement, task, view):
                    task_by_key.pop(placement.key)
        self.left = list(task_by_key.values())

    def _take(
        self, placement: Placement, task: TaskState, view: ServerView
    ) -> bool:
        room = self._room_by_id.get(view.server_id)
        if room is None:
            room = room_for_claims(view)
        if not fits_resources(task.resources, room):
            subject = f'task:{placement.key.task_id}'
            self.notes.append(Note('policy.no_room', subject, view.server_id))
            return False
        if not self._may_place(task, view):
            return False
        self._quotas.note_claimed(task)
        room = subtract_resources(room, task.resources)
        self._room_by_id[view.server_id] = room
        self.placed.append((placement, task))
        return True

    def _may_place(self, task: TaskState, view: ServerView) -> bool:
        if not self._quotas.has_room(task):
            return False
        if not view.quarantined:
            return True
        server = self._held[view.server_id]
        if view.running or self._now_ms < server.probation_ms:
            return False
        server.probation_ms = self._now_ms + PROBATION_MS
        return True
