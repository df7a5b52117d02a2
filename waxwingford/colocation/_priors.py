"""Prior distributions of the interference model's estimates."""

from typing import NamedTuple

#: Centres of the load bands; loads in between are interpolated linearly.
BAND_CENTRES = (0.25, 0.5, 0.7, 0.9)
#: Prior increase of the log latency by queueing, for each load band.
QUEUEING_BY_BAND = (0, 0.03, 0.12, 0.5)


class Prior(NamedTuple):
    """Prior of one estimate of a log latency.

    :ivar process_noise: variance added with each sample.
    """

    mean: float
    variance: float
    process_noise: float


class _PriorParameters(NamedTuple):
    """Parameters of all priors, on the scale of log latencies.

    The estimate of a server has the largest process noise: it absorbs changes
    that no other term explains, such as a slow disk or a new request mix.
    """

    effect_mean: float = 0.08
    effect_variance: float = 0.04
    effect_band_variance: float = 0.005
    effect_process_noise: float = 2e-6
    service_variance: float = 1.0
    service_band_variance: float = 0.1
    service_process_noise: float = 1e-5
    server_variance: float = 0.01
    server_process_noise: float = 2e-4


PRIOR_PARAMETERS = _PriorParameters()
PAIR_PRIOR = Prior(
    PRIOR_PARAMETERS.effect_mean,
    PRIOR_PARAMETERS.effect_variance,
    PRIOR_PARAMETERS.effect_process_noise,
)
PAIR_BAND_PRIOR = Prior(
    0,
    PRIOR_PARAMETERS.effect_band_variance,
    PRIOR_PARAMETERS.effect_process_noise,
)
SERVICE_PRIOR = Prior(
    0, PRIOR_PARAMETERS.service_variance, PRIOR_PARAMETERS.service_process_noise
)
SERVICE_BAND_PRIOR = Prior(
    0,
    PRIOR_PARAMETERS.service_band_variance,
    PRIOR_PARAMETERS.service_process_noise,
)
SERVER_PRIOR = Prior(
    0, PRIOR_PARAMETERS.server_variance, PRIOR_PARAMETERS.server_process_noise
)
