"""Model of interference, learned from samples.

The logarithm of a service's 99th percentile on a server is a sum of terms:
one for the service alone and one for each batch kind beside it, in proportion
to the processors that the kind uses.  Each term is itself a sum over levels,
from the general (any kind, any service) to the particular (this pair in this
band of load).  Every level is an estimate with a variance; a sample moves each
in proportion to its variance.  So a pair that was hardly seen is as its kind
is elsewhere (shrinkage), and a pair that was seen often is as it was measured.
"""

import dataclasses
import math
from collections.abc import Mapping
from typing import NamedTuple

from waxwingford.colocation._mechanisms import ALL, Mechanisms
from waxwingford.ports import Resources

#: Names of a level, from the general to the particular.
_Level = tuple[str, ...]
#: Centres of the bands of load; a load between two belongs to both in part.
_BAND_CENTRES = (0.25, 0.5, 0.7, 0.9)
#: What queueing is expected to add to the logarithm in each band.
_QUEUEING_BY_BAND = {'0': 0, '1': 0.03, '2': 0.12, '3': 0.5}
#: Noise of the logarithm of one measured percentile: (0.15) squared.
_SAMPLE_VARIANCE = 0.0225
#: One unit of batch use: four cores.
_UNIT_MILLI = 4000
_SMALLEST_MS = 0.001


class _Prior(NamedTuple):
    """Where a level starts and how fast it forgets.

    :ivar mean: of the logarithm.
    :ivar variance: of the logarithm.
    :ivar drift: growth of the variance with each sample.
    """

    mean: float
    variance: float
    drift: float


class _Priors(NamedTuple):
    """Variances and drifts of all levels, as squares of the logarithm.

    The server's own level drifts fastest: it follows what no other term
    explains, such as a slow disk or a change of the requests' mix.
    """

    any_mean: float = 0.08
    any_variance: float = 0.01
    kind_variance: float = 0.01
    pair_variance: float = 0.02
    band_variance: float = 0.005
    effect_drift: float = 2e-6
    service_variance: float = 1.0
    service_band_variance: float = 0.1
    base_drift: float = 1e-5
    server_variance: float = 0.01
    server_drift: float = 2e-4


_PRIORS = _Priors()
_ANY = _Prior(_PRIORS.any_mean, _PRIORS.any_variance, _PRIORS.effect_drift)
_KIND = _Prior(0, _PRIORS.kind_variance, _PRIORS.effect_drift)
_PAIR = _Prior(0, _PRIORS.pair_variance, _PRIORS.effect_drift)
_ALONE_PAIR = _Prior(
    _PRIORS.any_mean,
    _PRIORS.any_variance + _PRIORS.kind_variance + _PRIORS.pair_variance,
    _PRIORS.effect_drift,
)
_PAIR_BAND = _Prior(0, _PRIORS.band_variance, _PRIORS.effect_drift)
_SERVICE = _Prior(0, _PRIORS.service_variance, _PRIORS.base_drift)
_SERVICE_BAND = _Prior(0, _PRIORS.service_band_variance, _PRIORS.base_drift)
_SERVER = _Prior(0, _PRIORS.server_variance, _PRIORS.server_drift)


@dataclasses.dataclass(slots=True)
class _Estimate:
    """A level's present value.

    :ivar mean: of the logarithm.
    :ivar variance: of the logarithm.
    :ivar drift: growth of the variance with each sample.
    """

    mean: float
    variance: float
    drift: float


class Setting(NamedTuple):
    """A service among batch work.

    :ivar server_id: where.
    :ivar service: which service.
    :ivar load: share of busy slots, 0 to 1.
    :ivar units_by_kind: processors used, see :func:`units_of`.
    """

    server_id: str
    service: str
    load: float
    units_by_kind: Mapping[str, float]


class Term(NamedTuple):
    """Part of the logarithm of a 99th percentile in milliseconds.

    :ivar mean: expected value.
    :ivar variance: of what is not known yet.
    """

    mean: float
    variance: float


def units_of(used: Resources) -> float:
    """Express processors in the model's unit of four cores.

    :param used: what a task uses.
    :returns: units.
    """
    return used.processors_milli / _UNIT_MILLI


def band_shares(load: float) -> list[tuple[str, float]]:
    """Share a load out to the bands next to it.

    :param load: share of busy slots, 0 to 1.
    :returns: band and weight; the weights add up to 1.
    """
    if load <= _BAND_CENTRES[0]:
        return [('0', 1)]
    if load >= _BAND_CENTRES[-1]:
        return [(str(len(_BAND_CENTRES) - 1), 1)]
    upper = next(
        band for band, centre in enumerate(_BAND_CENTRES) if load < centre
    )
    low = _BAND_CENTRES[upper - 1]
    share = (load - low) / (_BAND_CENTRES[upper] - low)
    return [(str(upper - 1), 1 - share), (str(upper), share)]


