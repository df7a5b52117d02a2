"""Steps for at-most-once execution."""

import asyncio
import collections

from behave import given, then, use_fixture, when

from waxwingford.routing import DispatchLimits, Unknown
from waxwingford.routing.tests.fakes import FakeServer
from waxwingford.routing.tests.slots_steps import region_fixture


def create_region(context, daemon_ids, limits):
    use_fixture(
        region_fixture,
        context,
        {one: [FakeServer(f'server-{one}')] for one in daemon_ids},
        limits=limits,
    )
    context.daemon_ids = daemon_ids
    context.requests = []
    context.outcomes = []


def send_attempt(context, daemon_id, **fields):
    region = context.region
    given = {'idempotent': False, 'key': 'k', **fields}
    request = region.request(daemon_id, **given)
    context.requests.append(request)
    task = region.begin(daemon_id, request)
    began_s = region.loop.time()
    context.outcomes.append(region.loop.run_until_complete(task))
    context.elapsed_s = region.loop.time() - began_s


def kinds(context):
    return [type(outcome).__name__ for outcome in context.outcomes]


@given('a region of daemons "{names}" past their startup period')
def region_long_up(context, names):
    create_region(context, names.split(', '), DispatchLimits())


@given('the key store holds at most {count:d} keys per member')
def small_key_store(context, count):
    limits = DispatchLimits(max_keys_per_member=count)
    create_region(context, context.daemon_ids, limits)


@given('the answers of all backend servers are lost')
def answers_lost(context):
    for server in context.region.server_by_id.values():
        server.loses_answers = True


@given('all backend servers delay their answers by {late_ms:d} ms')
def answers_late(context, late_ms):
    for server in context.region.server_by_id.values():
        server.late_ms = late_ms


@when('the first attempt of key "{key}" arrives at "{daemon_id}"')
def sent_first(context, key, daemon_id):
    send_attempt(context, daemon_id, key=key)


@when('first attempts of keys "{keys}" arrive at "{daemon_id}"')
def keys_sent_first(context, keys, daemon_id):
    for key in keys.split(', '):
        send_attempt(context, daemon_id, key=key)


@when('a first attempt of "{key}" with {time_ms:d} ms left arrives at "{one}"')
def sent_first_deadline(context, key, time_ms, one):
    send_attempt(context, one, key=key, deadline_ms=time_ms)


@when('member "{member}" sends key "{key}" with body "{body}" to "{one}"')
@then('member "{member}" sends key "{key}" with body "{body}" to "{one}"')
def other_member_sends(context, member, key, one, body):
    send_attempt(context, one, key=key, member=member, body=body.encode())


@when('key "{key}" is retried at "{daemon_id}"')
def retried(context, key, daemon_id):
    send_attempt(context, daemon_id, key=key, attempt=2, age_ms=1000)


@when('a retry of "{key}" with an age of {age_ms:d} ms arrives at "{one}"')
def retried_with_age(context, key, age_ms, one):
    send_attempt(context, one, key=key, attempt=2, age_ms=age_ms)


@when('a retry of "{key}" with body "{body}" arrives at "{daemon_id}"')
def retried_with_body(context, key, body, daemon_id):
    send_attempt(context, daemon_id, key=key, attempt=2, body=body.encode())


@when('retries of "{key}" arrive at "{daemon_ids}" at once')
def retried_at_once(context, key, daemon_ids):
    region = context.region
    tasks = [
        region.begin(
            one,
            region.request(
                one, idempotent=False, key=key, attempt=2, age_ms=1000
            ),
        )
        for one in daemon_ids.split(', ')
    ]
    context.outcomes = region.loop.run_until_complete(asyncio.gather(*tasks))


@when('daemon "{daemon_id}" is restarted')
def restarted(context, daemon_id):
    context.region.kill(daemon_id)
    context.region.start(daemon_id)
    context.region.refresh()


@when('daemon "{daemon_id}" is suspended for {duration_ms:d} ms')
def daemon_suspended(context, daemon_id, duration_ms):
    context.region.run_for_ms(duration_ms, suspended=daemon_id)


@when('daemon "{daemon_id}" drains')
def daemon_stops(context, daemon_id):
    drained = context.region.dispatcher_by_id[daemon_id].drain(100)
    context.region.loop.run_until_complete(drained)


@when('the region runs for {duration_ms:d} ms')
def time_passes(context, duration_ms):
    context.region.run_for_ms(duration_ms)


@when('the link between "{one}" and "{other}" is cut')
def link_cut(context, one, other):
    context.region.cut_links |= {(one, other), (other, one)}


@then('the outcomes of the attempts are "{expected}"')
def outcomes_of_attempts(context, expected):
    assert kinds(context) == expected.split(', '), context.outcomes


@when('all backend servers refuse connections')
def servers_refuse(context):
    for server in context.region.server_by_id.values():
        server.refuses_calls = True


@when('all backend servers accept connections again')
def servers_accept(context):
    for server in context.region.server_by_id.values():
        server.refuses_calls = False


@then('the request was not executed')
def not_executed(context):
    assert not context.region.executed_ids(), context.region.executed_ids()


@then('the request was executed once')
def executed_once(context):
    assert len(context.region.executed_ids()) == 1, (
        context.region.executed_ids()
    )


@then('one attempt is answered and the others are unknown')
def one_answered(context):
    counts = collections.Counter(kinds(context))
    assert counts == {'Answered': 1, 'Unknown': 2}, context.outcomes


@then('the unknown outcome was returned at once with a retry delay')
def unknown_at_once(context):
    outcome = context.outcomes[-1]
    assert isinstance(outcome, Unknown)
    assert outcome.retry_after_ms > 0
    assert context.elapsed_s * 1000 < 10, context.elapsed_s


@then('each answer contains the body of its request')
def own_bodies(context):
    pairs = zip(context.outcomes, context.requests, strict=True)
    assert all(outcome.body == request.body for outcome, request in pairs)


@then('the last attempt is answered')
def last_answered(context):
    assert kinds(context)[-1] == 'Answered', context.outcomes
