"""Reactions to a tail near its target: throttle, close, evict, stop.

A reaction follows from the predicted tail, never from a sample itself, and the
prediction takes ordered evictions and throttles as done.  Reacting to samples
would repeat a reaction for every sample taken before it took effect: one slow
window would evict one task for each sample of the lag.
"""

from collections.abc import Callable, Iterator

from waxwingford.colocation._mechanisms import Mechanisms
from waxwingford.colocation._state import Foresight, Outlook, Pressure
from waxwingford.placement import Evict, Reaction, Stop, Throttle
from waxwingford.ports import TaskKey

_THROTTLED_PERCENT = 50
_LEAST_PERCENT = 25
_FULL_PERCENT = 100
#: No placements on a server for so long after a reaction.
_CLOSED_MS = 6000
#: An eviction that is not over after so long may be followed by a stop.
_EVICTION_CAP_MS = 60_000
#: A step that relieves less is not worth the work that it costs.
_LEAST_RELIEF = 0.01
#: Time to the deadline below which a task's work weighs double or more.
_SLACK_LEAD_MS = 600_000
_HURRY_FACTOR = 4.0


class _Relief:
    """Running total of what the reactions of one pass relieve.

    :ivar outlook: the server as it is.
    :ivar tail: predicted tail after the reactions so far.
    """

    def __init__(self, outlook: Outlook, foresight: Foresight) -> None:
        self.outlook = outlook
        self.tail = outlook.tail
        self._foresight = foresight
        self._change: float = 0

    @property
    def is_enough(self) -> bool:
        """Tell whether the tail is back at its limit.

        :returns: whether no more reactions are needed.
        """
        return self.tail <= self.outlook.limits.throttle

    def take(self, less: float) -> None:
        """Count a reaction.

        :param less: what it takes off the tail's logarithm by itself.
        """
        self._change -= less
        self.tail = self._foresight.tail_after(self.outlook, self._change)


class Escalation:
    """Chooses reactions for one server at a time."""

    def __init__(self, mechanisms: Mechanisms) -> None:
        """Set up.

        :param mechanisms: parts to use.
        """
        self._mechanisms = mechanisms

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
        stops = list(_overdue(outlook, now_ms))
        if stops:
            return stops
        if outlook.tail <= outlook.limits.throttle:
            return list(self._lift(outlook, foresight, now_ms))
        relief = _Relief(outlook, foresight)
        reactions: list[Reaction] = [
            *self._throttle(relief, now_ms),
            *self._evict(relief, now_ms),
        ]
        if reactions:
            outlook.state.closed_until_ms = now_ms + _CLOSED_MS
        return reactions

    def _throttle(self, relief: '_Relief', now_ms: int) -> Iterator[Throttle]:
        if not self._mechanisms.throttle_first:
            return
        for pressure in self._by_relief(relief.outlook):
            percent = _next_lower(pressure.percent)
            less = pressure.full * (pressure.percent - percent) / _FULL_PERCENT
            if relief.is_enough:
                return
            if less >= _LEAST_RELIEF:
                relief.take(less)
                key = pressure.task.key
                yield _throttle(relief.outlook, key, percent, now_ms)

    def _evict(self, relief: '_Relief', now_ms: int) -> Iterator[Reaction]:
        outlook = relief.outlook
        if relief.tail <= outlook.limits.evict:
            return
        for pressure in self._victims(outlook):
            if relief.tail <= outlook.limits.evict:
                return
            relief.take(pressure.now)
            outlook.state.evicted_ms_by_key[pressure.task.key] = now_ms
            yield Evict(pressure.task.key)

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
        if self._mechanisms.hysteresis:
            limit = outlook.limits.lift
        if all(entry.percent >= _FULL_PERCENT for entry in outlook.pressures):
            return
        for pressure in reversed(self._by_relief(outlook)):
            if pressure.percent >= _FULL_PERCENT:
                continue
            percent = _next_higher(pressure.percent)
            more = pressure.full * (percent - pressure.percent) / 100
            if foresight.tail_after(outlook, more) <= limit:
                yield _throttle(outlook, pressure.task.key, percent, now_ms)
                return


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


def _overdue(outlook: Outlook, now_ms: int) -> Iterator[Reaction]:
    """Stop attempts whose checkpoint does not come about.

    :param outlook: the server as it is.
    :param now_ms: monotonic time, in milliseconds.
    :yields: stops, where the service suffers far beyond its target.
    """
    evicted_ms_by_key = outlook.state.evicted_ms_by_key
    if not evicted_ms_by_key:
        return
    present = outlook.base.mean + sum(
        pressure.now for pressure in outlook.pressures
    )
    if present <= outlook.limits.stop:
        return
    for key, ordered_ms in evicted_ms_by_key.items():
        if now_ms - ordered_ms >= _EVICTION_CAP_MS:
            yield Stop(key)


def _size(pressure: Pressure) -> float:
    return pressure.task.resources.processors_milli


def _next_lower(percent: int) -> int:
    if percent <= _LEAST_PERCENT:
        return percent
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
