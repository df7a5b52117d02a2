"""Runs that may be preempted, and the cheapest of them that make room for a task."""

import functools
import itertools
import math
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from waxwingford.ports import (
    Resources,
    add_resources,
    fits_resources,
    subtract_resources,
)
from waxwingford.scheduling._disruption_budget import (
    DisruptionBudget,
    is_limited,
)
from waxwingford.scheduling._job_estimates import expected_run_time_ms
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._shard_state import ShardState
from waxwingford.scheduling._state import Run, RunPhase, Step, Task

#: Maximum number of preemptions of a task, so that it completes at some time.
MAX_PREEMPTIONS = 2
#: Runs that are expected to end within this time are left alone, in ms.
NEAR_END_MS = 300
#: Time that a task takes to resume from its checkpoint, in ms; the longer one of the
#: deployments.
RESTORE_MS = 600
#: Time for which a long-running task is away when it moves, in ms.
LONG_RUNNING_MOVE_MS = 2500
#: Time for which the CPU of a long-running task counts as its work, in ms.
LONG_RUNNING_WORK_MS = 10_000
_MILLI = 1000
_FULL_PERCENT = 100
_NO_RESOURCES = Resources(0, 0, 0)


class Victim(NamedTuple):
    """A run that may be preempted.

    :ivar cost: work that is lost and restore time, in core-milliseconds.
    """

    run: Run
    step: Step
    cost: float

    @property
    def task(self) -> Task:
        """Task of the run."""
        return self.step.tasks[self.run.key.task.index]

    @property
    def frees(self) -> Resources:
        """Resources that its end frees."""
        return self.step.spec.reserved_resources


class VictimList(NamedTuple):
    """Runs of a server that may be preempted.

    :ivar victims: these runs, the cheapest ones first.
    :ivar frees: resources that all of them free.
    """

    victims: tuple[Victim, ...]
    frees: Resources


class VictimFinder:
    """Lists and values runs that may be preempted, once in each round."""

    def __init__(self, state: ShardState, budget: DisruptionBudget) -> None:
        self._state = state
        self._budget = budget
        self._now_ms = 0
        self._run_time_by_step: dict[str, float] = {}
        self._list_by_server: dict[tuple[str, int], VictimList] = {}

    def begin(self, now_ms: int) -> None:
        """Begin a round.

        :param now_ms: current monotonic time, in ms.
        """
        self._now_ms = now_ms
        self._run_time_by_step.clear()
        self._list_by_server.clear()

    def note_stopped(self, server: Server, victims: Iterable[Victim]) -> None:
        """Drop the lists that change as runs of a server are stopped."""
        if any(is_limited(victim.step) for victim in victims):
            # The budget of a step holds for its runs on all servers.
            self._list_by_server.clear()
        for key in list(self._list_by_server):
            if key[0] == server.entry.server_id:
                self._list_by_server.pop(key)

    def find(self, server: Server, priority: int) -> VictimList:
        """List the runs on a server that may be preempted.

        :param priority: priority of the task that preempts; only runs with a greater
            number are listed.
        """
        key = server.entry.server_id, priority
        found = self._list_by_server.get(key)
        if found is None:
            victims = tuple(
                Victim(run, step, self._cost(run, step))
                for run_key, run in server.run_by_key.items()
                if self._may_preempt(
                    run, step := server.step_by_run[run_key], priority
                )
            )
            frees = _total(victim.frees for victim in victims)
            found = VictimList(tuple(sorted(victims, key=_cost_order)), frees)
            self._list_by_server[key] = found
        return found

    def may_still_stop(self, victims: Iterable[Victim]) -> bool:
        """Tell whether listed runs are still to be had, and within the budget."""
        return all(
            not victim.run.stopping
            and self._budget.may_stop(victim.run, victim.step, self._now_ms)
            for victim in victims
        )

    def gain(self, step: Step) -> float:
        """Value the start of a task of a step, in core-milliseconds."""
        span_ms = (
            LONG_RUNNING_WORK_MS
            if step.spec.long_running
            else self._run_time_ms(step)
        )
        return _core_ms(step, span_ms)

    def _may_preempt(self, run: Run, step: Step, priority: int) -> bool:
        if run.stopping or run.phase is not RunPhase.present:
            return False
        task = step.tasks[run.key.task.index]
        exempt = (
            step.spec.gang
            or step.job.ended is not None
            or task.preemptions >= MAX_PREEMPTIONS
        )
        if exempt or self._state.queue_of(step.job).priority <= priority:
            return False
        if self._remaining_ms(run, step) <= NEAR_END_MS:
            return False
        return self._budget.may_stop(run, step, self._now_ms)

    def _remaining_ms(self, run: Run, step: Step) -> float:
        if step.spec.long_running:
            return math.inf
        left = (_FULL_PERCENT - run.percent) / _FULL_PERCENT
        speed = (run.pace or _FULL_PERCENT) / _FULL_PERCENT
        left_ms = left * self._run_time_ms(step) / speed
        since_ms = run.listed_ms or run.phase_since_ms
        return left_ms - (self._now_ms - since_ms)

    def _cost(self, run: Run, step: Step) -> float:
        if step.spec.long_running or step.spec.writes_checkpoints:
            return lowest_cost(step)
        done = run.percent / _FULL_PERCENT
        return _core_ms(step, done * self._run_time_ms(step))

    def _run_time_ms(self, step: Step) -> float:
        # Hundreds of runs share a few steps.
        found = self._run_time_by_step.get(step.name)
        if found is None:
            found = expected_run_time_ms(step, self._state.learned.run_times)
            self._run_time_by_step[step.name] = found
        return found


