"""A round of placement: pending tasks, then copies, then the room for new jobs."""

import functools

from waxwingford.scheduling._admission import BestEffortAdmission
from waxwingford.scheduling._backlog import Decision
from waxwingford.scheduling._containment import attempt
from waxwingford.scheduling._copies import CopyPlacer
from waxwingford.scheduling._disruption_budget import DisruptionBudget
from waxwingford.scheduling._features import Features
from waxwingford.scheduling._interference import InterferenceModel
from waxwingford.scheduling._job_admission import JobAdmission
from waxwingford.scheduling._placement_view import PlacementView
from waxwingford.scheduling._placing import Placer
from waxwingford.scheduling._preemption import Preemptor
from waxwingford.scheduling._release import TaskRelease
from waxwingford.scheduling._shard_state import ShardState


class Placement:
    """Places pending tasks, and what the enabled features add.

    :ivar release: makes tasks pending.
    :ivar placer: places the pending tasks.
    :ivar view: what explanations read.
    :ivar admission: which jobs are refused for lack of room.
    """

    def __init__(
        self,
        state: ShardState,
        model: InterferenceModel,
        budget: DisruptionBudget,
        features: Features,
    ) -> None:
        self._state = state
        self.release = TaskRelease(state)
        self._features = features
        preemptor = Preemptor(state, budget, features.preemption)
        self.placer = Placer(
            state,
            BestEffortAdmission(model),
            preemptor,
            features.look_ahead,
        )
        self.view = PlacementView(
            state,
            model,
            self.placer.reservations,
            self.placer.isolation,
            self.placer.preview_room,
        )
        self.admission = JobAdmission(state, self.placer.reservations.available)
        self._copies = CopyPlacer(state, self.placer, model)

    def place(
        self, now_ms: int, max_starts: float, overloaded: bool, timely: bool
    ) -> Decision:
        """Plan runs of pending tasks, then copies; decide which jobs are refused.

        :param now_ms: current monotonic time, in ms.
        :param max_starts: runs after which the round ends.
        :param overloaded: whether the owner's processor limits the starts.
        :param timely: whether answers of servers are read in time.
        """
        decision = self.placer.place(now_ms, max_starts, overloaded)
        left = max_starts - decision.placed
        if self._features.copies and left > 0:
            place = functools.partial(
                self._copies.place_due, now_ms, left, timely
            )
            attempt(self._state.notes, 'copy', '', place)
            decision = decision._replace(
                placed=decision.placed + self._copies.placed
            )
        if self._features.admission:
            limited = any(decision.backlog) or max_starts <= 0
            update = functools.partial(self.admission.update, now_ms, limited)
            if not attempt(self._state.notes, 'admit', '', update):
                self.admission.clear()
        return decision
