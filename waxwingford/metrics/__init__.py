"""Counters and latency histograms, read over HTTP in text form."""

from waxwingford.metrics._metrics import Metrics

__all__ = ('Metrics',)
