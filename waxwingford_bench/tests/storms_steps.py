"""Steps for faults of a whole failure domain."""

import collections

from behave import given, then, when

from waxwingford.batch import JobRefused
from waxwingford_bench.storms.domain import StormDomain
from waxwingford_bench.storms.pauses import Pauses

SEED = 3
WARM_MS = 60_000
STEADY_MS = 60_000
TICK_MS = 250


@given(
    'a metered failure domain with {servers:d} backend servers that takes jobs'
)
def metered_domain(context, servers):
    context.domain = StormDomain(SEED, servers, Pauses(SEED), TICK_MS)
    context.domain.run(WARM_MS + STEADY_MS)


@when('its log is away for {away_s:d} s and back for {back_s:d} s')
def log_is_away(context, away_s, back_s):
    domain = context.domain
    context.began_ms = domain.now_ms
    domain.network.log_down = True
    for _ in range(away_s):
        domain.run(1000)
    domain.network.log_down = False
    context.ended_ms = domain.now_ms
    for _ in range(back_s):
        domain.run(1000)


@then(
    'at most {most:d} of its 8 daemons retry reads in any 100 ms of the outage'
)
def reads_are_spread(context, most):
    meter = context.domain.meter
    fullest = meter.fullest_slot('read', context.began_ms, context.ended_ms)
    assert 0 < fullest <= most, fullest


@then("no 100 ms hold more than {most:d}% of a minute's requests for leases")
def lease_requests_are_spread(context, most):
    spread = context.domain.meter.worst_spread(
        'lease', context.began_ms, context.ended_ms
    )
    assert spread.retries and spread.share <= most / 100, spread


@then(
    'its message rate is within {most:d}% of steady for {span_s:d} s, '
    'within {after_s:d} s of its end'
)
def rate_is_steady(context, most, span_s, after_s):
    meter = context.domain.meter
    began_s, ended_s = context.began_ms // 1000, context.ended_ms // 1000
    steady = meter.rate(began_s - STEADY_MS // 1000, began_s)
    rates = [
        meter.rate(start_s, start_s + span_s)
        for start_s in range(ended_s, ended_s + after_s)
    ]
    assert any(abs(rate - steady) <= steady * most / 100 for rate in rates), (
        steady,
        rates,
    )


@then('all servers are held and the oracle saw nothing wrong')
def all_is_held(context):
    assert context.domain.not_held() == 0
    context.domain.check()


@when(
    '{count:d} submitters are refused in one moment with {least_ms:d} ms to wait'
)
def refused_at_once(context, count, least_ms):
    pauses = Pauses(SEED)
    refusal = JobRefused('the log is away', least_ms)
    context.waits_ms = [
        pauses.spread_reply(refusal).retry_after_ms for _ in range(count)
    ]


@then('no 100 ms hold more than {most:d}% of those who come back')
def come_back_spread(context, most):
    slots = collections.Counter(wait // 100 for wait in context.waits_ms)
    fullest = max(slots.values())
    assert fullest <= len(context.waits_ms) * most / 100, fullest


@then('nobody is told to come back before {least_ms:d} ms')
def nobody_too_early(context, least_ms):
    assert min(context.waits_ms) >= least_ms, min(context.waits_ms)
