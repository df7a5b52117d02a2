"""Latency thresholds derived from the policy weights of a bundle."""

import math
from typing import NamedTuple

from waxwingford.placement import PolicyWeights

#: Weights of services that the bundle does not list.
DEFAULT_WEIGHTS = PolicyWeights(
    target_p99_ms=100,
    tail_weight=0.5,
    eviction_weight=0.5,
)
#: Distances from the logarithm of the latency target.
_PLACE_MARGIN = 0.02
_PLACE_MARGIN_PER_TAIL_WEIGHT = 0.04
_THROTTLE_MARGIN_PER_TAIL_WEIGHT = 0.05
_EVICT_EXCESS = 0.04
_EVICT_EXCESS_PER_EVICTION_WEIGHT = 0.16
_HYSTERESIS = 0.06
_STOP_EXCESS = 1.0


class Thresholds(NamedTuple):
    """Natural logarithms of 99th percentile latencies in milliseconds.

    :ivar place: upper bound of the latency predicted after a placement.
    :ivar lift: throttles are lifted while the latency stays below this.
    :ivar throttle: tasks are throttled above this latency.
    :ivar evict: tasks are evicted above this latency if throttling does not
        suffice.
    :ivar stop: tasks are stopped above this latency if their eviction does not
        complete in time.
    """

    place: float
    lift: float
    throttle: float
    evict: float
    stop: float


def thresholds_for(weights: PolicyWeights) -> Thresholds:
    """Derive the thresholds of a service from its policy weights.

    :param weights: latency target and weights of the service; a higher tail
        weight lowers the thresholds, a higher eviction weight raises the
        eviction threshold.
    :returns: thresholds as logarithms.
    """
    target = math.log(weights.target_p99_ms)
    total = weights.tail_weight + weights.eviction_weight
    tail_share = weights.tail_weight / total if total else 1 / 2
    throttle = target - _THROTTLE_MARGIN_PER_TAIL_WEIGHT * tail_share
    return Thresholds(
        place=target
        - _PLACE_MARGIN
        - _PLACE_MARGIN_PER_TAIL_WEIGHT * tail_share,
        lift=throttle - _HYSTERESIS,
        throttle=throttle,
        evict=target
        + _EVICT_EXCESS
        + _EVICT_EXCESS_PER_EVICTION_WEIGHT * (1 - tail_share),
        stop=target + _STOP_EXCESS,
    )
