"""Escalating reactions to high latency: throttle, evict, stop.

Reactions are based on the predicted latency, which already accounts for
ordered throttles and evictions.  Reacting to samples directly would repeat a
reaction for every delayed sample taken before it took effect.
"""

from collections.abc import Callable, Iterator

from waxwingford.colocation._mechanisms import Mechanisms
from waxwingford.colocation._state import Interference, Prediction, Predictor
from waxwingford.placement import Evict, Reaction, Stop, Throttle
from waxwingford.ports import AttemptKey

#: CPU percentages of the throttle steps.
_THROTTLED_PERCENT = 50
_MIN_PERCENT = 25
_FULL_PERCENT = 100
#: Time without placements on a server after a reaction.
_PLACEMENT_COOLDOWN_MS = 6000
#: Time after which an unfinished eviction may be followed by a stop.
_EVICTION_TIMEOUT_MS = 60_000
#: Smallest decrease of the log latency that justifies a reaction.
_MIN_RELIEF = 0.01
#: Slack below which a running task is urgent.
_URGENT_SLACK_MS = 600_000
#: Factor by which urgency reduces the benefit of a reaction.
_URGENCY_FACTOR = 4.0


class _ReliefTally:
    """Sums the relief by the reactions chosen in one pass.

    :ivar prediction: prediction without these reactions.
    :ivar log_p99: predicted log latency after the reactions so far.
    """

    def __init__(self, prediction: Prediction, predictor: Predictor) -> None:
        self.prediction = prediction
        self.log_p99 = prediction.log_p99
        self._predictor = predictor
        self._log_change: float = 0

    @property
    def is_enough(self) -> bool:
        """Check whether the latency is back at its throttle threshold."""
        return self.log_p99 <= self.prediction.thresholds.throttle

    def add(self, reduction: float) -> None:
        """Add the relief by a reaction.

        :param reduction: direct decrease of the log latency.
        """
        self._log_change -= reduction
        self.log_p99 = self._predictor.log_p99_after(
            self.prediction, self._log_change
        )


class Escalation:
    """Chooses reactions for one server at a time."""

    def __init__(self, mechanisms: Mechanisms) -> None:
        self._mechanisms = mechanisms

    def react(
        self,
        prediction: Prediction,
        predictor: Predictor,
        now_ms: int,
    ) -> list[Reaction]:
        """Choose the reactions for a server and record them in its state.

        :param now_ms: monotonic time, in milliseconds.
        """
        stops = list(_overdue_stops(prediction, now_ms))
        if stops:
            return stops
        if prediction.log_p99 <= prediction.thresholds.throttle:
            return list(self._lift(prediction, predictor, now_ms))
        tally = _ReliefTally(prediction, predictor)
        reactions: list[Reaction] = [
            *self._throttle(tally, now_ms),
            *self._evict(tally, now_ms),
        ]
        if reactions:
            prediction.state.cooldown_until_ms = now_ms + _PLACEMENT_COOLDOWN_MS
        return reactions

    def _throttle(
        self, tally: '_ReliefTally', now_ms: int
    ) -> Iterator[Throttle]:
        if not self._mechanisms.throttle_first:
            return
        for interference in self._by_benefit(tally.prediction):
            cpu_percent = _next_lower(interference.cpu_percent)
            reduction = (
                interference.unthrottled
                * (interference.cpu_percent - cpu_percent)
                / _FULL_PERCENT
            )
            if tally.is_enough:
                return
            if reduction >= _MIN_RELIEF:
                tally.add(reduction)
                key = interference.task.key
                yield _throttle(tally.prediction, key, cpu_percent, now_ms)

    def _evict(self, tally: '_ReliefTally', now_ms: int) -> Iterator[Reaction]:
        prediction = tally.prediction
        if tally.log_p99 <= prediction.thresholds.evict:
            return
        for interference in self._eviction_candidates(prediction):
            if tally.log_p99 <= prediction.thresholds.evict:
                return
            tally.add(interference.current)
            prediction.state.eviction_ordered_ms_by_key[
                interference.task.key
            ] = now_ms
            yield Evict(interference.task.key)

    def _eviction_candidates(
        self, prediction: Prediction
    ) -> list[Interference]:
        # Throttles ordered in this pass reduce the relief by an eviction.
        current_by_key = prediction.state.cpu_percent_by_key
        updated = (
            interference._replace(
                cpu_percent=current_by_key.get(
                    interference.task.key, interference.cpu_percent
                ),
            )
            for interference in self._by_benefit(prediction)
        )
        return [
            interference
            for interference in updated
            if interference.current >= _MIN_RELIEF
        ]

    def _by_benefit(self, prediction: Prediction) -> list[Interference]:
        benefit = (
            _relief_per_cpu if self._mechanisms.victim_choice else _millicores
        )
        return sorted(
            (
                interference
                for interference in prediction.interferences
                if interference.task.key
                not in prediction.state.eviction_ordered_ms_by_key
            ),
            key=lambda interference: (
                -benefit(interference),
                interference.task.key,
            ),
        )

    def _lift(
        self,
        prediction: Prediction,
        predictor: Predictor,
        now_ms: int,
    ) -> Iterator[Reaction]:
        limit = prediction.thresholds.throttle
        if self._mechanisms.hysteresis:
            limit = prediction.thresholds.lift
        if all(
            interference.cpu_percent >= _FULL_PERCENT
            for interference in prediction.interferences
        ):
            return
        for interference in reversed(self._by_benefit(prediction)):
            if interference.cpu_percent >= _FULL_PERCENT:
                continue
            cpu_percent = _next_higher(interference.cpu_percent)
            increase = (
                interference.unthrottled
                * (cpu_percent - interference.cpu_percent)
                / 100
            )
            if predictor.log_p99_after(prediction, increase) <= limit:
                yield _throttle(
                    prediction, interference.task.key, cpu_percent, now_ms
                )
                return


