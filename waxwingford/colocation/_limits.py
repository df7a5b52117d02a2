"""Thresholds that follow from the weights of the bundle."""

import math
from typing import NamedTuple

from waxwingford.placement import PolicyWeights

#: For services that the bundle does not name.
DEFAULT_WEIGHTS = PolicyWeights(
    target_p99_ms=100,
    tail_weight=0.5,
    eviction_weight=0.5,
)
#: Distances from the target, as shares of it.
_PLACE_BELOW = 0.02
_PLACE_BELOW_BY_TAIL = 0.04
_THROTTLE_BELOW_BY_TAIL = 0.05
_EVICT_ABOVE = 0.04
_EVICT_ABOVE_BY_EVICTIONS = 0.16
_HYSTERESIS = 0.06
_STOP_ABOVE = 1.0


class Limits(NamedTuple):
    """Logarithms of 99th percentiles in milliseconds.

    :ivar place: no placement that is predicted to go beyond.
    :ivar lift: throttles are lifted while the tail stays below.
    :ivar throttle: tasks are throttled above.
    :ivar evict: tasks are evicted above, if throttling does not help.
    :ivar stop: tasks are stopped above, if an eviction does not come about.
    """

    place: float
    lift: float
    throttle: float
    evict: float
    stop: float


def limits_of(weights: PolicyWeights) -> Limits:
    """Derive thresholds from weights.

    :param weights: of a service; the more the tail weighs, the earlier the
        policy acts; the more evictions weigh, the later it evicts.
    :returns: thresholds.
    """
    target = math.log(weights.target_p99_ms)
    total = weights.tail_weight + weights.eviction_weight
    tail = weights.tail_weight / total if total else 1 / 2
    throttle = target - _THROTTLE_BELOW_BY_TAIL * tail
    return Limits(
        place=target - _PLACE_BELOW - _PLACE_BELOW_BY_TAIL * tail,
        lift=throttle - _HYSTERESIS,
        throttle=throttle,
        evict=target + _EVICT_ABOVE + _EVICT_ABOVE_BY_EVICTIONS * (1 - tail),
        stop=target + _STOP_ABOVE,
    )
