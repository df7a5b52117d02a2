"""Steps for refusals for lack of room on the servers."""

import asyncio

import msgspec
from behave import given, then, when

from waxwingford.scheduling import Terms
from waxwingford.shard import NotStored, Stored
from waxwingford.shard._journal import (
    OwnerRecord,
    decode_owner,
    encode_owner,
)
from waxwingford.shard._load_report import LoadReport
from waxwingford.shard._store_view import StoreView
from waxwingford.shard.tests.virtual_shard import QUEUE, step

SERVICE = QUEUE.service
BATCH = QUEUE._replace(name='batch', priority=2)
TERMS = Terms(2, {QUEUE.name: QUEUE, BATCH.name: BATCH})


class FormerRecord(msgspec.Struct, omit_defaults=True):
    """Record of an owner as versions without times for services read it."""

    daemon_id: str
    epoch: int
    endpoint: str
    best_effort_retry_s: int = 0


class UnreadableView(StoreView):
    """View of a store that can't be read."""

    async def is_stored(self, job_id):
        await asyncio.sleep(0)


def new_spec(context, queue):
    steps = (step(1, best_effort=True),)
    spec = context.shard.new_spec(steps)
    return msgspec.structs.replace(spec, queue=queue.name, terms=queue)


def submit_to(context, daemon, spec):
    deadline_s = context.shard.loop.time() + 3
    return context.shard.run_until(daemon.frontend.submit(spec, deadline_s))


@given('a best-effort job was accepted')
def accept_one(context):
    context.shard.run(2)
    context.spec = new_spec(context, BATCH)
    daemon = context.shard.daemons[1]
    assert submit_to(context, daemon, context.spec) == Stored()


@when('the owner has no room for best-effort jobs for {span_s:d} s')
def lack_room(context, span_s):
    shard = context.shard
    shard.run(2)
    for daemon in shard.daemons:
        daemon.member.configure(TERMS)
    owner = shard.owners[0].member.owner
    owner._engine.admission.retry_s_by_service = {SERVICE: span_s}
    shard.run(1)


@when('the owner is lost for {span_s:g} s')
def lose_owner(context, span_s):
    shard = context.shard
    shard.call(shard.owners[0].kill)
    shard.run(span_s)


@when("a daemon that stands by can't read the intake")
def lose_reads(context):
    shard = context.shard
    context.standby = next(one for one in shard.daemons if not one.owns)

    context.standby.frontend._view = UnreadableView(context.standby.log)


@then('each daemon answers that the accepted job is stored')
def check_stored(context):
    for daemon in context.shard.daemons:
        assert submit_to(context, daemon, context.spec) == Stored()


@then(
    'each daemon refuses a new best-effort job for {least:d} to {most:d} s, as'
    ' there is no room'
)
def check_refused(context, least, most):
    for daemon in context.shard.daemons:
        outcome = submit_to(context, daemon, new_spec(context, BATCH))
        assert isinstance(outcome, NotStored), outcome
        assert least <= outcome.retry_after_s <= most, outcome
        assert 'no room' in outcome.reason, outcome
        metric = f'jobs_refused_total{{cause="room",service="{SERVICE}"}} 1'
        assert metric in daemon.observer.metrics.render()


@then('each daemon accepts an urgent job')
def check_urgent(context):
    for daemon in context.shard.daemons:
        assert submit_to(context, daemon, new_spec(context, QUEUE)) == Stored()


@then('the other daemons accept a best-effort job')
def check_accepted(context):
    for daemon in context.shard.living():
        assert submit_to(context, daemon, new_spec(context, BATCH)) == Stored()


@then('it stores a best-effort job through the owner')
def check_stored_through_owner(context):
    spec = new_spec(context, BATCH)
    assert submit_to(context, context.standby, spec) == Stored()


@then('a heartbeat without times for services refuses nothing')
def check_former(context):
    record = decode_owner(msgspec.msgpack.encode(FormerRecord('d0', 1, 'd0:1')))
    assert record == OwnerRecord('d0', 1, 'd0:1')
    assert record.room_retry_s is None


@then("a heartbeat with such times is read by a version that doesn't know them")
def check_read_by_former(context):
    raw = encode_owner(OwnerRecord('d0', 1, 'd0:1', room_retry_s={SERVICE: 3}))
    former = msgspec.msgpack.decode(raw, type=FormerRecord)
    assert former == FormerRecord('d0', 1, 'd0:1')


@given(
    'there is no room in {count:d} services whose names have {length:d} bytes'
)
def lack_room_in_many(context, count, length):
    times = {f'{number:0{length}}': 7 for number in range(count)}
    context.report = LoadReport(None, room_retry_s=times)


@then('the heartbeat tells the times of {count:d}')
def check_times(context, count):
    assert len(context.report.bounded().room_retry_s) == count
