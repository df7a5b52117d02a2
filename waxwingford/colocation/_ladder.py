"""Reactions to a tail near its target: throttle, close, evict, stop.

Every step waits until a sample shows what the step before it did.  Without
that, samples taken before a reaction took effect would trigger it again: one
slow window would evict one task for each sample of the lag.
"""

import math
from collections.abc import Callable, Iterator

from waxwingford.colocation._mechanisms import Mechanisms
from waxwingford.colocation._state import Foresight, Outlook, Pressure
from waxwingford.placement import Evict, Reaction, Stop, Throttle
from waxwingford.ports import TaskKey

_THROTTLED_PERCENT = 50
_LEAST_PERCENT = 25
_FULL_PERCENT = 100
#: Longest wait for a sample that shows a reaction.
_COOL_DOWN_CAP_MS = 90_000
#: A tail that rose by so much since the last reaction is news: the load, which
#: is seen without a lag, has risen.
_RISEN = 0.05
#: A task's throttle is not lifted or tightened again before this.
_TASK_COOL_DOWN_MS = 20_000
#: No placements on a server for so long after a reaction.
_CLOSED_MS = 20_000
#: An eviction that is not over after so long may be followed by a stop.
_EVICTION_CAP_MS = 60_000
#: A step that relieves less is not worth the work that it costs.
_LEAST_RELIEF = 0.01
#: Time to the deadline below which a task's work weighs double or more.
_SLACK_LEAD_MS = 600_000
_HURRY_FACTOR = 4.0


