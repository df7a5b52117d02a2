"""Steps for non-idempotent requests."""

import asyncio
import collections

from behave import given, then, use_fixture, when

from waxwingford.routing import DispatchLimits, Unknown
from waxwingford.routing.tests.fakes import FakeServer
from waxwingford.routing.tests.slots_steps import region_of


def begin_region(context, daemon_ids, limits):
    use_fixture(
        region_of,
        context,
        {one: [FakeServer(f'server-{one}')] for one in daemon_ids},
        limits=limits,
    )
    context.daemon_ids = daemon_ids
    context.requests = []
    context.outcomes = []


def attempt(context, daemon_id, **fields):
    region = context.region
    given = {'idempotent': False, 'key': 'k', **fields}
    request = region.request(daemon_id, **given)
    context.requests.append(request)
    task = region.begin(daemon_id, request)
    began_s = region.loop.time()
    context.outcomes.append(region.loop.run_until_complete(task))
    context.took_s = region.loop.time() - began_s


def kinds(context):
    return [type(outcome).__name__ for outcome in context.outcomes]


@given('a region of daemons "{names}" that have long been up')
def region_long_up(context, names):
    begin_region(context, names.split(', '), DispatchLimits())


@given('the key memory holds {count:d} keys of a member')
def small_memory(context, count):
    limits = DispatchLimits(max_keys_per_member=count)
    begin_region(context, context.daemon_ids, limits)


@given('every backend server loses its answers')
def answers_lost(context):
    for server in context.region.server_by_id.values():
        server.loses_answers = True


@given('every backend server answers {late_ms:d} ms late')
def answers_late(context, late_ms):
    for server in context.region.server_by_id.values():
        server.late_ms = late_ms


@when('key "{key}" is sent first to "{daemon_id}"')
def sent_first(context, key, daemon_id):
    attempt(context, daemon_id, key=key)


@when('first attempts of keys "{keys}" come to "{daemon_id}"')
def keys_sent_first(context, keys, daemon_id):
    for key in keys.split(', '):
        attempt(context, daemon_id, key=key)


@when('a first attempt of "{key}" with {time_ms:d} ms left comes to "{one}"')
def sent_first_deadline(context, key, time_ms, one):
    attempt(context, one, key=key, deadline_ms=time_ms)


@when('member "{member}" sends key "{key}" first to "{one}" with body "{body}"')
@then('member "{member}" sends key "{key}" first to "{one}" with body "{body}"')
def other_member_sends(context, member, key, one, body):
    attempt(context, one, key=key, member=member, body=body.encode())


@when('key "{key}" is retried at "{daemon_id}"')
def retried(context, key, daemon_id):
    attempt(context, daemon_id, key=key, attempt=2, age_ms=1000)


@when('a retry of "{key}" with an age of {age_ms:d} ms comes to "{one}"')
def retried_with_age(context, key, age_ms, one):
    attempt(context, one, key=key, attempt=2, age_ms=age_ms)


@when('a retry of "{key}" with body "{body}" comes to "{daemon_id}"')
def retried_with_body(context, key, body, daemon_id):
    attempt(context, daemon_id, key=key, attempt=2, body=body.encode())


@when('retries of "{key}" come to "{daemon_ids}" at once')
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


@when('daemon "{daemon_id}" is frozen for {duration_ms:d} ms')
def daemon_frozen(context, daemon_id, duration_ms):
    context.region.run_for_ms(duration_ms, frozen=daemon_id)


@when('daemon "{daemon_id}" stops')
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


@when('every backend server refuses connections for a while')
def servers_refuse(context):
    for server in context.region.server_by_id.values():
        server.refuses = True


@when('the backend servers are back')
def servers_back(context):
    for server in context.region.server_by_id.values():
        server.refuses = False


@then('the key did not run')
def key_did_not_run(context):
    assert not context.region.ran(), context.region.ran()


@then('the key ran once')
def key_ran_once(context):
    assert len(context.region.ran()) == 1, context.region.ran()


@then('one attempt is answered and the others are unknown')
def one_answered(context):
    counts = collections.Counter(kinds(context))
    assert counts == {'Answered': 1, 'Unknown': 2}, context.outcomes


@then('the unknown outcome came at once with a time to come back')
def unknown_at_once(context):
    outcome = context.outcomes[-1]
    assert isinstance(outcome, Unknown)
    assert outcome.retry_after_ms > 0
    assert context.took_s * 1000 < 10, context.took_s


@then('each answer is the body of its own request')
def own_bodies(context):
    pairs = zip(context.outcomes, context.requests, strict=True)
    assert all(outcome.body == request.body for outcome, request in pairs)


@then('the last attempt is answered')
def last_answered(context):
    assert kinds(context)[-1] == 'Answered', context.outcomes
