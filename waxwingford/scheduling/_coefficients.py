"""Learned interference of best-effort images with serving images."""

import dataclasses
import math
from typing import NamedTuple

#: Prior of an unobserved pair of images: mean and standard deviation of the
#: headroom lost per whole server's CPU.
PRIOR_MEAN = 3.0
PRIOR_DEVIATION = 4.0
#: Process noise: variance added by each sample, per share of CPU used.
VARIANCE_DRIFT = 0.01
#: Standard deviations between the mean and the conservative estimate.
UPPER_BOUND_DEVIATIONS = 1.0


@dataclasses.dataclass(slots=True)
class InterferenceCoefficient:
    """Headroom that one image takes from another per whole server's CPU.

    :ivar upper_bound: conservative estimate for admission decisions.
    """

    mean: float = PRIOR_MEAN
    variance: float = PRIOR_DEVIATION**2
    upper_bound: float = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.update_upper_bound()

    def update_upper_bound(self) -> None:
        """Recompute the conservative estimate after a change.

        Cached because placement reads it for each pending best-effort task on
        each server.
        """
        self.upper_bound = self.mean + UPPER_BOUND_DEVIATIONS * math.sqrt(
            self.variance
        )


class InterferenceTerm(NamedTuple):
    """Contribution of one best-effort image to the loss of headroom.

    :ivar current: share of the server's CPU in use at the latest poll.
    :ivar previous: share of the server's CPU in use at the poll before.
    """

    coefficient: InterferenceCoefficient
    current: float
    previous: float

    @property
    def share(self) -> float:
        """Average share of the server's CPU between the two polls."""
        return (self.current + self.previous) / 2

    @property
    def variance(self) -> float:
        """Variance of the headroom taken.

        Includes the unknown moment at which the use changed between the polls.
        """
        changed = self.coefficient.mean * (self.current - self.previous) / 2
        return self.coefficient.variance * self.share**2 + changed**2

    def correct(self, scaled_innovation: float, variance: float) -> None:
        """Apply a headroom sample to the coefficient.

        :param scaled_innovation: innovation, measured less expected headroom,
            divided by its variance.
        :param variance: variance of the innovation.
        """
        coefficient, share = self.coefficient, self.share
        gain = coefficient.variance * share
        coefficient.mean = max(0, coefficient.mean - gain * scaled_innovation)
        coefficient.variance -= gain**2 / variance - VARIANCE_DRIFT * share
        coefficient.update_upper_bound()
