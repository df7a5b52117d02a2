"""Interference model, fitted online to usage samples.

The logarithm of a service's 99th percentile latency is modeled as a sum of
terms: one for the service in isolation, one for the server, and one for each
colocated batch kind in proportion to its CPU use.  Each sample updates the
estimates as in a Kalman filter with independent states.  The effect of a new
pair of service and batch kind starts from known pairs of the same kind, or else
from all known pairs.
"""

import bisect
import dataclasses
import math
from collections.abc import Mapping
from typing import NamedTuple

from waxwingford.colocation._mechanisms import ALL_MECHANISMS, Mechanisms
from waxwingford.colocation._priors import (
    BAND_CENTRES,
    PAIR_BAND_PRIOR,
    PAIR_PRIOR,
    PRIOR_PARAMETERS,
    QUEUEING_BY_BAND,
    SERVER_PRIOR,
    SERVICE_BAND_PRIOR,
    SERVICE_PRIOR,
    Prior,
)
from waxwingford.ports import Resources

#: Variance of the logarithm of one measured percentile.
_MEASUREMENT_VARIANCE = 0.0225
#: CPU per unit of batch use, in millicores.
_MILLICORES_PER_UNIT = 4000
_MIN_P99_MS = 0.001


@dataclasses.dataclass(slots=True)
class _Estimate:
    """Current estimate of one parameter.

    :ivar mean: expected value.
    :ivar variance: variance of the estimation error.
    :ivar process_noise: variance added with each sample.
    """

    mean: float
    variance: float
    process_noise: float


class WorkloadMix(NamedTuple):
    """A service and the batch work colocated with it.

    :ivar load: share of busy slots, 0 to 1.
    :ivar units_by_kind: CPU units used by each batch kind, see
        :func:`cpu_units`.
    """

    server_id: str
    service: str
    load: float
    units_by_kind: Mapping[str, float]


class Term(NamedTuple):
    """Summand of the logarithm of a 99th percentile latency in milliseconds.

    :ivar mean: expected value.
    :ivar variance: variance of the estimation error.
    """

    mean: float
    variance: float


def cpu_units(used: Resources) -> float:
    """Convert CPU use to the unit of the model, four cores."""
    return used.processors_milli / _MILLICORES_PER_UNIT


def band_weights(load: float) -> tuple[tuple[int, float], ...]:
    """Interpolate a load linearly between the adjacent load bands.

    :param load: share of busy slots, 0 to 1.
    :returns: index and weight of each band; the weights add up to 1.
    """
    upper = bisect.bisect_right(BAND_CENTRES, load)
    if upper == 0:
        return ((0, 1),)
    if upper == len(BAND_CENTRES):
        return ((upper - 1, 1),)
    low = BAND_CENTRES[upper - 1]
    share = (load - low) / (BAND_CENTRES[upper] - low)
    return (upper - 1, 1 - share), (upper, share)


class _BandedEstimate(NamedTuple):
    """Estimate with a correction for each load band.

    :ivar overall: part that is independent of the load.
    :ivar bands: correction for each load band; empty if bands are disabled.
    """

    overall: _Estimate
    bands: tuple[_Estimate, ...]

    def weighted(
        self,
        weights: tuple[tuple[int, float], ...],
        units: float,
    ) -> list[tuple[_Estimate, float]]:
        """Return the estimates with their weights in the sum.

        :param weights: weights of the load bands.
        :param units: factor of the whole term.
        """
        weighted = [(self.overall, units)]
        if self.bands:
            weighted += [
                (self.bands[band], weight * units) for band, weight in weights
            ]
        return weighted


