"""What fills of one image take of the headroom of a serving image, as learned."""

import dataclasses
import math
from typing import NamedTuple

#: Effect of a pair that was never seen, in headroom for a whole server's cpu,
#: with its standard deviation; what a sample adds to its variance.
EXPECTED_EFFECT = 3.0
EFFECT_DEVIATION = 4.0
EFFECT_DRIFT = 0.01
#: Standard deviations by which an effect counts as larger than its mean where
#: it must not be underrated.
DOUBT = 1.0


@dataclasses.dataclass(slots=True)
class Effect:
    """What a pair does, in headroom for a whole server's cpu.

    :ivar mean: expected value.
    :ivar variance: of what is not known yet.
    :ivar surely: what it may be where it must not be underrated.
    """

    mean: float = EXPECTED_EFFECT
    variance: float = EFFECT_DEVIATION**2
    surely: float = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        """Work out what it may be."""
        self.doubt()

    def doubt(self) -> None:
        """Work out anew what it may be, after a change.

        Kept: it is asked for with each fill that waits, on each server.
        """
        self.surely = self.mean + DOUBT * math.sqrt(self.variance)


class Term(NamedTuple):
    """What fills of one image take of a headroom.

    :ivar effect: of the pair.
    :ivar now: their share of the server's cpu.
    :ivar then: the same at the look before.
    """

    effect: Effect
    now: float
    then: float

    @property
    def share(self) -> float:
        """Average their use.

        :returns: share of the server's cpu between the two looks.
        """
        return (self.now + self.then) / 2

    @property
    def variance(self) -> float:
        """Say how uncertain the term is.

        When the use has changed between the looks is not known.

        :returns: variance of what they take.
        """
        changed = self.effect.mean * (self.now - self.then) / 2
        return self.effect.variance * self.share**2 + changed**2

    def correct(self, scaled: float, variance: float) -> None:
        """Apply a sample to the effect.

        :param scaled: how much more headroom there was than expected, divided
            by the variance of that difference.
        :param variance: of the difference.
        """
        effect, share = self.effect, self.share
        gain = effect.variance * share
        effect.mean = max(0, effect.mean - gain * scaled)
        effect.variance -= gain**2 / variance - EFFECT_DRIFT * share
        effect.doubt()
