"""Counters, gauges and latency histograms of one daemon.

Latencies are HDR histograms in microseconds, with two significant digits from
1 us to 10 minutes; values outside this range are clamped.
"""

import collections
import itertools
from collections.abc import Iterator

from hdrh.histogram import HdrHistogram

_MIN_LATENCY_US = 1
_MAX_LATENCY_US = 600_000_000
_SIGNIFICANT_DIGITS = 2
_US_PER_MS = 1000
_US_PER_S = 1_000_000
_QUANTILES = (0.5, 0.9, 0.99, 0.999)
_PERCENT = 100
#: Different latencies of a series that are collected before they are added to its
#: histogram, which takes much longer than counting them.
_MAX_COLLECTED = 200

Labels = tuple[tuple[str, str], ...]
Series = tuple[str, Labels]


def _make_series(name: str, labels: dict[str, str]) -> Series:
    pairs = labels.items()
    return name, tuple(sorted(pairs) if len(pairs) > 1 else pairs)


def _format_labels(labels: Labels) -> str:
    if not labels:
        return ''
    inner = ','.join(f'{key}="{text}"' for key, text in labels)
    return f'{{{inner}}}'


class Metrics:
    """Metrics of a daemon; not thread-safe."""

    def __init__(self) -> None:
        self._count_by_series: collections.Counter[Series] = (
            collections.Counter()
        )
        self._gauge_by_series: dict[Series, float] = {}
        self._histogram_by_series: dict[Series, HdrHistogram] = {}
        self._latencies_by_series: dict[Series, collections.Counter[int]] = {}

    def count(self, name: str, by: int = 1, **labels: str) -> None:
        """Increment a counter.

        :param name: name of the counter, ending in ``_total``.
        :param labels: label values by label name.
        """
        self._count_by_series[_make_series(name, labels)] += by

    def gauge(self, name: str, level: float, **labels: str) -> None:
        """Set a gauge.

        :param name: name of the gauge, including its unit.
        :param level: current value.
        :param labels: label values by label name.
        """
        self._gauge_by_series[_make_series(name, labels)] = level

    def remove_gauge(self, name: str, **labels: str) -> None:
        """Stop showing a gauge, if it is shown.

        :param labels: label values by label name.
        """
        self._gauge_by_series.pop(_make_series(name, labels), None)

    def latency(self, name: str, elapsed_ms: float, **labels: str) -> None:
        """Record a latency.

        :param name: name of the histogram without its unit; it is rendered in
            seconds.
        :param elapsed_ms: latency, in milliseconds.
        :param labels: label values by label name.
        """
        series = _make_series(name, labels)
        collected = self._latencies_by_series.get(series)
        if collected is None:
            collected = collections.Counter()
            self._latencies_by_series[series] = collected
        collected[int(elapsed_ms * _US_PER_MS)] += 1
        if len(collected) >= _MAX_COLLECTED:
            self._add_collected(series)

    def render(self) -> str:
        """Render all metrics in the Prometheus text format.

        :returns: one line ``name{labels} value`` for each sample.
        """
        return ''.join(
            f'{line}\n'
            for line in itertools.chain(
                self._scalar_lines(), self._histogram_lines()
            )
        )

    def _add_collected(self, series: Series) -> None:
        histogram = self._histogram_by_series.get(series)
        if histogram is None:
            histogram = HdrHistogram(
                _MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS
            )
            self._histogram_by_series[series] = histogram
        for elapsed_us, count in self._latencies_by_series.pop(series).items():
            bounded_us = max(_MIN_LATENCY_US, min(elapsed_us, _MAX_LATENCY_US))
            histogram.record_value(bounded_us, count)

    def _scalar_lines(self) -> Iterator[str]:
        scalars = itertools.chain(
            self._count_by_series.items(), self._gauge_by_series.items()
        )
        for (name, labels), value in sorted(scalars):
            yield f'waxwingford_{name}{_format_labels(labels)} {value}'

    def _histogram_lines(self) -> Iterator[str]:
        for series in tuple(self._latencies_by_series):
            self._add_collected(series)
        ordered = sorted(
            self._histogram_by_series.items(), key=lambda pair: pair[0]
        )
        for (name, labels), histogram in ordered:
            metric_name = f'waxwingford_{name}_seconds'
            for quantile in _QUANTILES:
                latency_us = histogram.get_value_at_percentile(
                    quantile * _PERCENT
                )
                text = _format_labels((*labels, ('quantile', str(quantile))))
                yield f'{metric_name}{text} {latency_us / _US_PER_S}'
            count = histogram.get_total_count()
            yield f'{metric_name}_count{_format_labels(labels)} {count}'
