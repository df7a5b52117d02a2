"""Headroom of serving steps, followed from the tails that servers list.

The tail of a queue grows as 1 / (1 - utilisation), and the utilisations of what
shares a server add up.  So the inverse of a tail falls in proportion to a task's
own load and to the cpu that fills use beside it, while the tail itself explodes
near its limit.  All figures here are such inverses: the headroom of a task is its
target as a multiple of its tail, 1 at the target and more below it.

All tasks of a step serve the same users, so they share one load: what one
server lists of a step is known for all of its servers.
"""

import math

#: Headroom that a serving step is taken to have before any sample, with its
#: variance and that of its slope per second.
EXPECTED_HEADROOM = 2.5
_LEVEL_VARIANCE = 0.5
_SLOPE_VARIANCE = 0.2
#: Spectral density of the noise that drives the slope, per second cubed: loads
#: that swing by half within 8 to 16 s change it by 0.2 to 0.6 a second.
_SLOPE_NOISE = 0.15
#: A slope that no sample confirms fades within this time, in seconds.
_SLOPE_FADES_S = 2.0
#: Time over which the usual headroom is averaged, in seconds: a swing or so.
_USUAL_S = 10.0
#: Longest step of the filter, in seconds: after more than that without a
#: sample nothing is known but the usual headroom.
_LONGEST_S = 5.0
_MS_IN_S = 1000


class Load:
    """Headroom of one serving step without any fills beside it.

    A filter of level and slope, so that paces can be set for the load to come:
    what servers list is late by about as long as a change of pace takes.

    :ivar usual: mean over a swing.
    """

    def __init__(self, now_ms: int) -> None:
        """Start from what is expected of any serving step.

        :param now_ms: steady time.
        """
        self.usual = EXPECTED_HEADROOM
        self._at_ms = now_ms
        self._level = EXPECTED_HEADROOM
        self._slope: float = 0
        self._level_variance = _LEVEL_VARIANCE
        self._covariance: float = 0
        self._slope_variance = _SLOPE_VARIANCE

    @property
    def at_ms(self) -> int:
        """Say when it was last measured.

        :returns: steady time.
        """
        return self._at_ms

    def forecast(self, at_ms: int) -> float:
        """Predict the headroom.

        :param at_ms: for this steady time.
        :returns: headroom without fills.
        """
        ahead_s = (at_ms - self._at_ms) / _MS_IN_S
        if ahead_s > _LONGEST_S:
            return self.usual
        faded_s = _SLOPE_FADES_S * (1 - math.exp(-ahead_s / _SLOPE_FADES_S))
        return self._level + self._slope * faded_s

    def advance(self, now_ms: int) -> None:
        """Bring the filter to a time.

        :param now_ms: steady time; earlier ones change nothing.
        """
        span_s = (now_ms - self._at_ms) / _MS_IN_S
        if span_s <= 0:
            return
        if span_s > _LONGEST_S:
            self._restart()
        else:
            self._predict(span_s)
        self._at_ms = now_ms
        self.usual += (self._level - self.usual) * min(1, span_s / _USUAL_S)

    def _restart(self) -> None:
        self._level = self.usual
        self._slope = 0
        self._level_variance = _LEVEL_VARIANCE
        self._covariance = 0
        self._slope_variance = _SLOPE_VARIANCE

    def _predict(self, span_s: float) -> None:
        kept = math.exp(-span_s / _SLOPE_FADES_S)
        moved_s = _SLOPE_FADES_S * (1 - kept)
        self._level += self._slope * moved_s
        self._slope *= kept
        self._level_variance += (
            2 * moved_s * self._covariance
            + moved_s**2 * self._slope_variance
            + _SLOPE_NOISE * span_s**3 / 3
        )
        self._covariance = (
            kept * (self._covariance + moved_s * self._slope_variance)
            + _SLOPE_NOISE * span_s**2 / 2
        )
        self._slope_variance = (
            kept**2 * self._slope_variance + _SLOPE_NOISE * span_s
        )

    def variance(self, before_s: float) -> float:
        """Say how uncertain the headroom was some time before now.

        :param before_s: seconds before the filter's time.
        :returns: variance.
        """
        return (
            self._level_variance
            - 2 * before_s * self._covariance
            + before_s**2 * self._slope_variance
        )

    def level(self, before_s: float) -> float:
        """Say what the headroom was some time before now.

        :param before_s: seconds before the filter's time.
        :returns: headroom without fills.
        """
        return self._level - before_s * self._slope

    def correct(self, before_s: float, surprise_by_variance: float) -> None:
        """Apply a sample.

        :param before_s: seconds before the filter's time that it is of.
        :param surprise_by_variance: how much it differs from what was
            expected, divided by the variance of that difference.
        """
        level_gain = self._level_variance - before_s * self._covariance
        slope_gain = self._covariance - before_s * self._slope_variance
        self._level += level_gain * surprise_by_variance
        self._slope += slope_gain * surprise_by_variance

    def shrink(self, before_s: float, variance: float) -> None:
        """Count a sample in the uncertainty, after ``correct``.

        :param before_s: seconds before the filter's time that it is of.
        :param variance: of the difference from what was expected.
        """
        level_gain = self._level_variance - before_s * self._covariance
        slope_gain = self._covariance - before_s * self._slope_variance
        self._level_variance -= level_gain**2 / variance
        self._covariance -= level_gain * slope_gain / variance
        self._slope_variance -= slope_gain**2 / variance
