"""Steps for control leases, rankings and acquisition schedules."""

import collections

from behave import given, then, when

from waxwingford.ownership import (
    AcquisitionDelays,
    AcquisitionSchedule,
    ControlLease,
    shared_out,
)
from waxwingford.ports import ControlGranted


@given('a control lease of {lease_ms:d} ms with a margin of {margin_ms:d} ms')
def control_lease(context, lease_ms, margin_ms):
    context.lease = ControlLease(margin_ms)
    context.lease_ms = lease_ms


@when(
    'it is requested and granted with epoch {epoch:d}, sent at {sent_ms:d}, '
    'read at {now_ms:d}'
)
def requested_and_granted(context, epoch, sent_ms, now_ms):
    context.lease.record_request()
    granted(context, epoch, sent_ms, now_ms)


@when(
    'it is granted with epoch {epoch:d}, sent at {sent_ms:d}, '
    'read at {now_ms:d}'
)
def granted(context, epoch, sent_ms, now_ms):
    answer = ControlGranted(epoch, 'boot', False, (), stamp_ms=77)
    context.lease.record_grant(sent_ms, now_ms, context.lease_ms, answer)


@when('the holder checks for expiry at {now_ms:d}')
def checks_expiry(context, now_ms):
    assert context.lease.expire_if_due(now_ms)


@when('the outcome of a start command is unknown')
def start_outcome_unknown(context):
    context.lease.needs_new_epoch = True


@when('it is handed over')
def handed_over(context):
    context.lease.start_handover()


@when('it is denied')
def denied(context):
    context.lease.record_denial()


@then('it is held at {now_ms:d}')
def is_held_at(context, now_ms):
    assert context.lease.is_valid(now_ms)


@then('it is not held at {now_ms:d}')
def is_not_held(context, now_ms):
    assert not context.lease.is_valid(now_ms)


@then('it may send commands at {now_ms:d}')
def may_command(context, now_ms):
    assert context.lease.may_command(now_ms)


@then('it may not send commands at {now_ms:d}')
def may_not_command(context, now_ms):
    assert not context.lease.may_command(now_ms)


@then('its state is "{state}"')
def state_is(context, state):
    assert context.lease.state == state, context.lease.state


@then(
    'a request until {until:d} is valid for {validity_ms:d} ms after stamp {stamp:d}'
)
def request_is_valid_for(context, until, validity_ms, stamp):
    assert context.lease.good_for(until) == (stamp, validity_ms)


@when('{servers:d} servers are ranked for {daemons:d} daemons')
def rank_servers(context, servers, daemons):
    context.servers = [f's{number}' for number in range(servers)]
    context.daemons = [f'gulberg-{number}' for number in range(daemons)]
    context.orders = shared_out(context.daemons, context.servers)


@then('each daemon is the first choice for {share:d} servers')
def fair_share(context, share):
    firsts = collections.Counter(order[0] for order in context.orders.values())
    assert set(firsts.values()) == {share}, firsts
    assert len(firsts) == len(context.daemons)


@then('the ranking does not depend on the order of its inputs')
def ranking_ignores_input_order(context):
    again = shared_out(reversed(context.daemons), reversed(context.servers))
    assert again == context.orders


@given('a holder that was the first choice')
def first_choice(context):
    context.preference = AcquisitionSchedule(AcquisitionDelays(), 0, 0)
    context.now_ms = 1000


@when('it is second choice for {span_ms:d} ms and then first choice again')
def second_then_first(context, span_ms):
    second_for(context, span_ms)
    context.keeps = not context.preference.should_hand_over(context.now_ms)
    context.preference.update(0, context.now_ms)


@when('it is second choice for {span_ms:d} ms')
def second_for(context, span_ms):
    context.preference.update(1, context.now_ms)
    context.now_ms += span_ms


@then('it keeps the lease')
def keeps(context):
    assert context.keeps
    assert not context.preference.should_hand_over(context.now_ms)


@then('it hands the lease over')
def hands_over(context):
    assert context.preference.should_hand_over(context.now_ms)


@given('a daemon that is third choice from time 0')
def third_choice(context):
    context.preference = AcquisitionSchedule(AcquisitionDelays(), 2, 0)


@then('it tries at {now_ms:d}')
def tries_at(context, now_ms):
    assert context.preference.next_try_ms() == now_ms


@when('it gets the lease at {now_ms:d}')
def gets_lease(context, now_ms):
    context.preference.record_request()
    context.preference.record_grant(now_ms)


@then('it keeps the lease at {now_ms:d}')
def keeps_at(context, now_ms):
    assert not context.preference.should_hand_over(now_ms)


@when('it learns at {now_ms:d} that the lease was released')
def learns_of_release(context, now_ms):
    context.preference.record_release(now_ms)


@given('a daemon that requests a lease as the first choice')
def requests_as_first(context):
    context.preference = AcquisitionSchedule(AcquisitionDelays(), 0, 0)
    context.preference.record_request()


@when('it is second choice before the lease is granted at {now_ms:d}')
def second_before_grant(context, now_ms):
    context.preference.update(1, now_ms - 1)
    context.preference.record_grant(now_ms)
    context.now_ms = now_ms + AcquisitionDelays().handover_delay_ms
