"""Steps on the metrics of a daemon."""

import random

from behave import then, when
from hdrh.histogram import HdrHistogram

from waxwingford.metrics import Metrics

US_PER_MS = 1000
US_PER_S = 1_000_000


@when(
    '{count:d} latencies of up to {longest_s:d} s are recorded, and rendered'
    ' after each {interval:d}th'
)
def record_latencies(context, count, longest_s, interval):
    metrics = Metrics()
    context.histogram = HdrHistogram(1, 600 * US_PER_S, 2)
    rng = random.Random(1)
    for number in range(1, count + 1):
        latency_ms = rng.choice((rng.random() * longest_s * 1000, -1, 7))
        metrics.latency('wait', latency_ms, kind='short')
        latency_us = max(1, int(latency_ms * US_PER_MS))
        context.histogram.record_value(latency_us)
        if not number % interval:
            metrics.render()
    context.rendered = metrics.render()


@then('the last text has the quantiles and the count of these latencies')
def latencies_rendered(context):
    labels = 'kind="short"'
    name = 'waxwingford_wait_seconds'
    expected = []
    for quantile in (0.5, 0.9, 0.99, 0.999):
        latency_us = context.histogram.get_value_at_percentile(quantile * 100)
        text = f'{{{labels},quantile="{quantile}"}}'
        expected.append(f'{name}{text} {latency_us / US_PER_S}')
    count = context.histogram.get_total_count()
    expected.append(f'{name}_count{{{labels}}} {count}')
    assert context.rendered.splitlines() == expected, context.rendered
