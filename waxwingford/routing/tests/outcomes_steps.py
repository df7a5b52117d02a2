"""Steps for outcomes of requests."""

import asyncio

from behave import given, then, use_fixture, when

from waxwingford.routing import Answered, Drained, PeerView, Refused, Unknown
from waxwingford.routing.tests.fakes import FakeServer, sleep_ms
from waxwingford.routing.tests.slots_steps import region_fixture


def break_servers(context, fault):
    """Inject a fault; returns fields to override in the request."""
    servers = context.region.server_by_id.values()
    for server in servers:
        match fault:
            case 'every server is full':
                server.in_flight = server.slots
            case 'every server refuses connections':
                server.refuses_calls = True
            case 'every answer is lost':
                server.loses_answers = True
            case 'every server is suspended':
                server.suspended = True
            case 'every server returns a wrong request id':
                server.wrong_request_id = True
            case 'the server client raises an exception':
                server.raises = True
    return {'deadline_ms': 0} if fault == 'its deadline has passed' else {}


def send_many(context, count):
    region = context.region
    context.pairs = getattr(context, 'pairs', [])
    for index in range(count):
        body = str(index).encode()
        outcome = region.call('centre-1', body=body, deadline_ms=50)
        context.pairs.append((body, outcome))


@when('a non-idempotent request is sent while {fault}')
def faulty_request(context, fault):
    fields = break_servers(context, fault)
    context.outcome = context.region.call(
        'centre-1', idempotent=False, **fields
    )


@then('its outcome is "{expected}" and it was executed {count:d} times')
def outcome_and_count(context, expected, count):
    assert type(context.outcome).__name__ == expected, context.outcome
    assert len(context.region.executed_ids()) == count, (
        context.region.executed_ids()
    )
    assert context.outcome.retry_after_ms > 0


@when('only the first of two servers returns a wrong request id')
def first_returns_wrong_id(context):
    context.region.server_by_id['server-0'].wrong_request_id = True


@when('{count:d} idempotent requests are sent sequentially')
def requests_in_order(context, count):
    send_many(context, count)


@then('each answered request received its own body')
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
        server.wrong_request_id = False
        server.suspended = False
        server.late_ms = late_ms


@when('the late answers have arrived')
def late_arrived(context):
    context.region.advance_ms(1000)


@then('no more requests were answered')
def no_more_answered(context):
    kinds = [type(outcome) for _, outcome in context.pairs]
    assert kinds.count(Answered) == context.answered
    assert kinds[-3:] == [Unknown, Unknown, Unknown], kinds


@when('every answer is lost from now on')
def lose_all_answers(context):
    break_servers(context, 'every answer is lost')


@then('at most {max_count:d} retries were executed')
def bounded_retries(context, max_count):
    sent = len(context.pairs)
    retries = len(context.region.executed_ids()) - sent
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


@when('another request arrives during the drain')
def another_request(context):
    assert not context.draining.done()
    context.outcome = context.region.call('centre-1')


@then('the requests in progress are answered and the other one is refused')
def drained_answers(context):
    gathered = asyncio.gather(*context.tasks)
    outcomes = context.region.loop.run_until_complete(gathered)
    assert all(isinstance(one, Answered) for one in outcomes), outcomes
    assert isinstance(context.outcome, Refused), context.outcome


@then('the drain completes')
def drain_completes(context):
    ended = context.region.loop.run_until_complete(context.draining)
    assert ended == Drained()


@given('daemons "a, b, c" of which only "c" holds a server')
def only_c_holds(context):
    servers = {'a': [], 'b': [], 'c': [FakeServer('server-c')]}
    use_fixture(region_fixture, context, servers)


@when('a request is sent to "a" while "b" appears to have free slots')
def forwarded_to_full_peer(context):
    region = context.region
    region.refresh()
    stale = PeerView('b', 'centre', True, {'dispatcher': 9}, {}, 1.0)
    region.dispatcher_by_id['a'].set_peers((stale,))
    context.outcome = region.call('a')


@then('"b" refused the request and "c" did not receive it')
def refused_at_b(context):
    region = context.region
    assert isinstance(context.outcome, Refused), context.outcome
    served = [
        region.metric_total(one, 'requests_total') for one in ('a', 'b', 'c')
    ]
    assert served == [1, 1, 0], served


@then('the next request to "{one}" is forwarded to "{other}"')
def forwarded_next(context, one, other):
    region = context.region
    region.refresh()
    assert isinstance(region.call(one), Answered)
    assert region.metric_total(other, 'requests_total') == 1


@when('{count:d} callers disconnect while their requests run')
def callers_disconnect(context, count):
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
