"""Counters, gauges and histograms of one daemon.

Histograms are HDR histograms in microseconds, so that the 99.9th percentile
keeps two significant digits from 1 us to 10 minutes.
"""

import collections
import itertools
from collections.abc import Iterator

from hdrh.histogram import HdrHistogram

_LOWEST_US = 1
_HIGHEST_US = 600_000_000
_SIGNIFICANT_DIGITS = 2
_US_IN_MS = 1000
_US_IN_S = 1_000_000
_QUANTILES = (0.5, 0.9, 0.99, 0.999)
_PERCENT = 100

Labels = tuple[tuple[str, str], ...]
Series = tuple[str, Labels]


def _series(name: str, labels: dict[str, str]) -> Series:
    return name, tuple(sorted(labels.items()))


def _label_text(labels: Labels) -> str:
    if not labels:
        return ''
    inner = ','.join(f'{key}="{text}"' for key, text in labels)
    return f'{{{inner}}}'


class Metrics:
    """All metrics of a daemon; used by one event loop only."""

    def __init__(self) -> None:
        """Start empty."""
        self._count_by_series: collections.Counter[Series] = (
            collections.Counter()
        )
        self._gauge_by_series: dict[Series, float] = {}
        self._histogram_by_series: dict[Series, HdrHistogram] = {}

    def count(self, name: str, by: int = 1, **labels: str) -> None:
        """Add to a counter.

        :param name: counter, ends in ``_total``.
        :param by: how much.
        :param labels: label values by name.
        """
        self._count_by_series[_series(name, labels)] += by

    def gauge(self, name: str, level: float, **labels: str) -> None:
        """Set a gauge.

        :param name: gauge with its unit.
        :param level: present level.
        :param labels: label values by name.
        """
        self._gauge_by_series[_series(name, labels)] = level

    def latency(self, name: str, elapsed_ms: float, **labels: str) -> None:
        """Record a latency.

        :param name: histogram, without unit; it is written in seconds.
        :param elapsed_ms: latency, in milliseconds.
        :param labels: label values by name.
        """
        series = _series(name, labels)
        histogram = self._histogram_by_series.get(series)
        if histogram is None:
            histogram = HdrHistogram(
                _LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS
            )
            self._histogram_by_series[series] = histogram
        elapsed_us = int(elapsed_ms * _US_IN_MS)
        histogram.record_value(max(_LOWEST_US, min(elapsed_us, _HIGHEST_US)))

    def render(self) -> str:
        """Write everything in the usual text format.

        :returns: lines ``name{labels} figure``.
        """
        return ''.join(
            f'{line}\n'
            for line in itertools.chain(
                self._simple_lines(), self._histogram_lines()
            )
        )

    def _simple_lines(self) -> Iterator[str]:
        simple = itertools.chain(
            self._count_by_series.items(), self._gauge_by_series.items()
        )
        for (name, labels), figure in sorted(simple):
            yield f'waxwingford_{name}{_label_text(labels)} {figure}'

    def _histogram_lines(self) -> Iterator[str]:
        ordered = sorted(
            self._histogram_by_series.items(), key=lambda pair: pair[0]
        )
        for (name, labels), histogram in ordered:
            full = f'waxwingford_{name}_seconds'
            for quantile in _QUANTILES:
                at_us = histogram.get_value_at_percentile(quantile * _PERCENT)
                text = _label_text((*labels, ('quantile', str(quantile))))
                yield f'{full}{text} {at_us / _US_IN_S}'
            count = histogram.get_total_count()
            yield f'{full}_count{_label_text(labels)} {count}'