class InterferenceModel:
    """Predicts latencies from estimates that are updated with each sample."""

    def __init__(
        self,
        expected_ms_by_service: Mapping[str, float],
        mechanisms: Mechanisms = ALL_MECHANISMS,
    ) -> None:
        """Start from the priors.

        :param expected_ms_by_service: prior 99th percentile latency of each
            service in isolation, in milliseconds.
        """
        self._prior_mean_by_service = {
            service: math.log(expected_ms)
            for service, expected_ms in expected_ms_by_service.items()
        }
        self._mechanisms = mechanisms
        self._estimate_by_server: dict[str, _Estimate] = {}
        self._estimate_by_service: dict[str, _BandedEstimate] = {}
        self._estimate_by_pair: dict[tuple[str, str], _BandedEstimate] = {}

    def isolated(self, server_id: str, service: str, load: float) -> Term:
        """Predict the latency of a service without colocated batch work.

        :param load: share of busy slots, 0 to 1.
        :returns: logarithm of the 99th percentile latency in milliseconds.
        """
        return _weighted_sum(
            self._isolated_terms(server_id, service, band_weights(load))
        )

    def effect(self, service: str, kind: str, load: float) -> Term:
        """Predict the effect of one CPU unit of a batch kind on a service.

        :param load: share of busy slots, 0 to 1.
        :returns: increase of the logarithm of the 99th percentile latency.
        """
        banded = self._estimate_by_pair.get((service, kind))
        if banded is None:
            return Term(
                self._expected_effect(kind), PRIOR_PARAMETERS.effect_variance
            )
        return _weighted_sum(banded.weighted(band_weights(load), 1))

    def effects(self) -> dict[tuple[str, str], Term]:
        """Export the load-independent effects for persistence.

        :returns: effect of one CPU unit, by service and batch kind.
        """
        return {
            pair: Term(banded.overall.mean, banded.overall.variance)
            for pair, banded in self._estimate_by_pair.items()
        }

    def restore(self, term_by_pair: Mapping[tuple[str, str], Term]) -> None:
        """Restore effects that were exported before.

        :param term_by_pair: result of :meth:`effects`.
        """
        for (service, kind), term in term_by_pair.items():
            banded = self._pair_estimate(service, kind)
            banded.overall.mean = term.mean
            banded.overall.variance = term.variance

    def learn(
        self, mix: WorkloadMix, p99_ms: float, sample_weight: float
    ) -> None:
        """Update the estimates with one measurement.

        :param mix: workload during the measurement.
        :param p99_ms: measured 99th percentile latency, in milliseconds.
        :param sample_weight: weight of the measurement, above 0 and up to 1.
        """
        service = mix.service
        weights = band_weights(mix.load)
        terms = self._isolated_terms(mix.server_id, service, weights)
        for kind, units in mix.units_by_kind.items():
            terms.extend(
                self._pair_estimate(service, kind).weighted(weights, units)
            )
        expected = _weighted_sum(terms)
        residual = math.log(max(p99_ms, _MIN_P99_MS)) - expected.mean
        scale = 1 / (expected.variance + _MEASUREMENT_VARIANCE / sample_weight)
        for estimate, weight in terms:
            gain = estimate.variance * weight * scale
            estimate.mean += gain * residual
            estimate.variance *= 1 - gain * weight
            estimate.variance += estimate.process_noise

    def _isolated_terms(
        self,
        server_id: str,
        service: str,
        weights: tuple[tuple[int, float], ...],
    ) -> list[tuple[_Estimate, float]]:
        banded = self._estimate_by_service.get(service)
        if banded is None:
            banded = self._new_service(service)
            self._estimate_by_service[service] = banded
        server = self._estimate_by_server.get(server_id)
        if server is None:
            server = _Estimate(*SERVER_PRIOR)
            self._estimate_by_server[server_id] = server
        terms = banded.weighted(weights, 1)
        terms.append((server, 1))
        return terms

    def _pair_estimate(self, service: str, kind: str) -> _BandedEstimate:
        banded = self._estimate_by_pair.get((service, kind))
        if banded is None:
            banded = self._new_pair(kind)
            self._estimate_by_pair[service, kind] = banded
        return banded

    def _new_service(self, service: str) -> _BandedEstimate:
        expected = self._prior_mean_by_service.get(service, 0)
        priors = [
            SERVICE_BAND_PRIOR._replace(mean=mean) for mean in QUEUEING_BY_BAND
        ]
        return _BandedEstimate(
            _Estimate(*SERVICE_PRIOR._replace(mean=expected)),
            self._new_bands(priors),
        )

    def _new_pair(self, kind: str) -> _BandedEstimate:
        bands = self._new_bands([PAIR_BAND_PRIOR for _ in BAND_CENTRES])
        prior = PAIR_PRIOR._replace(mean=self._expected_effect(kind))
        return _BandedEstimate(_Estimate(*prior), bands)

    def _expected_effect(self, kind: str) -> float:
        if not self._mechanisms.shrinkage:
            return PAIR_PRIOR.mean
        mean_by_pair = {
            pair: banded.overall.mean
            for pair, banded in self._estimate_by_pair.items()
        }
        same_kind = [
            mean for pair, mean in mean_by_pair.items() if pair[1] == kind
        ]
        known_means = same_kind or list(mean_by_pair.values())
        return (PAIR_PRIOR.mean + sum(known_means)) / (1 + len(known_means))

    def _new_bands(self, priors: list[Prior]) -> tuple[_Estimate, ...]:
        if not self._mechanisms.bands:
            return ()
        return tuple(_Estimate(*prior) for prior in priors)


def _weighted_sum(terms: list[tuple[_Estimate, float]]) -> Term:
    mean: float = 0
    variance: float = 0
    for estimate, weight in terms:
        mean += estimate.mean * weight
        variance += estimate.variance * weight * weight
    return Term(mean, variance)
