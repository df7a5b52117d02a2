"""Learned run times of tasks, by queue.

Declared run times may be far off. What servers list of the progress of runs tells
the true ones, so for each queue the logarithm of the true run time is fitted as a
linear function of that of the declared one. Without evidence the declared one holds;
the more they differ by chance, the closer predictions come to the queue's mean.
"""

import dataclasses
import math

#: Weight of the assumption that declared run times are right: in samples for the
#: offset, in summed squares of logarithms for the slope.
_PRIOR_SAMPLES = 1.0
_PRIOR_SQUARES = 1.0
#: Share of their weight that older samples lose with each new one.
_FORGETTING = 0.01


@dataclasses.dataclass(slots=True)
class _Fit:
    """Weighted means and summed products of logarithms."""

    weight: float = 0
    declared: float = 0
    observed: float = 0
    squares: float = 0
    products: float = 0

    def add(self, declared: float, observed: float) -> None:
        """Add a sample of logarithms."""
        kept = 1 - _FORGETTING
        self.weight = self.weight * kept + 1
        declared_change = declared - self.declared
        self.declared += declared_change / self.weight
        self.observed += (observed - self.observed) / self.weight
        self.squares = self.squares * kept + declared_change * (
            declared - self.declared
        )
        self.products = self.products * kept + declared_change * (
            observed - self.observed
        )

    def predict(self, declared: float) -> float:
        """Predict the logarithm of a run time."""
        slope = (self.products + _PRIOR_SQUARES) / (
            self.squares + _PRIOR_SQUARES
        )
        share = self.weight / (self.weight + _PRIOR_SAMPLES)
        offset = share * (self.observed - self.declared)
        return self.declared + offset + slope * (declared - self.declared)


class RunTimes:
    """Predicts run times at full speed from declared ones."""

    def __init__(self) -> None:
        self._fit_by_queue: dict[str, _Fit] = {}

    def learn(self, queue: str, declared_ms: float, observed_ms: float) -> None:
        """Learn from the tasks of one step.

        :param declared_ms: declared run time, in ms.
        :param observed_ms: observed run time at full speed, in ms.
        """
        if declared_ms > 0 and observed_ms > 0:
            fit = self._fit_by_queue.setdefault(queue, _Fit())
            fit.add(math.log(declared_ms), math.log(observed_ms))

    def predict(self, queue: str, declared_ms: float) -> float:
        """Predict the run time of a task at full speed.

        :param declared_ms: declared run time, in ms.
        :returns: run time in ms.
        """
        fit = self._fit_by_queue.get(queue)
        if fit is None or declared_ms <= 0:
            return declared_ms
        return math.exp(fit.predict(math.log(declared_ms)))