class Ladder:
    """Chooses reactions for one server at a time."""

    def __init__(self, mechanisms: Mechanisms) -> None:
        """Set up.

        :param mechanisms: parts to use.
        """
        self._mechanisms = mechanisms
        self._tail_after = math.inf

    def react(
        self,
        outlook: Outlook,
        foresight: Foresight,
        now_ms: int,
    ) -> list[Reaction]:
        """Choose the reactions for a server and remember them.

        :param outlook: what is foreseen for it.
        :param foresight: predictions of this pass.
        :param now_ms: monotonic time, in milliseconds.
        :returns: decisions, often none.
        """
        if not outlook.pressures:
            return []
        if self._is_cooling(outlook, now_ms):
            return []
        reactions = list(self._relieve(outlook, foresight, now_ms))
        if reactions:
            outlook.state.acted_ms = now_ms
            outlook.state.left_tail = self._tail_after
            outlook.state.closed_until_ms = now_ms + _CLOSED_MS
            return reactions
        return list(self._lift(outlook, foresight, now_ms))

    def _is_cooling(self, outlook: Outlook, now_ms: int) -> bool:
        state = outlook.state
        if state.acted_ms is None or not self._mechanisms.cool_down:
            return False
        if now_ms - state.acted_ms >= _COOL_DOWN_CAP_MS:
            return False
        if outlook.tail > state.left_tail + _RISEN:
            return False
        return state.window_ms is None or state.window_ms < state.acted_ms

    def _relieve(
        self,
        outlook: Outlook,
        foresight: Foresight,
        now_ms: int,
    ) -> Iterator[Reaction]:
        tail = outlook.tail
        limits = outlook.limits
        if tail <= limits.throttle:
            return
        change: float = 0
        steps = self._throttles(outlook, now_ms)
        for pressure, percent in steps:
            if tail <= limits.throttle:
                break
            change -= pressure.full * (pressure.percent - percent) / 100
            tail = foresight.tail_after(outlook, change)
            yield _throttle(outlook, pressure.task.key, percent, now_ms)
        if tail > limits.evict:
            yield from self._stop_overdue(outlook, now_ms)
            for pressure in self._victims(outlook):
                if tail <= limits.throttle:
                    break
                change -= pressure.now
                tail = foresight.tail_after(outlook, change)
                outlook.state.evicted_ms_by_key[pressure.task.key] = now_ms
                yield Evict(pressure.task.key)
        self._tail_after = tail

    def _throttles(
        self,
        outlook: Outlook,
        now_ms: int,
    ) -> list[tuple[Pressure, int]]:
        if not self._mechanisms.throttle_first:
            return []
        steps = [
            (pressure, _next_lower(pressure.percent))
            for pressure in self._by_relief(outlook)
            if pressure.percent > _LEAST_PERCENT
            and self._is_settled(outlook, pressure, now_ms)
        ]
        return [
            (pressure, percent)
            for pressure, percent in steps
            if pressure.full * (pressure.percent - percent) / 100
            >= _LEAST_RELIEF
        ]

    def _stop_overdue(self, outlook: Outlook, now_ms: int) -> Iterator[Stop]:
        if outlook.tail <= outlook.limits.stop:
            return
        for key, ordered_ms in outlook.state.evicted_ms_by_key.items():
            if now_ms - ordered_ms >= _EVICTION_CAP_MS:
                yield Stop(key)

    def _victims(self, outlook: Outlook) -> list[Pressure]:
        # Throttled by this very pass: what is left to relieve is less.
        by_key = outlook.state.percent_by_key
        current = (
            pressure._replace(
                percent=by_key.get(pressure.task.key, pressure.percent),
            )
            for pressure in self._by_relief(outlook)
        )
        return [
            pressure for pressure in current if pressure.now >= _LEAST_RELIEF
        ]

    def _by_relief(self, outlook: Outlook) -> list[Pressure]:
        worth = _relief_for_work if self._mechanisms.victim_choice else _size
        return sorted(
            (
                pressure
                for pressure in outlook.pressures
                if pressure.task.key not in outlook.state.evicted_ms_by_key
            ),
            key=lambda pressure: (-worth(pressure), pressure.task.key),
        )

    def _lift(
        self,
        outlook: Outlook,
        foresight: Foresight,
        now_ms: int,
    ) -> Iterator[Reaction]:
        limit = outlook.limits.throttle
        if self._mechanisms.cool_down:
            limit = outlook.limits.lift
        for pressure in reversed(self._by_relief(outlook)):
            if pressure.percent >= _FULL_PERCENT:
                continue
            percent = _next_higher(pressure.percent)
            more = pressure.full * (percent - pressure.percent) / 100
            settled = self._is_settled(outlook, pressure, now_ms)
            if settled and foresight.tail_after(outlook, more) <= limit:
                yield _throttle(outlook, pressure.task.key, percent, now_ms)
                return

    def _is_settled(
        self,
        outlook: Outlook,
        pressure: Pressure,
        now_ms: int,
    ) -> bool:
        changed_ms = outlook.state.changed_ms_by_key.get(pressure.task.key)
        if changed_ms is None or not self._mechanisms.cool_down:
            return True
        return now_ms - changed_ms >= _TASK_COOL_DOWN_MS


Worth = Callable[[Pressure], float]


def _relief_for_work(pressure: Pressure) -> float:
    """Compare relief with the work that is slowed down or done again.

    :param pressure: of a task.
    :returns: relief for each core, less for tasks near their deadline.
    """
    cores = max(pressure.task.resources.processors_milli, 1)
    slack_ms = pressure.task.slack_ms
    hurry = 1.0
    if slack_ms is not None and slack_ms < _SLACK_LEAD_MS:
        hurry = _HURRY_FACTOR
    return pressure.full / cores / hurry


def _size(pressure: Pressure) -> float:
    return pressure.task.resources.processors_milli


def _next_lower(percent: int) -> int:
    return (
        _THROTTLED_PERCENT if percent > _THROTTLED_PERCENT else _LEAST_PERCENT
    )


def _next_higher(percent: int) -> int:
    return (
        _FULL_PERCENT if percent >= _THROTTLED_PERCENT else _THROTTLED_PERCENT
    )


def _throttle(
    outlook: Outlook,
    key: TaskKey,
    percent: int,
    now_ms: int,
) -> Throttle:
    outlook.state.percent_by_key[key] = percent
    outlook.state.changed_ms_by_key[key] = now_ms
    return Throttle(key, percent)
