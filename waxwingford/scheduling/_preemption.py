"""Preempts runs of lower priority for tasks that wait for room.

Nothing of it is stored. An owner that is lost leaves either a run that goes on or an
end that its successor finds in the server's list.
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from waxwingford.ports import Resources
from waxwingford.scheduling._backoff import Backoff
from waxwingford.scheduling._crashes import is_suspect
from waxwingford.scheduling._disruption_budget import DisruptionBudget
from waxwingford.scheduling._incarnations import Incarnation
from waxwingford.scheduling._lowest_costs import LowestCosts
from waxwingford.scheduling._preemption_costs import Victim, VictimFinder
from waxwingford.scheduling._preemption_holds import (
    Preemption,
    PreemptionHolds,
)
from waxwingford.scheduling._preemption_search import (
    Choice,
    ChoiceSearch,
    Round,
    briefly_unusable,
    has_room_soon,
)
from waxwingford.scheduling._reservations import Reservations
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._shard_state import ShardState
from waxwingford.scheduling._state import Task
from waxwingford.scheduling._task_order import PendingTask

#: Time for which a task waits before it preempts, in ms, as short tasks may end.
URGENT_WAIT_MS = 250
LONG_RUNNING_WAIT_MS = 500
#: Maximum number of preemptions in progress.
MAX_IN_PROGRESS = 16
#: Time between two rounds, in ms, as placement follows each answer of a server.
ROUND_INTERVAL_MS = 50
#: Steps for which servers are searched in one round.
MAX_SEARCHES = 2
#: Time before an unsuccessful search is repeated, in ms. It doubles up to the maximum
#: with each search, as a step may be worth less than any run.
SEARCH_RETRY_MS = 300
MAX_SEARCH_RETRY_MS = 1200


class _Shape(NamedTuple):
    # What the result of a search depends on besides the gain of the step. The step
    # matters only where its own runs or reservations do.
    service: str
    priority: int
    takes: Resources
    label: str
    step: str


class Preemptor:
    """Stops runs for tasks that wait, and holds the room that becomes free."""

    def __init__(
        self, state: ShardState, budget: DisruptionBudget, enabled: bool
    ) -> None:
        """Create a preemptor.

        :param enabled: whether anything is preempted.
        """
        self._state = state
        self._enabled = enabled
        self._budget = budget
        self._finder = VictimFinder(state, budget)
        self._lowest_costs = LowestCosts(state)
        self._holds = PreemptionHolds(state)
        self._search = ChoiceSearch(self._finder, self._holds)
        self._choices_by_step: dict[str, list[Choice]] = {}
        self._step_backoff: Backoff[str] = Backoff(
            SEARCH_RETRY_MS, MAX_SEARCH_RETRY_MS
        )
        self._shape_backoff: Backoff[_Shape] = Backoff(
            SEARCH_RETRY_MS, MAX_SEARCH_RETRY_MS
        )
        #: Steps for whose tasks nothing more is stopped in this round.
        self._closed_steps: set[str] = set()
        self._unusable: list[Server] = []
        self._round_ms = 0

    def begin(self, reservations: Reservations, now_ms: int) -> None:
        """Begin a placement round: end what is over, hold room for the rest.

        :param now_ms: current monotonic time, in ms.
        """
        self._holds.begin(reservations, now_ms)

    def has_preempted(self, task: Task) -> bool:
        """Tell whether room is held for a task."""
        return task.key in self._holds

    def is_due(self, now_ms: int) -> bool:
        """Tell whether ``preempt`` looks at tasks in this round.

        :param now_ms: current monotonic time, in ms.
        """
        return self._enabled and now_ms - self._round_ms >= ROUND_INTERVAL_MS

    def preempt(self, unplaced: Iterable[PendingTask], current: Round) -> None:
        """Stop runs for the tasks that a round left, the first ones first.

        :param unplaced: tasks that found no server, in order.
        """
        now_ms = current.now_ms
        if not self.is_due(now_ms):
            return
        self._begin_round(current)
        stopped_on: set[Incarnation] = set()
        for pending in self._waiting(unplaced, current):
            choices = self._choices(pending, current)
            choice = self._best(pending, choices, stopped_on)
            if choice is not None:
                stopped_on.add(choice.server.incarnation)
                self._stop(pending, choice, current)
                continue
            if not self._avoided_by(pending.task):
                self._closed_steps.add(pending.step.name)
            if not (choices and stopped_on):
                self._postpone(pending, now_ms)

    def _begin_round(self, current: Round) -> None:
        now_ms = current.now_ms
        self._round_ms = now_ms
        self._budget.begin()
        self._holds.release_placed(current.reservations)
        self._finder.begin(now_ms)
        self._choices_by_step.clear()
        self._step_backoff.forget_old(now_ms)
        self._shape_backoff.forget_old(now_ms)
        self._closed_steps = self._step_backoff.postponed(now_ms)
        self._unusable = briefly_unusable(self._state, now_ms)

    def _waiting(
        self, unplaced: Iterable[PendingTask], current: Round
    ) -> Iterator[PendingTask]:
        # Lazy, as the searches before change the outcome.
        lowest_by_service = self._lowest_by_service()
        for pending in unplaced:
            if len(self._holds) >= MAX_IN_PROGRESS:
                return
            # The cheapest checks come first, as more than a thousand tasks may wait.
            queue = pending.queue
            if (
                pending.step.name not in self._closed_steps
                and queue.priority < lowest_by_service.get(queue.service, 0)
                and self._may_search(pending, current)
            ):
                yield pending

    def _may_search(self, pending: PendingTask, current: Round) -> bool:
        task, name, now_ms = pending.task, pending.step.name, current.now_ms
        pending_by_key = self._state.pending_by_key
        searched = name in self._choices_by_step
        if not searched and len(self._choices_by_step) >= MAX_SEARCHES:
            return False
        if task.key in self._holds or task.key not in pending_by_key:
            return False
        if not _may_preempt(pending, now_ms):
            return False
        if not searched and self._is_hopeless(pending, now_ms):
            self._closed_steps.add(name)
            self._step_backoff.postpone(name, 0, now_ms)
            return False
        return not has_room_soon(pending, self._unusable, current)

    def _is_hopeless(self, pending: PendingTask, now_ms: int) -> bool:
        """Tell without a search that a step is worth less than what it may stop."""
        queue = pending.queue
        gain = self._finder.gain(pending.step)
        lowest = self._lowest_costs.below(queue.service, queue.priority, now_ms)
        return gain <= lowest or self._shape_backoff.covers(
            _shape(pending), gain, now_ms
        )

    def _postpone(self, pending: PendingTask, now_ms: int) -> None:
        self._step_backoff.postpone(pending.step.name, 0, now_ms)
        if not self._avoided_by(pending.task):
            # Tasks of other steps avoid other servers.
            gain = self._finder.gain(pending.step)
            self._shape_backoff.postpone(_shape(pending), gain, now_ms)

    def _lowest_by_service(self) -> dict[str, int]:
        lowest: dict[str, int] = {}
        for queue in self._state.terms.queue_by_name.values():
            former = lowest.get(queue.service, queue.priority)
            lowest[queue.service] = max(former, queue.priority)
        return lowest

    def _choices(self, pending: PendingTask, current: Round) -> list[Choice]:
        """Search once in a round for all tasks of a step."""
        name = pending.step.name
        choices = self._choices_by_step.get(name)
        if choices is None:
            choices = self._search.choices(pending, current)
            self._choices_by_step[name] = choices
        return choices

    def _best(
        self,
        pending: PendingTask,
        choices: list[Choice],
        stopped_on: set[Incarnation],
    ) -> Choice | None:
        """Find the cheapest choice that still holds for a task.

        :param stopped_on: servers on which runs were stopped in this round.
        """
        left_out = stopped_on | self._avoided_by(pending.task)
        return next(
            (
                choice
                for choice in choices
                if choice.server.incarnation not in left_out
                and self._finder.may_still_stop(choice.victims)
            ),
            None,
        )

    def _avoided_by(self, task: Task) -> set[Incarnation]:
        return task.avoided | self._holds.abandoned_on(task)

    def _stop(
        self, pending: PendingTask, choice: Choice, current: Round
    ) -> None:
        stopped = {victim.run.key: victim.frees for victim in choice.victims}
        preemption = Preemption(
            pending.task, pending.step, choice.server, stopped, current.now_ms
        )
        self._holds.add(preemption, current.reservations)
        for victim in choice.victims:
            victim.run.stopping = True
            self._budget.note_stopped(victim.run, victim.step)
            self._note_preempted(pending, victim)
            victim.task.preemptions += 1
        self._finder.note_stopped(choice.server, choice.victims)
        self._step_backoff.reset(pending.step.name)
        self._shape_backoff.reset(_shape(pending))

    def _note_preempted(self, pending: PendingTask, victim: Victim) -> None:
        queue = self._state.queue_of(victim.step.job)
        self._state.notes.add(
            'run.preempted',
            victim.run.key.task,
            run=victim.run.key.run,
            server=victim.run.server_id,
            queue=queue.name,
            for_task=str(pending.task.key),
            for_queue=pending.queue.name,
            cost_core_ms=round(victim.cost),
            percent=victim.run.percent,
            preempted_before=victim.task.preemptions,
        )


def _may_preempt(pending: PendingTask, now_ms: int) -> bool:
    task, spec = pending.task, pending.step.spec
    wait_ms = LONG_RUNNING_WAIT_MS if spec.long_running else URGENT_WAIT_MS
    # Short tasks may end on the server that has refused a start, too.
    since_ms = max(task.pending_since_ms, task.start_refused_ms)
    if now_ms - since_ms < wait_ms:
        return False
    if spec.best_effort or spec.gang or pending.queue.advised:
        return False
    return not is_suspect(task, pending.step)


def _shape(pending: PendingTask) -> _Shape:
    step, queue = pending.step, pending.queue
    # Its own runs limit the servers of a step with ``max_per_server``, and only a
    # long-running step may use its own reservations.
    alone = step.spec.max_per_server or step.spec.long_running
    return _Shape(
        queue.service,
        queue.priority,
        step.spec.reserved_resources,
        step.spec.label,
        step.name if alone else '',
    )


__all__ = ('Preemption', 'Preemptor', 'Round')
