"""Validates a policy's placements before they become claims."""

from collections.abc import Iterable

from waxwingford.batch._effects import EmitEvent
from waxwingford.batch._placing import room_for_claims
from waxwingford.batch._queue import Offer
from waxwingford.batch._quotas import TeamLimits
from waxwingford.placement import Placement, Quarantine, ServerView
from waxwingford.ports import (
    AttemptKey,
    Resources,
    fits_resources,
    subtract_resources,
)
from waxwingford.records import TaskState


class PlacementValidator:
    """Validates the placements of one round.

    The policy is a plug-in; an invalid placement must neither over-commit a VM
    nor stop the daemon, so it is skipped and reported.

    :ivar placed: valid placements with their tasks.
    :ivar unplaced: keys of tasks that were not placed.
    :ivar events: events about placements without room.
    """

    def __init__(
        self,
        views: list[ServerView],
        limits: TeamLimits,
        quarantine: Quarantine,
        now_ms: int,
    ) -> None:
        """Create a validator for a round.

        :param views: servers as shown to the policy.
        :param quarantine: decides when a quarantined server may get a task.
        :param now_ms: monotonic time, in milliseconds.
        """
        self.unplaced: list[AttemptKey] = []
        self.placed: list[tuple[Placement, TaskState]] = []
        self.events: list[EmitEvent] = []
        self._view_by_id = {view.server_id: view for view in views}
        self._room_by_id: dict[str, Resources] = {}
        self._limits = limits
        self._quarantine = quarantine
        self._now_ms = now_ms

    def validate(
        self, placements: Iterable[Placement], offers: Iterable[Offer]
    ) -> None:
        """Validate the policy's placements.

        :param offers: tasks that were offered to the policy.
        """
        offer_by_key = {offer.view.key: offer for offer in offers}
        for placement in placements:
            offer = offer_by_key.get(placement.key)
            view = self._view_by_id.get(placement.server_id)
            if offer is not None and view is not None:
                if self._take(placement, offer, view):
                    offer_by_key.pop(placement.key)
        self.unplaced = list(offer_by_key)

    def _take(
        self, placement: Placement, offer: Offer, view: ServerView
    ) -> bool:
        room = self._room_by_id.get(view.server_id)
        if room is None:
            room = room_for_claims(view)
        if not fits_resources(offer.view.resources, room):
            subject = f'task:{placement.key.task_id}'
            self.events.append(
                EmitEvent('policy.no_room', subject, view.server_id)
            )
            return False
        if not self._may_place(offer.task, view):
            return False
        self._limits.count_claim(offer.task)
        room = subtract_resources(room, offer.view.resources)
        self._room_by_id[view.server_id] = room
        self.placed.append((placement, offer.task))
        return True

    def _may_place(self, task: TaskState, view: ServerView) -> bool:
        if not self._limits.has_room(task):
            return False
        if not view.quarantined:
            return True
        server_id = view.server_id
        if view.running or not self._quarantine.is_probe_due(
            server_id, self._now_ms
        ):
            return False
        self._quarantine.record_probe(server_id, self._now_ms)
        return True
