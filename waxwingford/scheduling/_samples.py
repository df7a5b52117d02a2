"""Headroom samples of serving tasks, from the tail latencies of two polls."""

import math
from typing import NamedTuple

from waxwingford.scheduling._backend_client import RunKey

#: Time constant of the exponential average that servers report, in ms.
SMOOTHING_MS = 500
#: Upper bound on the age that a sample is attributed to, in ms.
MAX_LAG_MS = 400
#: Standard deviation of rounding a reported tail latency to whole ms, in ms.
ROUNDING_DEVIATION_MS = 0.3
#: Standard deviation of a headroom sample, relative to its value.
NOISE_SHARE = 0.08
#: Standard deviation of the remainder of the previous average, relative to it;
#: accounts for servers that average in steps of different length.
REMAINDER_NOISE_SHARE = 0.1
#: Lower bound of the reconstructed tail latency, in ms.
MIN_TAIL_LATENCY_MS = 0.5
_MS_IN_S = 1000


class Observation(NamedTuple):
    """Figures that a server reported in one poll.

    :ivar at_ms: monotonic time of the poll, in ms.
    :ivar tail_latency_by_run: tail latency of each serving run, in ms.
    :ivar share_by_image: share of the server's CPU in use by best-effort runs.
    """

    at_ms: int
    tail_latency_by_run: dict[RunKey, float]
    share_by_image: dict[str, float]


class Sample(NamedTuple):
    """A measured headroom.

    :ivar headroom: target as a multiple of the tail latency.
    :ivar variance: variance of the measurement error.
    :ivar age_s: age of the measured state, in seconds.
    """

    headroom: float
    variance: float
    age_s: float


def take_sample(
    target_ms: int,
    previous_ms: float,
    current_ms: float,
    current: Observation,
    previous: Observation,
) -> Sample:
    """Compute the headroom of a task between two polls.

    The reported tail latency is an exponential average, which stays over the
    target for a second after a short spike. Removing the decayed previous
    average yields the latency within the interval.

    :param target_ms: tail latency target of the task, in ms.
    :param previous_ms: tail latency reported by the previous poll, in ms.
    :param current_ms: tail latency reported by the latest poll, in ms.
    :param current: figures of the latest poll.
    :param previous: figures of the previous poll.
    """
    span_ms = current.at_ms - previous.at_ms
    decay = math.exp(-span_ms / SMOOTHING_MS)
    tail_latency = max(
        MIN_TAIL_LATENCY_MS, (current_ms - decay * previous_ms) / (1 - decay)
    )
    rounding = ROUNDING_DEVIATION_MS * math.hypot(1, decay)
    remainder = REMAINDER_NOISE_SHARE * decay * previous_ms
    deviation_ms = math.hypot(rounding, remainder) / (1 - decay)
    headroom = target_ms / tail_latency
    deviation = headroom * math.hypot(NOISE_SHARE, deviation_ms / tail_latency)
    age_s = min(span_ms / 2, MAX_LAG_MS) / _MS_IN_S
    return Sample(headroom, deviation**2, age_s)
