"""Estimated headroom of serving steps without best-effort tasks beside them.

The headroom of a task is its latency target as a multiple of its tail latency:
1 at the target, less above it. The tail latency of a queue grows as
1 / (1 - utilisation) and utilisations add up, so headroom falls linearly with a
task's own load and with the CPU that best-effort tasks use beside it.

All tasks of a step serve the same traffic and share one estimate.
"""

import math

#: Mean and variance of the headroom of a step before any sample.
PRIOR_HEADROOM = 2.5
_PRIOR_LEVEL_VARIANCE = 0.5
#: Variance of the slope before any sample, per second squared.
_PRIOR_SLOPE_VARIANCE = 0.2
#: Spectral density of the noise that drives the slope, per second cubed.
_SLOPE_NOISE = 0.15
#: Time constant of the decay of the slope between samples, in seconds.
_SLOPE_DECAY_S = 2.0
#: Time constant of the long-term mean, in seconds: about one load swing.
_MEAN_WINDOW_S = 10.0
#: Longest prediction interval, in seconds. Beyond it the filter falls back to
#: the long-term mean.
_MAX_PREDICTION_S = 5.0
_MS_IN_S = 1000


class HeadroomFilter:
    """Kalman filter of the headroom of one serving step.

    The state is the headroom and its slope. The slope compensates for reported
    figures that lag by about as long as a change of pace takes to apply.

    :ivar mean: long-term mean of the headroom.
    """

    def __init__(self, now_ms: int) -> None:
        """Start from the prior.

        :param now_ms: current monotonic time, in ms.
        """
        self.mean = PRIOR_HEADROOM
        self._updated_ms = now_ms
        self._level = PRIOR_HEADROOM
        self._slope: float = 0
        self._level_variance = _PRIOR_LEVEL_VARIANCE
        self._covariance: float = 0
        self._slope_variance = _PRIOR_SLOPE_VARIANCE

    @property
    def updated_ms(self) -> int:
        """Monotonic time of the latest sample, in ms."""
        return self._updated_ms

    def forecast(self, at_ms: int) -> float:
        """Predict the headroom.

        :param at_ms: monotonic time of the prediction, in ms.
        :returns: headroom without best-effort tasks.
        """
        ahead_s = (at_ms - self._updated_ms) / _MS_IN_S
        if ahead_s > _MAX_PREDICTION_S:
            return self.mean
        decayed_s = _SLOPE_DECAY_S * (1 - math.exp(-ahead_s / _SLOPE_DECAY_S))
        return self._level + self._slope * decayed_s

    def advance(self, now_ms: int) -> None:
        """Predict the state at a later time.

        :param now_ms: current monotonic time, in ms; earlier times have no
            effect.
        """
        span_s = (now_ms - self._updated_ms) / _MS_IN_S
        if span_s <= 0:
            return
        if span_s > _MAX_PREDICTION_S:
            self._reset()
        else:
            self._predict(span_s)
        self._updated_ms = now_ms
        self.mean += (self._level - self.mean) * min(1, span_s / _MEAN_WINDOW_S)

    def _reset(self) -> None:
        self._level = self.mean
        self._slope = 0
        self._level_variance = _PRIOR_LEVEL_VARIANCE
        self._covariance = 0
        self._slope_variance = _PRIOR_SLOPE_VARIANCE

    def _predict(self, span_s: float) -> None:
        decay = math.exp(-span_s / _SLOPE_DECAY_S)
        decayed_s = _SLOPE_DECAY_S * (1 - decay)
        self._level += self._slope * decayed_s
        self._slope *= decay
        self._level_variance += (
            2 * decayed_s * self._covariance
            + decayed_s**2 * self._slope_variance
            + _SLOPE_NOISE * span_s**3 / 3
        )
        self._covariance = (
            decay * (self._covariance + decayed_s * self._slope_variance)
            + _SLOPE_NOISE * span_s**2 / 2
        )
        self._slope_variance = (
            decay**2 * self._slope_variance + _SLOPE_NOISE * span_s
        )

    def variance(self, age_s: float) -> float:
        """Compute the variance of a past headroom.

        :param age_s: age of the headroom relative to the state, in seconds.
        """
        return (
            self._level_variance
            - 2 * age_s * self._covariance
            + age_s**2 * self._slope_variance
        )

    def level(self, age_s: float) -> float:
        """Estimate a past headroom.

        :param age_s: age of the headroom relative to the state, in seconds.
        :returns: headroom without best-effort tasks.
        """
        return self._level - age_s * self._slope

    def correct(self, age_s: float, scaled_innovation: float) -> None:
        """Apply a sample to the state.

        :param age_s: age of the sample relative to the state, in seconds.
        :param scaled_innovation: innovation, measured less expected headroom,
            divided by its variance.
        """
        level_gain = self._level_variance - age_s * self._covariance
        slope_gain = self._covariance - age_s * self._slope_variance
        self._level += level_gain * scaled_innovation
        self._slope += slope_gain * scaled_innovation

    def correct_covariance(self, age_s: float, variance: float) -> None:
        """Apply a sample to the covariance of the state, after ``correct``.

        :param age_s: age of the sample relative to the state, in seconds.
        :param variance: variance of the innovation.
        """
        level_gain = self._level_variance - age_s * self._covariance
        slope_gain = self._covariance - age_s * self._slope_variance
        self._level_variance -= level_gain**2 / variance
        self._covariance -= level_gain * slope_gain / variance
        self._slope_variance -= slope_gain**2 / variance