Benefit = Callable[[Interference], float]


def _relief_per_cpu(interference: Interference) -> float:
    """Compute the relief per millicore, lower for urgent tasks."""
    millicores = max(interference.task.resources.processors_milli, 1)
    slack_ms = interference.task.slack_ms
    urgency = 1.0
    if slack_ms is not None and slack_ms < _URGENT_SLACK_MS:
        urgency = _URGENCY_FACTOR
    return interference.unthrottled / millicores / urgency


def _overdue_stops(prediction: Prediction, now_ms: int) -> Iterator[Reaction]:
    """Stop attempts that did not complete their eviction in time.

    :param now_ms: monotonic time, in milliseconds.
    :yields: stops, if the latency is above the stop threshold.
    """
    eviction_ordered_ms_by_key = prediction.state.eviction_ordered_ms_by_key
    if not eviction_ordered_ms_by_key:
        return
    current_log_p99 = prediction.isolated.mean + sum(
        interference.current for interference in prediction.interferences
    )
    if current_log_p99 <= prediction.thresholds.stop:
        return
    for key, ordered_ms in eviction_ordered_ms_by_key.items():
        if now_ms - ordered_ms >= _EVICTION_TIMEOUT_MS:
            yield Stop(key)


def _millicores(interference: Interference) -> float:
    return interference.task.resources.processors_milli


def _next_lower(cpu_percent: int) -> int:
    if cpu_percent <= _MIN_PERCENT:
        return cpu_percent
    return (
        _THROTTLED_PERCENT if cpu_percent > _THROTTLED_PERCENT else _MIN_PERCENT
    )


def _next_higher(cpu_percent: int) -> int:
    return (
        _FULL_PERCENT
        if cpu_percent >= _THROTTLED_PERCENT
        else _THROTTLED_PERCENT
    )


def _throttle(
    prediction: Prediction,
    key: AttemptKey,
    cpu_percent: int,
    now_ms: int,
) -> Throttle:
    prediction.state.cpu_percent_by_key[key] = cpu_percent
    prediction.state.throttle_changed_ms_by_key[key] = now_ms
    return Throttle(key, cpu_percent)
