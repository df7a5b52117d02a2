"""Latency percentiles of a run by caller and outcome."""

from collections.abc import Iterable
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from waxwingford_standins.load import Call

_US_PER_MS = 1000
_MAX_LATENCY_US = 120_000_000
_SIGNIFICANT_DIGITS = 3
_PERCENTILES = (50, 99, 99.9)


class LatencyRow(NamedTuple):
    """Latency percentiles of one caller and outcome.

    :ivar caller: name of the caller plan.
    :ivar count: number of calls.
    :ivar p50_ms: median, in milliseconds.
    :ivar p99_ms: 99th percentile, in milliseconds.
    :ivar p999_ms: 99.9th percentile, in milliseconds.
    """

    caller: str
    outcome: str
    count: int
    p50_ms: float
    p99_ms: float
    p999_ms: float


def latency_rows(calls: Iterable[Call]) -> list[LatencyRow]:
    """Compute latency percentiles by caller and outcome.

    :returns: rows sorted by caller and outcome.
    """
    histograms: dict[tuple[str, str], HdrHistogram] = {}
    for call in calls:
        histogram = histograms.setdefault(
            (call.caller, call.outcome.value),
            HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS),
        )
        histogram.record_value(max(int(call.latency_ms * _US_PER_MS), 1))
    return [
        LatencyRow(
            caller,
            outcome,
            histogram.get_total_count(),
            *(
                histogram.get_value_at_percentile(percentile) / _US_PER_MS
                for percentile in _PERCENTILES
            ),
        )
        for (caller, outcome), histogram in sorted(histograms.items())
    ]
