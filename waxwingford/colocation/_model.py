"""Model of interference, learned from samples.

The logarithm of a service's 99th percentile on a server is a sum of terms:
one for the service alone and one for each batch kind beside it, in proportion
to the processors that the kind uses.  Each term is an estimate with a variance
and a correction by band of load; a sample moves each in proportion to its
variance.  A pair of service and kind that was never seen is expected to be as
the kind is beside other services, or else as kinds are on the whole.
"""

import bisect
import dataclasses
import math
from collections.abc import Mapping
from typing import NamedTuple

from waxwingford.colocation._mechanisms import ALL, Mechanisms
from waxwingford.colocation._priors import (
    BAND_CENTRES,
    PAIR,
    PAIR_BAND,
    PRIORS,
    QUEUEING_BY_BAND,
    SERVER,
    SERVICE,
    SERVICE_BAND,
    Prior,
)
from waxwingford.ports import Resources

#: Noise of the logarithm of one measured percentile: (0.15) squared.
_SAMPLE_VARIANCE = 0.0225
#: One unit of batch use: four cores.
_UNIT_MILLI = 4000
_SMALLEST_MS = 0.001


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


def band_shares(load: float) -> tuple[tuple[int, float], ...]:
    """Share a load out to the bands next to it.

    :param load: share of busy slots, 0 to 1.
    :returns: band and weight; the weights add up to 1.
    """
    upper = bisect.bisect_right(BAND_CENTRES, load)
    if upper == 0:
        return ((0, 1),)
    if upper == len(BAND_CENTRES):
        return ((upper - 1, 1),)
    low = BAND_CENTRES[upper - 1]
    share = (load - low) / (BAND_CENTRES[upper] - low)
    return (upper - 1, 1 - share), (upper, share)


class _Levels(NamedTuple):
    """Estimates that one term is made of.

    :ivar general: counts in full.
    :ivar bands: one for each band of load; empty if bands are off.
    """

    general: _Estimate
    bands: tuple[_Estimate, ...]

    def weighted(
        self,
        shares: tuple[tuple[int, float], ...],
        units: float,
    ) -> list[tuple[_Estimate, float]]:
        """Weigh the estimates.

        :param shares: of the bands of load.
        :param units: how often the term counts.
        :returns: estimates with their weights.
        """
        weighted = [(self.general, units)]
        if self.bands:
            weighted += [
                (self.bands[band], share * units) for band, share in shares
            ]
        return weighted


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
        self._estimate_by_server: dict[str, _Estimate] = {}
        self._levels_by_service: dict[str, _Levels] = {}
        self._levels_by_pair: dict[tuple[str, str], _Levels] = {}

    def base(self, server_id: str, service: str, load: float) -> Term:
        """Predict a service without batch work beside it.

        :param server_id: where.
        :param service: which service.
        :param load: share of busy slots, 0 to 1.
        :returns: logarithm of its 99th percentile.
        """
        return _total(self._base_terms(server_id, service, band_shares(load)))

    def effect(self, service: str, kind: str, load: float) -> Term:
        """Predict what one unit of a batch kind adds to a service.

        :param service: which service.
        :param kind: batch kind.
        :param load: share of busy slots, 0 to 1.
        :returns: what it adds to the logarithm of the 99th percentile.
        """
        levels = self._levels_by_pair.get((service, kind))
        if levels is None:
            return Term(self._expected_effect(kind), PRIORS.effect_variance)
        return _total(levels.weighted(band_shares(load), 1))

    def pairs(self) -> dict[tuple[str, str], Term]:
        """Give what is known of each pair, for a store.

        :returns: effect of one unit, by service and kind.
        """
        return {
            pair: Term(levels.general.mean, levels.general.variance)
            for pair, levels in self._levels_by_pair.items()
        }

    def restore(self, term_by_pair: Mapping[tuple[str, str], Term]) -> None:
        """Go on from what was known of each pair.

        :param term_by_pair: as ``pairs`` gave it.
        """
        for (service, kind), term in term_by_pair.items():
            levels = self._pair(service, kind)
            levels.general.mean = term.mean
            levels.general.variance = term.variance

    def learn(self, setting: Setting, p99_ms: float, trust: float) -> None:
        """Learn from what was measured in a setting.

        :param setting: what ran together while it was measured.
        :param p99_ms: measured 99th percentile, in milliseconds.
        :param trust: above 0, up to 1 for a window without changes.
        """
        service = setting.service
        shares = band_shares(setting.load)
        terms = self._base_terms(setting.server_id, service, shares)
        for kind, units in setting.units_by_kind.items():
            terms.extend(self._pair(service, kind).weighted(shares, units))
        expected = _total(terms)
        surprise = math.log(max(p99_ms, _SMALLEST_MS)) - expected.mean
        scale = 1 / (expected.variance + _SAMPLE_VARIANCE / trust)
        for estimate, weight in terms:
            gain = estimate.variance * weight * scale
            estimate.mean += gain * surprise
            estimate.variance *= 1 - gain * weight
            estimate.variance += estimate.drift

    def _base_terms(
        self,
        server_id: str,
        service: str,
        shares: tuple[tuple[int, float], ...],
    ) -> list[tuple[_Estimate, float]]:
        levels = self._levels_by_service.get(service)
        if levels is None:
            levels = self._new_service(service)
            self._levels_by_service[service] = levels
        server = self._estimate_by_server.get(server_id)
        if server is None:
            server = _Estimate(*SERVER)
            self._estimate_by_server[server_id] = server
        terms = levels.weighted(shares, 1)
        terms.append((server, 1))
        return terms

    def _pair(self, service: str, kind: str) -> _Levels:
        levels = self._levels_by_pair.get((service, kind))
        if levels is None:
            levels = self._new_pair(kind)
            self._levels_by_pair[service, kind] = levels
        return levels

    def _new_service(self, service: str) -> _Levels:
        expected = self._expected_by_service.get(service, 0)
        priors = [SERVICE_BAND._replace(mean=mean) for mean in QUEUEING_BY_BAND]
        return _Levels(
            _Estimate(*SERVICE._replace(mean=expected)),
            self._new_bands(priors),
        )

    def _new_pair(self, kind: str) -> _Levels:
        bands = self._new_bands([PAIR_BAND for _ in BAND_CENTRES])
        prior = PAIR._replace(mean=self._expected_effect(kind))
        return _Levels(_Estimate(*prior), bands)

    def _expected_effect(self, kind: str) -> float:
        if not self._mechanisms.shrinkage:
            return PAIR.mean
        mean_by_pair = {
            pair: levels.general.mean
            for pair, levels in self._levels_by_pair.items()
        }
        alike = [mean for pair, mean in mean_by_pair.items() if pair[1] == kind]
        known = alike or list(mean_by_pair.values())
        return (PAIR.mean + sum(known)) / (1 + len(known))

    def _new_bands(self, priors: list[Prior]) -> tuple[_Estimate, ...]:
        if not self._mechanisms.bands:
            return ()
        return tuple(_Estimate(*prior) for prior in priors)


def _total(terms: list[tuple[_Estimate, float]]) -> Term:
    """Add estimates up.

    :param terms: estimates with their weights.
    :returns: the sum.
    """
    mean: float = 0
    variance: float = 0
    for estimate, weight in terms:
        mean += estimate.mean * weight
        variance += estimate.variance * weight * weight
    return Term(mean, variance)
