"""Steps for outcomes of requests."""

import asyncio

from behave import given, then, use_fixture, when

from waxwingford.routing import Answered, Drained, PeerView, Refused, Unknown
from waxwingford.routing.tests.fakes import FakeServer, sleep_ms
from waxwingford.routing.tests.slots_steps import region_of


def break_servers(context, fault):
    """Bring a fault about; returns changes to the request."""
    servers = context.region.server_by_id.values()
    for server in servers:
        match fault:
            case 'every server is full':
                server.in_flight = server.slots
            case 'every server refuses connections':
                server.refuses = True
            case 'every answer is lost':
                server.loses_answers = True
            case 'every server is frozen':
                server.frozen = True
            case 'every server mixes answers up':
                server.foreign = True
            case 'the port of servers has a fault':
                server.faulty = True
    return {'deadline_ms': 0} if fault == 'its deadline has passed' else {}


def send_many(context, count):
    region = context.region
    context.pairs = getattr(context, 'pairs', [])
    for index in range(count):
        body = str(index).encode()
        outcome = region.call('centre-1', body=body, deadline_ms=50)
        context.pairs.append((body, outcome))


@when('a request that is not idempotent is sent while {fault}')
def faulty_request(context, fault):
    fields = break_servers(context, fault)
    context.outcome = context.region.call(
        'centre-1', idempotent=False, **fields
    )


@then('its outcome is "{expected}" and it ran {count:d} times')
def outcome_and_count(context, expected, count):
    assert type(context.outcome).__name__ == expected, context.outcome
    assert len(context.region.ran()) == count, context.region.ran()
    assert context.outcome.retry_after_ms > 0


@when('the first server mixes answers up and the second is in order')
def first_mixes_up(context):
    context.region.server_by_id['server-0'].foreign = True


@when('{count:d} idempotent requests are sent one after another')
def requests_in_order(context, count):
    send_many(context, count)


@then('each answered request has its own body')
def each_own_body(context):
    answered = [
        (body, outcome.body)
        for body, outcome in context.pairs
        if isinstance(outcome, Answered)
    ]
    context.answered = len(answered)
    assert answered
    assert all(sent == received for sent, received in answered)


@then('dropped answers are counted as "{name}"')
def dropped_counted(context, name):
    assert context.region.metric_total('centre-1', name) > 0


@when('every server answers {late_ms:d} ms after the deadline')
def late_answers(context, late_ms):
    for server in context.region.server_by_id.values():
        server.foreign = False
        server.frozen = False
        server.late_ms = late_ms


@when('the late answers have come')
def late_came(context):
    context.region.advance_ms(1000)


@then('no more requests were answered')
def no_more_answered(context):
    kinds = [type(outcome) for _, outcome in context.pairs]
    assert kinds.count(Answered) == context.answered
    assert kinds[-3:] == [Unknown, Unknown, Unknown], kinds


@when('every answer is lost from now on')
def all_lost(context):
    break_servers(context, 'every answer is lost')


@then('at most {max_count:d} more requests ran than were sent')
def bounded_retries(context, max_count):
    sent = len(context.pairs)
    retries = len(context.region.ran()) - sent
    assert 0 < retries <= max_count, retries


@when('{count:d} requests are in progress and the dispatcher drains')
def drain_begins(context, count):
    region = context.region
    context.tasks = [
        region.begin('centre-1', region.request('centre-1'))
        for _ in range(count)
    ]
    region.advance_ms(1)
    dispatcher = region.dispatcher_by_id['centre-1']
    context.draining = region.loop.create_task(dispatcher.drain(5000))
    region.advance_ms(1)


@when('another request comes')
def another_request(context):
    assert not context.draining.done()
    context.outcome = context.region.call('centre-1')


@then('the requests in progress are answered and the other one is refused')
def drained_answers(context):
    gathered = asyncio.gather(*context.tasks)
    outcomes = context.region.loop.run_until_complete(gathered)
    assert all(isinstance(one, Answered) for one in outcomes), outcomes
    assert isinstance(context.outcome, Refused), context.outcome


@then('the drain says that nothing is left')
def drain_ends(context):
    ended = context.region.loop.run_until_complete(context.draining)
    assert ended == Drained()


@given('daemons "a, b, c" of which only "c" holds a server')
def only_c_holds(context):
    servers = {'a': [], 'b': [], 'c': [FakeServer('server-c')]}
    use_fixture(region_of, context, servers)


@when('a request is sent to "a" and "b" claims to have room')
def sent_past_b(context):
    region = context.region
    region.refresh()
    stale = PeerView('b', 'centre', True, {'dispatcher': 9}, {}, 1.0)
    region.dispatcher_by_id['a'].set_peers((stale,))
    context.outcome = region.call('a')


@then('"b" refused it and "c" never saw it')
def refused_at_b(context):
    region = context.region
    assert isinstance(context.outcome, Refused), context.outcome
    served = [
        region.metric_total(one, 'requests_total') for one in ('a', 'b', 'c')
    ]
    assert served == [1, 1, 0], served


@then('the next request of "{one}" is answered through "{other}"')
def forwarded_next(context, one, other):
    region = context.region
    region.refresh()
    assert isinstance(region.call(one), Answered)
    assert region.metric_total(other, 'requests_total') == 1


@when('{count:d} callers go away while their requests run')
def callers_go_away(context, count):
    region = context.region
    tasks = [
        region.begin('centre-1', region.request('centre-1'))
        for _ in range(count)
    ]
    region.advance_ms(1)
    for task in tasks:
        task.cancel()
    region.advance_ms(1)


@then('no slot is free until the requests have ended')
def slots_still_taken(context):
    region = context.region
    dispatcher = region.dispatcher_by_id['centre-1']
    assert dispatcher.spare_by_service() == {'dispatcher': 0}
    region.loop.run_until_complete(sleep_ms(20))
    assert dispatcher.spare_by_service() == {'dispatcher': 3}
