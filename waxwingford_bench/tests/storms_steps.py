"""Steps for faults of a whole failure domain in virtual time."""

import collections

from behave import given, then, when

from waxwingford.batch import JobRefused
from waxwingford_bench.storms.domain import StormDomain
from waxwingford_bench.storms.pauses import Pauses

SEED = 3
WARM_UP_MS = 60_000
STEADY_MS = 60_000
TICK_MS = 250


@given('a metered failure domain of 8 daemons and {servers:d} backend servers')
def metered_domain(context, servers):
    context.domain = StormDomain(SEED, servers, Pauses(SEED), TICK_MS)
    context.domain.run(WARM_UP_MS + STEADY_MS)


@when(
    'its log is unavailable for {outage_s:d} s and available for {recovery_s:d} s'
)
def run_log_outage(context, outage_s, recovery_s):
    domain = context.domain
    context.outage_start_ms = domain.now_ms
    domain.network.log_down = True
    for _ in range(outage_s):
        domain.run(1000)
    domain.network.log_down = False
    context.outage_end_ms = domain.now_ms
    for _ in range(recovery_s):
        domain.run(1000)


@then('at most {most:d} daemons retry reads in any 100 ms of the outage')
def reads_are_spread(context, most):
    meter = context.domain.meter
    fullest = meter.max_retries_in_slot(
        'read', context.outage_start_ms, context.outage_end_ms
    )
    assert 0 < fullest <= most, fullest


@then(
    "no 100 ms contain more than {most:d}% of a minute's lease acquisition requests"
)
def lease_requests_are_spread(context, most):
    spread = context.domain.meter.worst_spread(
        'lease', context.outage_start_ms, context.outage_end_ms
    )
    assert spread.retries and spread.share <= most / 100, spread


@then(
    'the message rate is within {most:d}% of steady state over {span_s:d} s, '
    'at most {recovery_s:d} s after the outage'
)
def message_rate_recovers(context, most, span_s, recovery_s):
    meter = context.domain.meter
    outage_start_s, outage_end_s = (
        context.outage_start_ms // 1000,
        context.outage_end_ms // 1000,
    )
    steady = meter.rate(outage_start_s - STEADY_MS // 1000, outage_start_s)
    rates = [
        meter.rate(start_s, start_s + span_s)
        for start_s in range(outage_end_s, outage_end_s + recovery_s)
    ]
    assert any(abs(rate - steady) <= steady * most / 100 for rate in rates), (
        steady,
        rates,
    )


@then('all servers are leased and the oracle found no violation')
def all_servers_are_leased(context):
    assert context.domain.unleased_servers() == 0
    context.domain.check()


@when(
    '{count:d} submitters are refused at once with a delay of {least_ms:d} ms'
)
def refuse_submitters(context, count, least_ms):
    pauses = Pauses(SEED)
    refusal = JobRefused('the log is away', least_ms)
    context.waits_ms = [
        pauses.add_reply_jitter(refusal).retry_after_ms for _ in range(count)
    ]


@then('no 100 ms contain more than {most:d}% of the retried submissions')
def submission_retries_are_spread(context, most):
    slots = collections.Counter(wait // 100 for wait in context.waits_ms)
    fullest = max(slots.values())
    assert fullest <= len(context.waits_ms) * most / 100, fullest


@then('no submitter is told to retry before {least_ms:d} ms')
def no_retry_before_delay(context, least_ms):
    assert min(context.waits_ms) >= least_ms, min(context.waits_ms)
