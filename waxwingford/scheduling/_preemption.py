"""Preempts runs of lower priority for tasks that wait for room.

Nothing of it is stored. An owner that is lost leaves either a run that goes on or an
end that its successor finds in the server's list.
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from waxwingford.ports import (
    Resources,
    fits_resources,
    subtract_resources,
)
from waxwingford.scheduling._backend_client import RunKey, TaskKey
from waxwingford.scheduling._crashes import is_suspect
from waxwingford.scheduling._disruption_budget import DisruptionBudget
from waxwingford.scheduling._eligibility import eligible
from waxwingford.scheduling._incarnations import Incarnation
from waxwingford.scheduling._isolation import Isolation
from waxwingford.scheduling._preemption_costs import (
    Victim,
    VictimFinder,
    cheapest_set,
    total_cost,
)
from waxwingford.scheduling._reservations import Reservations
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._shard_state import ShardState
from waxwingford.scheduling._state import Step, Task
from waxwingford.scheduling._task_order import PendingTask

#: Time for which a task waits before it preempts, in ms, as short tasks may end.
URGENT_WAIT_MS = 250
LONG_RUNNING_WAIT_MS = 500
#: Time for which freed room is held for the task that has preempted, in ms.
HOLD_MS = 2000
#: Maximum number of preemptions in progress.
MAX_IN_PROGRESS = 16
#: Time between two rounds, in ms, as placement follows each answer of a server.
ROUND_INTERVAL_MS = 50
#: Steps for which servers are searched in one round.
MAX_SEARCHES = 2
#: Time before an unsuccessful search is repeated for a step, in ms.
SEARCH_RETRY_MS = 300
#: Servers that are looked at in one search, and those of which the runs are listed;
#: larger fleets are searched in turn.
MAX_WINDOW_SERVERS = 400
MAX_LISTED_SERVERS = 80


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


class _Choice(NamedTuple):
    # Server and runs to stop there.
    server: Server
    victims: tuple[Victim, ...]
    cost: float


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
        self._finder = VictimFinder(state, budget)
        self._offset = 0
        self._choices_by_step: dict[str, list[_Choice]] = {}
        self._in_progress: dict[TaskKey, Preemption] = {}
        self._abandoned_on: dict[TaskKey, set[Incarnation]] = {}
        self._retry_ms_by_step: dict[str, int] = {}
        self._round_ms = 0

    def begin(self, reservations: Reservations, now_ms: int) -> None:
        """Begin a placement round: end what is over, hold room for the rest.

        :param now_ms: current monotonic time, in ms.
        """
        for key, preemption in list(self._in_progress.items()):
            server, held = preemption.server, preemption.held
            available = reservations.available(server)
            # Another task of the step may have used the room.
            used = not fits_resources(held, available)
            if used or self._is_over(preemption, now_ms):
                self._in_progress.pop(key)
            else:
                reservations.hold(server, preemption.step, held)

    def has_preempted(self, task: Task) -> bool:
        """Tell whether room is held for a task."""
        return task.key in self._in_progress

    def preempt(
        self,
        unplaced: Iterable[PendingTask],
        usable: list[Server],
        isolation: Isolation,
        reservations: Reservations,
        now_ms: int,
    ) -> None:
        """Stop runs for the tasks that a round left, the first ones first.

        :param unplaced: tasks that found no server, in order.
        :param usable: servers that accept starts.
        :param now_ms: current monotonic time, in ms.
        """
        if not self._enabled or now_ms - self._round_ms < ROUND_INTERVAL_MS:
            return
        self._round_ms = now_ms
        self._release_placed(reservations)
        self._finder.begin(now_ms)
        self._choices_by_step.clear()
        self._forget_old(now_ms)
        stopped_on: set[Incarnation] = set()
        for pending in self._waiting(unplaced, now_ms):
            choices = self._choices(pending, usable, isolation, reservations)
            choice = self._best(pending, choices, stopped_on)
            if choice is None and not stopped_on:
                retry_ms = now_ms + SEARCH_RETRY_MS
                self._retry_ms_by_step[pending.step.name] = retry_ms
            elif choice is not None:
                stopped_on.add(choice.server.incarnation)
                self._stop(pending, choice, reservations, now_ms)

    def _is_over(self, preemption: Preemption, now_ms: int) -> bool:
        task, server = preemption.task, preemption.server
        if task.key not in self._state.pending_by_key:
            return True
        server_id = server.entry.server_id
        left = (
            server.entry.draining
            or server.evacuated
            or self._state.server_by_id.get(server_id) is not server
        )
        held_ms = now_ms - preemption.since_ms
        if not left and held_ms < HOLD_MS:
            return False
        self._abandoned_on.setdefault(task.key, set()).add(server.incarnation)
        self._state.notes.add(
            'preemption.abandoned',
            task.key,
            server=server_id,
            held_ms=held_ms,
            server_left=left,
            not_ended=sum(
                key in server.run_by_key for key in preemption.stopped
            ),
        )
        return True

    def _release_placed(self, reservations: Reservations) -> None:
        for key, preemption in list(self._in_progress.items()):
            if key not in self._state.pending_by_key:
                self._in_progress.pop(key)
                reservations.release(
                    preemption.server, preemption.step, preemption.held
                )

    def _forget_old(self, now_ms: int) -> None:
        self._retry_ms_by_step = {
            name: retry_ms
            for name, retry_ms in self._retry_ms_by_step.items()
            if retry_ms > now_ms
        }
        self._abandoned_on = {
            key: servers
            for key, servers in self._abandoned_on.items()
            if key in self._state.pending_by_key
        }

    def _waiting(
        self, unplaced: Iterable[PendingTask], now_ms: int
    ) -> Iterator[PendingTask]:
        # Lazy, as the searches before change the outcome.
        lowest_by_service = self._lowest_by_service()
        for pending in unplaced:
            if len(self._in_progress) >= MAX_IN_PROGRESS:
                return
            lowest = lowest_by_service.get(pending.queue.service, 0)
            outranks = pending.queue.priority < lowest
            if outranks and self._may_search(pending, now_ms):
                yield pending

    def _may_search(self, pending: PendingTask, now_ms: int) -> bool:
        key = pending.task.key
        if key in self._in_progress or key not in self._state.pending_by_key:
            return False
        name = pending.step.name
        if name in self._retry_ms_by_step:
            return False
        searched = name in self._choices_by_step
        if not searched and len(self._choices_by_step) >= MAX_SEARCHES:
            return False
        return _may_preempt(pending, now_ms)

    def _lowest_by_service(self) -> dict[str, int]:
        lowest: dict[str, int] = {}
        for queue in self._state.terms.queue_by_name.values():
            former = lowest.get(queue.service, queue.priority)
            lowest[queue.service] = max(former, queue.priority)
        return lowest

    def _choices(
        self,
        pending: PendingTask,
        usable: list[Server],
        isolation: Isolation,
        reservations: Reservations,
    ) -> list[_Choice]:
        """Search once in a round for all tasks of a step.

        :returns: what may be stopped on each server, the cheapest first.
        """
        name = pending.step.name
        choices = self._choices_by_step.get(name)
        if choices is None:
            candidates = self._candidates(pending, usable, isolation)
            choices = sorted(
                self._evaluate(pending, candidates, reservations),
                key=_choice_cost,
            )
            self._choices_by_step[name] = choices
        return choices

    def _candidates(
        self, pending: PendingTask, usable: list[Server], isolation: Isolation
    ) -> list[Server]:
        step, service = pending.step, pending.queue.service
        servers = [
            server for server in usable if server.entry.service == service
        ]
        self._offset = (self._offset + MAX_LISTED_SERVERS) % max(
            1, len(servers)
        )
        rotated = servers[self._offset :] + servers[: self._offset]
        window = eligible(step, service, rotated[:MAX_WINDOW_SERVERS])
        if step.spec.max_per_server:
            held = {
                one.server.incarnation
                for one in self._in_progress.values()
                if one.step is step
            }
            window = [one for one in window if one.incarnation not in held]
        return isolation.admitting(window, pending.task, step)

    def _evaluate(
        self,
        pending: PendingTask,
        candidates: list[Server],
        reservations: Reservations,
    ) -> Iterator[_Choice]:
        gain = self._finder.gain(pending.step)
        takes = pending.step.spec.reserved_resources
        listed = 0
        for server in candidates:
            available = reservations.available_to(server, pending.step)
            deficit = subtract_resources(takes, available)
            if not _may_make_room(server, takes, deficit):
                continue
            listed += 1
            if listed > MAX_LISTED_SERVERS:
                break
            found = self._finder.find(server, pending.queue.priority)
            victims = cheapest_set(found, deficit)
            cost = total_cost(victims)
            if victims and cost < gain:
                yield _Choice(server, victims, cost)

    def _best(
        self,
        pending: PendingTask,
        choices: list[_Choice],
        stopped_on: set[Incarnation],
    ) -> _Choice | None:
        """Find the cheapest choice that still holds for a task.

        :param stopped_on: servers on which runs were stopped in this round.
        """
        task = pending.task
        left_out = (
            stopped_on | task.avoided | self._abandoned_on.get(task.key, set())
        )
        return next(
            (
                choice
                for choice in choices
                if choice.server.incarnation not in left_out
                and self._finder.may_still_stop(choice.victims)
            ),
            None,
        )

    def _stop(
        self,
        pending: PendingTask,
        choice: _Choice,
        reservations: Reservations,
        now_ms: int,
    ) -> None:
        stopped: dict[RunKey, Resources] = {}
        for victim in choice.victims:
            stopped[victim.run.key] = victim.frees
            victim.run.stopping = True
            self._note_preempted(pending, victim)
            victim.task.preemptions += 1
        self._finder.note_stopped(choice.server, choice.victims)
        preemption = Preemption(
            pending.task, pending.step, choice.server, stopped, now_ms
        )
        self._in_progress[pending.task.key] = preemption
        reservations.hold(choice.server, pending.step, preemption.held)

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
    spec = pending.step.spec
    wait_ms = LONG_RUNNING_WAIT_MS if spec.long_running else URGENT_WAIT_MS
    if now_ms - pending.task.pending_since_ms < wait_ms:
        return False
    if spec.best_effort or spec.gang or pending.queue.advised:
        return False
    return not is_suspect(pending.task, pending.step)


def _choice_cost(choice: _Choice) -> float:
    return choice.cost


def _may_make_room(
    server: Server, takes: Resources, deficit: Resources
) -> bool:
    """Tell whether a server lacks room that its runs could free.

    Cheaper than listing the runs, which takes most of the time of a search.

    :param deficit: resources that are missing, negative where some are left.
    """
    missing = any(one > 0 for one in deficit)
    return (
        missing
        and fits_resources(takes, server.entry.capacity)
        and fits_resources(deficit, server.used)
    )


__all__ = ('Preemption', 'Preemptor')
