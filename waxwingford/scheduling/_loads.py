"""Follows the load of each step that serves users.

All tasks of such a step share its users, so their tails rise and fall together
with its load, by more than most fills add.  Unless that common part is known,
fills are blamed for it, and one that is harmless now is let up just when the
load is about to rise.
"""

import dataclasses
import math

#: Period of a load that swings, in s.  Loads of services swing within some
#: seconds; with half or twice the true period the error half a second ahead
#: grows by a tenth, and without any period by a third (measured on tails of
#: two calm runs, period 10 s).
PERIOD_S = 10.0
#: Share of a sample's deviation that the swing, its slope and the mean take.
SWING_GAIN = 0.1
SLOPE_GAIN = 0.08
MEAN_GAIN = 0.05
#: Largest deviation that a sample may show, in the logarithm of a tail: a tail
#: that has run away tells nothing of the load.
MOST_DEVIATION = 0.6
_RATE = 2 * math.pi / PERIOD_S
_MS_IN_S = 1000


@dataclasses.dataclass(slots=True)
class _Load:
    """A load that swings about its mean.

    :ivar mean: of the logarithm of the tails.
    :ivar sample_ms: time of the newest sample, steady time.
    :ivar swing: present distance from the mean.
    :ivar slope: change of that in a second.
    :ivar count: samples so far.
    """

    mean: float
    sample_ms: int
    swing: float = 0
    slope: float = 0
    count: int = 0

    def ahead(self, at_ms: int) -> tuple[float, float]:
        """Continue the swing.

        :param at_ms: steady time.
        :returns: swing and slope at that time.
        """
        angle = _RATE * (at_ms - self.sample_ms) / _MS_IN_S
        cosine, sine = math.cos(angle), math.sin(angle)
        swing = self.swing * cosine + self.slope / _RATE * sine
        slope = self.slope * cosine - self.swing * _RATE * sine
        return swing, slope


class LoadTracker:
    """Loads of steps, from samples of their tails."""

    def __init__(self) -> None:
        """Know no load."""
        self._load_by_step: dict[str, _Load] = {}

    def predict(self, step: str, at_ms: int) -> float:
        """Predict a load.

        :param step: name of the step.
        :param at_ms: steady time, at most seconds ahead.
        :returns: what it adds to the logarithm of a tail, 0 if not known.
        """
        load = self._load_by_step.get(step)
        return 0 if load is None else load.mean + load.ahead(at_ms)[0]

    def mean(self, step: str) -> float:
        """Say about what a load swings.

        :param step: name of the step.
        :returns: what it adds to the logarithm of a tail, 0 if not known.
        """
        load = self._load_by_step.get(step)
        return 0 if load is None else load.mean

    def learn(self, step: str, level: float, at_ms: int) -> None:
        """Learn from a sample.

        :param step: name of the step.
        :param level: logarithm of a tail, less all that isn't load.
        :param at_ms: when it was measured, steady time.
        """
        load = self._load_by_step.get(step)
        if load is None:
            self._load_by_step[step] = _Load(level, at_ms)
            return
        at_ms = max(at_ms, load.sample_ms)
        swing, slope = load.ahead(at_ms)
        surprise = _bounded(level - load.mean - swing)
        load.count += 1
        # The first samples count for more: there is nothing else yet.
        early_gain = 1 / (load.count + 2)
        load.swing = swing + max(SWING_GAIN, early_gain) * surprise
        load.slope = slope + SLOPE_GAIN * _RATE * surprise
        load.mean += max(MEAN_GAIN, early_gain / 2) * surprise
        load.sample_ms = at_ms

    def drop_older(self, before_ms: int) -> None:
        """Drop the steps of which nothing is heard any more.

        :param before_ms: steady time of the oldest samples to keep.
        """
        self._load_by_step = {
            step: load
            for step, load in self._load_by_step.items()
            if load.sample_ms >= before_ms
        }


def _bounded(deviation: float) -> float:
    return max(-MOST_DEVIATION, min(MOST_DEVIATION, deviation))
