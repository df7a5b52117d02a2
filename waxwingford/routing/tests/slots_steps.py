"""Steps for slots of backend servers."""

import asyncio
import random

from behave import fixture, given, then, use_fixture, when

from waxwingford.routing import DispatchLimits, SlotTable
from waxwingford.routing.tests.fakes import FakeServer
from waxwingford.routing.tests.region import Region, held_server

_PAST_SLOW_START_MS = 10_000


@fixture
def region_fixture(context, servers_by_daemon, **options):
    region = Region(servers_by_daemon, **options)
    context.region = region
    yield region
    region.close()


def make_table(context, count, **fields):
    context.now_ms = 1
    context.servers = [
        FakeServer(f'server-{index}', **fields) for index in range(count)
    ]
    context.slot_table = SlotTable(random.Random(7))
    context.slot_table.set_servers(
        map(held_server, context.servers), context.now_ms
    )


def take_all(context):
    slots = []
    while True:
        server_id = context.slot_table.choose('dispatcher', context.now_ms)
        slot = server_id and context.slot_table.take(server_id, context.now_ms)
        if not slot:
            return slots
        slots.append(slot)


@given('a dispatcher that holds {count:d} servers of {slots:d} slots')
def dispatcher_with_servers(context, count, slots):
    servers = [FakeServer(f'server-{one}', slots=slots) for one in range(count)]
    use_fixture(
        region_fixture, context, {'centre-1': servers}, limits=DispatchLimits()
    )
    context.region.advance_ms(_PAST_SLOW_START_MS)


@given('both servers are suspended and overrun deadlines by {late_ms:d} ms')
def servers_suspended(context, late_ms):
    for server in context.region.server_by_id.values():
        server.suspended = True
        server.overrun_ms = late_ms


@when('{count:d} requests with a deadline of {deadline_ms:d} ms arrive at once')
def requests_at_once(context, count, deadline_ms):
    region = context.region
    tasks = [
        region.begin(
            'centre-1', region.request('centre-1', deadline_ms=deadline_ms)
        )
        for _ in range(count)
    ]
    region.loop.run_until_complete(asyncio.gather(*tasks))


@then('no server had more calls than slots or rejected one')
def slots_not_exceeded(context):
    servers = context.region.server_by_id.values()
    assert [one.peak_in_flight for one in servers] == [
        one.slots for one in servers
    ]
    assert not sum(one.rejected_calls for one in servers)


@then('after {wait_ms:d} ms all slots are free again')
def slots_free(context, wait_ms):
    context.region.advance_ms(wait_ms)
    free_slots = context.region.dispatcher_by_id['centre-1'].spare_by_service()
    assert free_slots == {'dispatcher': 6}, free_slots


@given(
    'a slot table with one server of {slots:d} slots'
    ' and {connections:d} connections'
)
def table_with_one(context, slots, connections):
    make_table(context, 1, slots=slots, connections=connections)
    context.now_ms += _PAST_SLOW_START_MS


@given('a slot table with {count:d} servers of {slots:d} slots')
def table_with_many(context, count, slots):
    make_table(context, count, slots=slots)
    context.now_ms += _PAST_SLOW_START_MS


@given(
    'a slot table with a server that is full and a new one of {slots:d} slots'
)
def table_with_new(context, slots):
    make_table(context, 1, slots=slots)
    assert len(take_all(context)) == slots
    context.servers.append(FakeServer('server-new', slots=slots))
    context.slot_table.set_servers(
        map(held_server, context.servers), context.now_ms
    )


@given('a slot table that gets {count:d} servers of {slots:d} slots at once')
def table_all_new(context, count, slots):
    make_table(context, count, slots=slots)


@then('{count:d} slots can be taken')
def can_take(context, count):
    taken = take_all(context)
    assert len(taken) == count, len(taken)


@then('after {wait_ms:d} ms {count:d} more slots can be taken')
def can_take_after(context, wait_ms, count):
    context.now_ms = 1 + wait_ms
    can_take(context, count)


@when('the server is leaving')
def server_leaves(context):
    context.servers[0].leaving = True
    context.slot_table.add_or_renew(
        held_server(context.servers[0]), context.now_ms
    )


@when('the lease of the chosen server expires before dispatch')
def lease_expires(context):
    server = context.servers[0]
    server.lease_until_ms = context.now_ms + 10
    context.slot_table.add_or_renew(held_server(server), context.now_ms)
    context.chosen = context.slot_table.choose('dispatcher', context.now_ms)
    context.now_ms += 10


@then('the call is not dispatched')
def not_dispatched(context):
    assert context.chosen == 'server-0'
    assert context.slot_table.take(context.chosen, context.now_ms) is None


@then('no server is chosen until the lease is renewed')
def not_chosen_until_renewed(context):
    assert context.slot_table.choose('dispatcher', context.now_ms) is None
    context.servers[0].lease_until_ms = context.now_ms + 10
    context.slot_table.add_or_renew(
        held_server(context.servers[0]), context.now_ms
    )
    assert context.slot_table.choose('dispatcher', context.now_ms) == 'server-0'


@when('every call to every server fails {times:d} times')
def calls_fail(context, times):
    for server in context.servers:
        for _ in range(times):
            slot = context.slot_table.take(server.server_id, context.now_ms)
            if slot is not None:
                context.slot_table.release(slot, context.now_ms)
                context.slot_table.record_failure(slot, context.now_ms)


@then('{count:d} servers are ejected')
def ejected_count(context, count):
    states = context.slot_table.state_by_server.values()
    context.ejected = {
        state.held.server_id for state in states if state.ejected_until_ms
    }
    assert len(context.ejected) == count, context.ejected
    assert len(take_all(context)) == 8 * (len(context.servers) - count)


@then('they return after the ejection with a slow start')
def return_with_slow_start(context):
    context.now_ms += 5000
    back = {slot.held.server_id for slot in take_all(context)}
    assert back == context.ejected, back
    context.now_ms += 5000
    assert len(take_all(context)) == 7 * len(context.ejected)


@when('{count:d} slots are taken and the lease is lost and acquired again')
def lease_lost_and_acquired(context, count):
    for _ in range(count):
        assert context.slot_table.take('server-0', context.now_ms)
    context.slot_table.set_servers((), context.now_ms)
    context.slot_table.set_servers(
        map(held_server, context.servers), context.now_ms
    )
    context.now_ms += _PAST_SLOW_START_MS
