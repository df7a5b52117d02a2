"""Where the estimates of the interference model start."""

from typing import NamedTuple

#: Centres of the bands of load; a load between two belongs to both in part.
BAND_CENTRES = (0.25, 0.5, 0.7, 0.9)
#: What queueing is expected to add to the logarithm in each band.
QUEUEING_BY_BAND = (0, 0.03, 0.12, 0.5)


class Prior(NamedTuple):
    """Where a level starts and how fast it forgets.

    :ivar mean: of the logarithm.
    :ivar variance: of the logarithm.
    :ivar drift: growth of the variance with each sample.
    """

    mean: float
    variance: float
    drift: float


class _Priors(NamedTuple):
    """Variances and drifts of all estimates, as squares of the logarithm.

    The server's own level drifts fastest: it follows what no other term
    explains, such as a slow disk or a change of the requests' mix.
    """

    effect_mean: float = 0.08
    effect_variance: float = 0.04
    effect_band_variance: float = 0.005
    effect_drift: float = 2e-6
    service_variance: float = 1.0
    service_band_variance: float = 0.1
    base_drift: float = 1e-5
    server_variance: float = 0.01
    server_drift: float = 2e-4


PRIORS = _Priors()
PAIR = Prior(
    PRIORS.effect_mean,
    PRIORS.effect_variance,
    PRIORS.effect_drift,
)
PAIR_BAND = Prior(0, PRIORS.effect_band_variance, PRIORS.effect_drift)
SERVICE = Prior(0, PRIORS.service_variance, PRIORS.base_drift)
SERVICE_BAND = Prior(0, PRIORS.service_band_variance, PRIORS.base_drift)
SERVER = Prior(0, PRIORS.server_variance, PRIORS.server_drift)
