"""Steps for refusals for lack of room on the servers."""

import asyncio
from unittest import mock

import msgspec
from behave import given, then, when

from waxwingford.scheduling import Terms
from waxwingford.scheduling._room_forecast import ServiceRoom
from waxwingford.shard import MayBeStored, NotStored, Stored
from waxwingford.shard._journal import (
    OwnerRecord,
    decode_owner,
    encode_owner,
)
from waxwingford.shard._load_report import LoadReport
from waxwingford.shard._member import ShardMember
from waxwingford.shard._mirror import CaughtUp, Mirror
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

    async def is_stored(self, job_id, until_s):
        await asyncio.sleep(0)


class EndlessMirror(Mirror):
    """Copy of a topic that grows faster than it is read."""

    async def catch_up(self, wait_ms=0):
        await asyncio.sleep(0.5)
        self.behind = True
        return CaughtUp(())


class EndlessView(StoreView):
    """View of a store whose intake isn't read to its end in time."""

    def __init__(self, log):
        super().__init__(log)
        self._intake = EndlessMirror(log, 'intake')


VIEW_BY_FAULT = {
    "can't be read": UnreadableView,
    "doesn't catch up": EndlessView,
}
REPORT_BY_CAUSE = {
    'room': LoadReport(room_retry_s={SERVICE: 4}),
    'owner': LoadReport(best_effort_retry_s=4),
}


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


def submit_lost(context, applied_s):
    """Submit a job whose append gets no answer.

    :param applied_s: time after which it is applied, ``None`` for never.
    """
    shard = context.shard
    spec = new_spec(context, BATCH)
    shard.store.lost_appends_by_topic['intake'] = [applied_s]
    # With the owner's daemon there is no second way to the store.
    deadline_s = shard.loop.time() + 1
    outcome = shard.run_until(context.daemon.frontend.submit(spec, deadline_s))
    assert isinstance(outcome, MayBeStored), outcome
    return spec


@given(
    'an attempt to store a best-effort job is applied {span_s:d} s after it,'
    ' unanswered'
)
def lose_attempt(context, span_s):
    context.shard.run(2)
    context.daemon = context.shard.owners[0]
    context.spec = submit_lost(context, span_s)


@when('a daemon that stands by is to refuse jobs because of the {cause}')
def report_load(context, cause):
    shard = context.shard
    shard.run(2)
    for daemon in shard.daemons:
        daemon.member.configure(TERMS)
    context.standby = next(one for one in shard.daemons if not one.owns)
    report = REPORT_BY_CAUSE[cause]
    patch = mock.patch.object(
        ShardMember, 'load_report', mock.PropertyMock(return_value=report)
    )
    patch.start()
    context.add_cleanup(patch.stop)


@when('its view of the store {fault}')
def lose_view(context, fault):
    view = VIEW_BY_FAULT[fault](context.standby.log)
    context.standby.frontend._view = view


@when('neither the store nor the owner takes jobs from it')
def refuse_rows(context):
    context.shard.store.full_for.add(context.standby.daemon_id)

    async def _store(*_):
        await asyncio.sleep(0)
        return NotStored('the owner takes none')

    context.standby.frontend._link.store = _store


@when('the owner shows the room of services, and resigns')
def resign(context):
    shard = context.shard
    shard.run(2)
    context.daemon = shard.owners[0]
    engine = context.daemon.member.owner._engine
    forecast = engine.admission.forecast
    forecast.room_by_service[SERVICE] = ServiceRoom()
    forecast.updated_ms = 1
    shard.run(1)
    assert 'room_work_core_seconds' in context.daemon.observer.metrics.render()
    shard.run_until(context.daemon.member.resign())


@then("the daemon of that attempt doesn't refuse the job")
def check_open_attempt(context):
    outcome = submit_to(context, context.daemon, context.spec)
    assert outcome == Stored(), outcome


@then('the daemon of that attempt refuses a new best-effort job')
def check_refuses(context):
    outcome = submit_to(context, context.daemon, new_spec(context, BATCH))
    assert isinstance(outcome, NotStored), outcome


@then(
    '{span_s:d} s later it refuses a job of such an attempt that was never'
    ' applied'
)
def check_forgotten(context, span_s):
    patch = mock.patch.object(
        ShardMember,
        'load_report',
        mock.PropertyMock(return_value=LoadReport()),
    )
    with patch:
        spec = submit_lost(context, None)
    context.shard.run(span_s + 1)
    owner = context.daemon.member.owner
    owner._engine.admission.retry_s_by_service = {SERVICE: 4}
    context.shard.run(1)
    outcome = submit_to(context, context.daemon, spec)
    assert isinstance(outcome, NotStored), outcome


@then('it stores a best-effort job through the owner within {span_s:d} s')
def check_stored_in_time(context, span_s):
    loop = context.shard.loop
    until_s = loop.time() + span_s
    submission = context.standby.frontend.submit(
        new_spec(context, BATCH), until_s
    )
    outcome = context.shard.run_until(
        asyncio.wait_for(submission, until_s - loop.time())
    )
    assert outcome == Stored(), outcome


@then('it says of a best-effort job that it may be stored')
def check_may_be_stored(context):
    outcome = submit_to(context, context.standby, new_spec(context, BATCH))
    assert isinstance(outcome, MayBeStored), outcome


@then('it shows no gauges of the room of services')
def check_no_gauges(context):
    assert '_room_' not in context.daemon.observer.metrics.render()


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
