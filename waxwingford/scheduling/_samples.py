"""Headroom of a serving task between two looks, from the tails that they listed."""

import math
from typing import NamedTuple

from waxwingford.scheduling._runners import RunKey

#: The tail listed is an average that forgets with this time, in ms.
SMOOTHED_MS = 500
#: A sample is of the middle of its span, but of no longer ago than this, in ms.
MOST_LAG_MS = 400
#: Standard deviation of a listed tail's rounding to whole ms, in ms.
ROUNDING_MS = 0.3
#: That of a sample of headroom as a share of it, and of what is left of a
#: former tail as a share of that: servers average at steps of their own.
NOISE_SHARE = 0.08
LEFTOVER_SHARE = 0.1
#: A tail is taken for this at least, in ms.
LEAST_TAIL_MS = 0.5
_MS_IN_S = 1000


class Seen(NamedTuple):
    """What a look at a server listed.

    :ivar at_ms: when, steady time.
    :ivar tail_by_run: tails of serving runs, in ms.
    :ivar share_by_image: cpu in use by fills, of the server's.
    """

    at_ms: int
    tail_by_run: dict[RunKey, float]
    share_by_image: dict[str, float]


class Sample(NamedTuple):
    """A measured headroom.

    :ivar headroom: its value.
    :ivar variance: of its error.
    :ivar before_s: how long ago it was so.
    """

    headroom: float
    variance: float
    before_s: float


def take_sample(
    target_ms: int, before_ms: float, tail_ms: float, seen: Seen, former: Seen
) -> Sample:
    """Work out the tail since the look before, and its headroom.

    A listed tail forgets slowly: after one bad moment it stays over its target
    for a second. What it was in between follows from two of them.

    :param target_ms: of the task.
    :param before_ms: tail that the look before listed.
    :param tail_ms: tail that the newest look listed.
    :param seen: the newest look.
    :param former: the look before.
    :returns: the sample.
    """
    span_ms = seen.at_ms - former.at_ms
    kept = math.exp(-span_ms / SMOOTHED_MS)
    tail = max(LEAST_TAIL_MS, (tail_ms - kept * before_ms) / (1 - kept))
    rounding = ROUNDING_MS * math.hypot(1, kept)
    leftover = LEFTOVER_SHARE * kept * before_ms
    deviation_ms = math.hypot(rounding, leftover) / (1 - kept)
    headroom = target_ms / tail
    deviation = headroom * math.hypot(NOISE_SHARE, deviation_ms / tail)
    before_s = min(span_ms / 2, MOST_LAG_MS) / _MS_IN_S
    return Sample(headroom, deviation**2, before_s)
