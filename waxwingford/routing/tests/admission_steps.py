"""Steps for admission control."""

import asyncio
import collections
import itertools
import random

from behave import given, then, use_fixture, when

from waxwingford.routing import (
    AdmissionController,
    Admitted,
    ServiceLimits,
    Shed,
    Urgency,
)
from waxwingford.routing.tests.fakes import FakeServer
from waxwingford.routing.tests.slots_steps import region_fixture

_TARGET_MS = 50.0


def create_admission(context, limit, members):
    context.rng = random.Random(5)
    context.admission = AdmissionController(limit, context.rng)
    context.limit = limit
    context.now_ms = 0
    context.admission.set_limits(
        {
            member: ServiceLimits(
                target_ms=_TARGET_MS,
                max_in_progress=limit,
                weight_by_member={member: 1.0},
            )
            for member in members
        }
    )


def admit(context, member, urgency=Urgency.urgent, free_slots=1000):
    return context.admission.admit(
        member, member, urgency, free_slots, context.now_ms
    )


def admit_until_shed(context, member):
    """Admit requests of a member until one is shed; returns the admitted."""
    decisions = (admit(context, member) for _ in itertools.count())
    return list(itertools.takewhile(is_admitted, decisions))


def is_admitted(decision):
    return isinstance(decision, Admitted)


@given('an admission limit of {limit:d} requests and a service of "{member}"')
def admission_of_one(context, limit, member):
    create_admission(context, limit, [member])


@given('an admission limit of {limit:d} and services of "{one}" and "{other}"')
def admission_of_two(context, limit, one, other):
    create_admission(context, limit, [one, other])


@when('{count:d} requests of mixed urgency arrive and none ends')
def mixed_requests(context, count):
    context.decisions = []
    for _ in range(count):
        urgency = context.rng.choice(list(Urgency))
        decision = admit(context, 'qadri', urgency)
        context.decisions.append((urgency, decision))


@when('{count:d} requests of each urgency arrive, least urgent first')
def least_urgent_first(context, count):
    context.decisions = [
        (urgency, admit(context, 'qadri', urgency))
        for urgency in sorted(Urgency)
        for _ in range(count)
    ]


@then('{low:d} background, {mid:d} normal and {top:d} urgent are admitted')
def shed_in_order(context, low, mid, top):
    admitted = collections.Counter(
        urgency
        for urgency, decision in context.decisions
        if is_admitted(decision)
    )
    assert admitted == {0: low, 1: mid, 2: top}, admitted


@then('{count:d} requests are admitted in total')
def admitted_in_all(context, count):
    assert context.admission.in_progress() == count


@when('"{member}" sends urgent requests until one is refused')
def fill_with_urgent(context, member):
    context.borrowed = admit_until_shed(context, member)


@then('"{member}" exceeds its fair share of {half:d}')
def more_than_half(context, member, half):
    assert half < len(context.borrowed) < context.limit, len(context.borrowed)


@then('at least {count:d} requests of "{member}" are admitted at once')
def admitted_immediately(context, member, count):
    context.other = admit_until_shed(context, member)
    assert len(context.other) >= count, len(context.other)


@then(
    'at least {count:d} requests of "{member}" are admitted'
    ' after borrowed ones end'
)
def admitted_after_borrowed(context, member, count):
    for ended in context.borrowed:
        # After each release the flooding member tries first.
        context.admission.release(ended)
        admit(context, 'qadri')
        context.other.extend(admit_until_shed(context, member))
    assert len(context.other) >= count, len(context.other)


@then('the last retry delays are longer than the first and differ')
def retry_delays_grow(context):
    times_ms = [
        decision.retry_after_ms
        for _, decision in context.decisions
        if isinstance(decision, Shed)
    ]
    first, last = times_ms[:20], times_ms[-20:]
    assert min(last) > max(first) / 2, (first, last)
    assert sum(last) > 2 * sum(first), (first, last)
    assert len(set(last)) > 10, last