def cheapest_set(found: VictimList, deficit: Resources) -> tuple[Victim, ...]:
    """Choose runs whose end frees enough resources, at a low cost.

    A single run that suffices is compared with those that free most for their cost.

    :param deficit: resources that are missing, negative where some are left.
    :returns: chosen runs, none if all of them together don't suffice.
    """
    if not fits_resources(deficit, found.frees):
        return ()
    single = tuple(
        itertools.islice(
            (
                one
                for one in found.victims
                if fits_resources(deficit, one.frees)
            ),
            1,
        )
    )
    several = _choose_several(found.victims, deficit)
    choices = [chosen for chosen in (single, several) if chosen]
    return min(choices, key=total_cost, default=())


def total_cost(victims: Iterable[Victim]) -> float:
    """Add up the costs of runs, in core-milliseconds."""
    return sum(victim.cost for victim in victims)


def _choose_several(
    by_cost: tuple[Victim, ...], deficit: Resources
) -> tuple[Victim, ...]:
    valued = [(_usefulness(one.frees, deficit), one) for one in by_cost]
    useful = [pair for pair in valued if pair[0] > 0]
    useful.sort(key=_relative_cost)
    chosen: list[Victim] = []
    left = deficit
    for victim in _within_budget(one for _, one in useful):
        if fits_resources(left, _NO_RESOURCES):
            break
        chosen.append(victim)
        left = subtract_resources(left, victim.frees)
    if not fits_resources(left, _NO_RESOURCES):
        return ()
    return _drop_needless(chosen, left)


def _within_budget(victims: Iterable[Victim]) -> Iterator[Victim]:
    """Keep one run of each limited step: the budget was asked for each alone."""
    limited_steps: set[str] = set()
    for victim in victims:
        name = victim.step.name
        if name not in limited_steps:
            yield victim
        if is_limited(victim.step):
            limited_steps.add(name)


def _drop_needless(chosen: list[Victim], left: Resources) -> tuple[Victim, ...]:
    """Drop the runs without which the others suffice, the most costly ones first.

    :param left: resources that are missing, negative where too much is freed.
    """
    kept = list(chosen)
    for victim in sorted(chosen, key=_cost_order, reverse=True):
        without = add_resources(left, victim.frees)
        if fits_resources(without, _NO_RESOURCES):
            kept.remove(victim)
            left = without
    return tuple(kept)


def lowest_cost(step: Step) -> float:
    """Return a lower bound of the cost of any run of a step, in core-milliseconds."""
    if step.spec.long_running:
        return _core_ms(step, LONG_RUNNING_MOVE_MS)
    # A stopped run writes a checkpoint if it can.
    saves = step.spec.writes_checkpoints
    return _core_ms(step, RESTORE_MS) if saves else 0


def _usefulness(frees: Resources, deficit: Resources) -> float:
    useful: float = 0
    for freed, missing in zip(frees, deficit, strict=True):
        if missing > 0:
            useful += min(1, freed / missing)
    return useful


def _relative_cost(pair: tuple[float, Victim]) -> float:
    return pair[1].cost / pair[0]


def _cost_order(victim: Victim) -> tuple[float, bool]:
    return victim.cost, not victim.step.spec.writes_checkpoints


def _core_ms(step: Step, span_ms: float) -> float:
    return step.spec.needs.processors_milli * span_ms / _MILLI


def _total(parts: Iterable[Resources]) -> Resources:
    return functools.reduce(add_resources, parts, _NO_RESOURCES)
