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


class Priors(NamedTuple):
    """Variances and drifts of all estimates, as squares of the logarithm.

    The server's own level drifts fastest: it follows what no other term
    explains, such as a slow disk or a change of the requests' mix.  The
    defaults are for percentiles over minutes.
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

    @property
    def pair(self) -> Prior:
        """Say where the effect of a kind on a service starts.

        :returns: for one unit of the kind.
        """
        return Prior(self.effect_mean, self.effect_variance, self.effect_drift)

    @property
    def pair_band(self) -> Prior:
        """Say where the correction of a pair in a band of load starts.

        :returns: for one unit of the kind.
        """
        return Prior(0, self.effect_band_variance, self.effect_drift)

    @property
    def service(self) -> Prior:
        """Say where a service starts of which nothing is expected.

        :returns: of the logarithm of its percentile.
        """
        return Prior(0, self.service_variance, self.base_drift)

    @property
    def service_band(self) -> Prior:
        """Say where the correction of a service in a band of load starts.

        :returns: of the logarithm of its percentile.
        """
        return Prior(0, self.service_band_variance, self.base_drift)

    @property
    def server(self) -> Prior:
        """Say where a server's own level starts.

        :returns: of the logarithm of all percentiles there.
        """
        return Prior(0, self.server_variance, self.server_drift)


PRIORS = Priors()