class InterferenceModel:
    """Estimates by level, updated sample by sample in constant time."""

    def __init__(
        self,
        expected_ms_by_service: Mapping[str, float],
        mechanisms: Mechanisms = ALL,
    ) -> None:
        """Start from the priors.

        :param expected_ms_by_service: 99th percentile that a service is taken
            to have alone before any sample, in milliseconds.
        :param mechanisms: parts to use.
        """
        self._expected_by_service = {
            service: math.log(expected_ms)
            for service, expected_ms in expected_ms_by_service.items()
        }
        self._mechanisms = mechanisms
        self._estimate_by_level: dict[_Level, _Estimate] = {}

    def base(self, server_id: str, service: str, load: float) -> Term:
        """Predict a service without batch work beside it.

        :param server_id: where.
        :param service: which service.
        :param load: share of busy slots, 0 to 1.
        :returns: logarithm of its 99th percentile.
        """
        return _total(self._base_levels(server_id, service, load))

    def effect(self, service: str, kind: str, load: float) -> Term:
        """Predict what one unit of a batch kind adds to a service.

        :param service: which service.
        :param kind: batch kind.
        :param load: share of busy slots, 0 to 1.
        :returns: what it adds to the logarithm of the 99th percentile.
        """
        return _total(self._effect_levels(service, kind, load))

    def predict(self, setting: Setting) -> float:
        """Predict a service in a setting.

        :param setting: the service and the work beside it.
        :returns: logarithm of its 99th percentile in milliseconds.
        """
        service, load = setting.service, setting.load
        return self.base(setting.server_id, service, load).mean + sum(
            units * self.effect(service, kind, load).mean
            for kind, units in setting.units_by_kind.items()
        )

    def learn(self, setting: Setting, p99_ms: float, trust: float) -> None:
        """Learn from what was measured in a setting.

        :param setting: what ran together while it was measured.
        :param p99_ms: measured 99th percentile, in milliseconds.
        :param trust: above 0, up to 1 for a window without changes.
        """
        service, load = setting.service, setting.load
        terms = self._base_levels(setting.server_id, service, load)
        terms += [
            (estimate, weight * units)
            for kind, units in setting.units_by_kind.items()
            for estimate, weight in self._effect_levels(service, kind, load)
        ]
        expected = _total(terms)
        surprise = math.log(max(p99_ms, _SMALLEST_MS)) - expected.mean
        scale = 1 / (expected.variance + _SAMPLE_VARIANCE / trust)
        for estimate, weight in terms:
            gain = estimate.variance * weight * scale
            estimate.mean += gain * surprise
            estimate.variance *= 1 - gain * weight
            estimate.variance += estimate.drift

    def _at(self, level: _Level, prior: _Prior) -> _Estimate:
        estimate = self._estimate_by_level.get(level)
        if estimate is None:
            estimate = _Estimate(*prior)
            self._estimate_by_level[level] = estimate
        return estimate

    def _bands(self, load: float) -> list[tuple[str, float]]:
        return band_shares(load) if self._mechanisms.bands else []

    def _base_levels(
        self,
        server_id: str,
        service: str,
        load: float,
    ) -> list[tuple[_Estimate, float]]:
        expected = self._expected_by_service.get(service, 0)
        prior = _SERVICE._replace(mean=expected)
        levels = [
            (self._at(('service', service), prior), 1),
            (self._at(('server', server_id), _SERVER), 1),
        ]
        return levels + [
            (
                self._at(
                    ('service', service, band),
                    _SERVICE_BAND._replace(mean=_QUEUEING_BY_BAND[band]),
                ),
                share,
            )
            for band, share in self._bands(load)
        ]

    def _effect_levels(
        self,
        service: str,
        kind: str,
        load: float,
    ) -> list[tuple[_Estimate, float]]:
        pair = ('pair', service, kind)
        if self._mechanisms.shrinkage:
            levels = [
                (self._at(('any',), _ANY), 1),
                (self._at(('kind', kind), _KIND), 1),
                (self._at(pair, _PAIR), 1),
            ]
        else:
            levels = [(self._at(pair, _ALONE_PAIR), 1)]
        return levels + [
            (self._at((*pair, band), _PAIR_BAND), share)
            for band, share in self._bands(load)
        ]


def _total(terms: list[tuple[_Estimate, float]]) -> Term:
    """Add levels up.

    :param terms: estimates with their weights.
    :returns: the sum.
    """
    return Term(
        sum(estimate.mean * weight for estimate, weight in terms),
        sum(estimate.variance * weight * weight for estimate, weight in terms),
    )