@when('the CPU queueing delay is {wait_ms:d} ms for {time_ms:d} ms')
def waiting_requests(context, wait_ms, time_ms):
    for _ in range(0, time_ms, 20):
        context.admission.record_wait(wait_ms, context.now_ms)
        for admitted in admit_until_shed(context, 'qadri'):
            context.admission.record_wait(wait_ms, context.now_ms)
            context.admission.release(admitted)
        context.now_ms += 20


@then('fewer than {bound:d} requests are admitted')
def fewer_admitted(context, bound):
    count = len(admit_and_release_all(context))
    assert count < bound, count


@then('more than {bound:d} requests are admitted')
def more_admitted(context, bound):
    count = len(admit_and_release_all(context))
    assert count > bound, count


def admit_and_release_all(context):
    admitted = admit_until_shed(context, 'qadri')
    for one in admitted:
        context.admission.release(one)
    return admitted


@when('{count:d} urgent requests take {slots:d} free slots one by one')
def slots_taken(context, count, slots):
    context.refused_from = {}
    for taken in range(count):
        free_slots = slots - taken
        for urgency in Urgency:
            decision = admit(context, 'qadri', urgency, free_slots)
            if is_admitted(decision):
                context.admission.release(decision)
            else:
                context.refused_from.setdefault(urgency, free_slots)
        assert is_admitted(admit(context, 'qadri', Urgency.urgent, free_slots))


@then('background requests are refused the last slots first')
def background_first(context):
    expected = {Urgency.background: 6, Urgency.normal: 2}
    assert context.refused_from == expected, context.refused_from


@when('its latency is {latency_ms:d} ms with a target of {target_ms:d} ms')
def slow_servers(context, latency_ms, target_ms):
    for server in context.region.server_by_id.values():
        server.latency_ms = latency_ms
    limits = {'dispatcher': ServiceLimits(target_ms=target_ms)}
    context.region.dispatcher_by_id['centre-1'].set_limits(limits)


@then('{callers:d} callers that each send {count:d} requests are all answered')
def callers_answered(context, callers, count):
    region = context.region

    async def _call():
        return [
            await region.begin('centre-1', region.request('centre-1'))
            for _ in range(count)
        ]

    calls = [region.loop.create_task(_call()) for _ in range(callers)]
    outcomes = region.loop.run_until_complete(asyncio.gather(*calls))
    kinds = {type(one).__name__ for one in itertools.chain(*outcomes)}
    assert kinds == {'Answered'}, kinds


@when('{count:d} background requests arrive at "{daemon_id}" at once')
def background_burst(context, count, daemon_id):
    region = context.region
    region.advance_ms(10_000)
    region.refresh()
    region.refresh()
    tasks = [
        region.begin(
            daemon_id, region.request(daemon_id, urgency=Urgency.background)
        )
        for _ in range(count)
    ]
    outcomes = region.loop.run_until_complete(asyncio.gather(*tasks))
    context.outcomes = [type(one).__name__ for one in outcomes]


@then('{count:d} of the background requests are answered')
def burst_answered(context, count):
    assert context.outcomes.count('Answered') == count, context.outcomes


@given('daemons "{one}, {other}" that each hold a server of {slots:d} slots')
def two_daemons(context, one, other, slots):
    servers = {
        name: [FakeServer(f'server-{name}', slots=slots)]
        for name in (one, other)
    }
    use_fixture(region_fixture, context, servers)


@when('"{one}" and "{other}" alternately use the only slot of a service')
def use_in_turn(context, one, other):
    context.entered = collections.Counter()
    for _ in range(5):
        for member in (one, other):
            decision = context.admission.admit(
                'dispatcher', member, Urgency.urgent, 1, context.now_ms
            )
            if is_admitted(decision):
                context.entered[member] += 1
                context.admission.release(decision)


@then('each of them was admitted {count:d} times')
def admitted_times(context, count):
    counts = set(context.entered.values())
    assert counts == {count}, context.entered
