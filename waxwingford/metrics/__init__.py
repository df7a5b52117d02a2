"""Counters, gauges and latency histograms in the Prometheus text format."""

from waxwingford.metrics._metrics import Metrics

__all__ = ('Metrics',)
