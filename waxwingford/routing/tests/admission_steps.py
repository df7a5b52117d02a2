"""Steps for admission."""

import collections
import itertools
import random

from behave import given, then, when

from waxwingford.routing import (
    Admission,
    Admitted,
    ServiceLimits,
    Shed,
    Urgency,
)

_TARGET_MS = 50.0


def admission_for(context, most, members):
    context.rng = random.Random(5)
    context.admission = Admission(most, context.rng)
    context.most = most
    context.now_ms = 0
    context.admission.set_limits(
        {
            member: ServiceLimits(
                target_ms=_TARGET_MS,
                most_in_progress=most,
                weight_by_member={member: 1.0},
            )
            for member in members
        }
    )


def enter(context, member, urgency=Urgency.urgent):
    return context.admission.enter(member, member, urgency, context.now_ms)


def fill(context, member):
    """Let a member in until it is refused; returns what was admitted."""
    decisions = (enter(context, member) for _ in itertools.count())
    return list(itertools.takewhile(is_admitted, decisions))


def is_admitted(decision):
    return isinstance(decision, Admitted)


@given('admission of {most:d} requests for a service of member "{member}"')
def admission_of_one(context, most, member):
    admission_for(context, most, [member])


@given('admission of {most:d} requests for services of "{one}" and "{other}"')
def admission_of_two(context, most, one, other):
    admission_for(context, most, [one, other])


@when('{count:d} requests of mixed urgency come and none ends')
def mixed_requests(context, count):
    context.decisions = []
    for _ in range(count):
        urgency = context.rng.choice(list(Urgency))
        decision = enter(context, 'qadri', urgency)
        context.decisions.append((urgency, decision))


@then(
    'at most {low:d} background and {both:d} background or normal ones'
    ' are admitted'
)
def shed_in_order(context, low, both):
    admitted = collections.Counter(
        urgency
        for urgency, decision in context.decisions
        if isinstance(decision, Admitted)
    )
    background = admitted[Urgency.background]
    assert 0 < background <= low, admitted
    assert background + admitted[Urgency.normal] <= both, admitted


@then('{count:d} requests are admitted in all')
def admitted_in_all(context, count):
    assert context.admission.in_progress() == count


@then('an urgent request was shed only after all others were')
def urgent_last(context):
    kinds = [
        (urgency, isinstance(decision, Admitted))
        for urgency, decision in context.decisions
    ]
    first_shed = kinds.index((Urgency.urgent, False))
    later = kinds[first_shed:]
    assert not any(admitted for _, admitted in later)


@when('"{member}" keeps as many urgent requests in progress as it can')
def flood(context, member):
    context.borrowed = fill(context, member)


@then('"{member}" has more than its half of {half:d}')
def more_than_half(context, member, half):
    assert half < len(context.borrowed) < context.most, len(context.borrowed)


@then('"{member}" gets {count:d} requests in at once')
def gets_in(context, member, count):
    context.other = fill(context, member)
    assert len(context.other) >= count, len(context.other)


@then('"{member}" gets {count:d} requests in once borrowed ones have ended')
def gets_share(context, member, count):
    for ended in context.borrowed:
        # Who is next in line after each end: the flood tries first.
        context.admission.leave(ended, None, context.now_ms)
        enter(context, 'qadri')
        context.other.extend(fill(context, member))
    assert len(context.other) >= count, len(context.other)


@then('the last times to come back are longer than the first and differ')
def times_grow(context):
    times_ms = [
        decision.retry_after_ms
        for _, decision in context.decisions
        if isinstance(decision, Shed)
    ]
    first, last = times_ms[:20], times_ms[-20:]
    assert min(last) > max(first) / 2, (first, last)
    assert sum(last) > 2 * sum(first), (first, last)
    assert len(set(last)) > 10, last


@when('answers take {factor:d} times the target for {duration_ms:d} ms')
def slow_answers(context, factor, duration_ms):
    serve(context, factor * _TARGET_MS, duration_ms)


@when('answers are in time for {duration_ms:d} ms')
def quick_answers(context, duration_ms):
    serve(context, _TARGET_MS / 2, duration_ms)


def serve(context, latency_ms, duration_ms):
    """Keep the service as full as it may be."""
    for _ in range(0, duration_ms, 50):
        for admitted in fill(context, 'qadri'):
            context.admission.leave(admitted, latency_ms, context.now_ms)
        context.now_ms += 50


@then('the limit is below {bound:d}')
def limit_below(context, bound):
    assert len(fill_and_leave(context)) < bound, len(fill_and_leave(context))


@then('the limit is above {bound:d}')
def limit_above(context, bound):
    assert len(fill_and_leave(context)) > bound, len(fill_and_leave(context))


def fill_and_leave(context):
    admitted = fill(context, 'qadri')
    for one in admitted:
        context.admission.leave(one, None, context.now_ms)
    return admitted
