"""Steps for the size of heartbeats."""

import msgspec
from behave import given, then, when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st

from waxwingford.routing.tests.virtual_loop import VirtualLoop, end_loop
from waxwingford.scheduling import (
    JobSpec,
    OrderOutcomeUnknown,
    Terms,
    encode_spec,
    take_listed,
)
from waxwingford.scheduling.tests.engine_harness import EngineHarness
from waxwingford.scheduling.tests.engine_harness import step as harness_step
from waxwingford.shard import KeyedRecord
from waxwingford.shard._intake import INTAKE_TOPIC, job_record
from waxwingford.shard._journal import (
    OWNER_KEY,
    OWNERS_TOPIC,
    OwnerRecord,
    Predecessor,
    encode_owner,
)
from waxwingford.shard._lease_bounds import LeaseLedger
from waxwingford.shard._load_report import LoadReport
from waxwingford.shard.tests.virtual_shard import QUEUE, step

SILENCE_MS = 1000
LEASE_MS = 5000
DEADLINE_S = 3


NO_REPORT = LoadReport()


def record_with(silent=None, report=NO_REPORT):
    return OwnerRecord(
        'd' * 128,
        2**62,
        '127.127.127.127:65535',
        silent=silent,
        **report.bounded()._asdict(),
    )


@given('{count:d} servers whose ids have {length:d} bytes, each with a task')
def start_servers(context, count, length):
    harness = EngineHarness(1, 1)
    first = harness.entries[0]
    harness.entries = [
        first._replace(server_id=f'{number:0{length}}', endpoint=f's{number}:1')
        for number in range(count)
    ]
    harness.register()
    harness.poll()
    harness.submit(harness_step(count, long_running=True, max_per_server=1))
    harness.poll()
    servers = harness.engine.state.server_by_id.values()
    assert all(server.run_by_key for server in servers)
    context.harness = harness


def silence(harness, server_ids):
    for server_id in server_ids:
        server = harness.engine.state.server_by_id[server_id]
        harness.engine.poll_answered(
            server,
            harness.now_ms,
            harness.now_ms,
            OrderOutcomeUnknown('no answer'),
        )
    harness.now_ms += SILENCE_MS


def withhold(context):
    withholding = context.harness.engine.lease_withholding
    context.silent = withholding.withhold_silent(context.harness.now_ms)


@when('none of them answers for a second')
def silence_all(context):
    silence(context.harness, context.harness.engine.state.server_by_id)
    withhold(context)


@when("the first of them answers, and the others don't for a second")
def silence_others(context):
    _, *others = context.harness.engine.state.server_by_id
    silence(context.harness, others)
    withhold(context)
    context.named_before = set(context.silent)


@when('after that heartbeat none of them answers for a second')
def silence_all_after(context):
    withholding = context.harness.engine.lease_withholding
    withholding.heartbeat_stored(context.silent)
    silence_all(context)


@then('the heartbeat names the same servers as before')
def check_same_names(context):
    assert set(context.silent) == context.named_before


@then('the heartbeat names {count:d} servers and has at most {size:d} bytes')
def check_heartbeat(context, count, size):
    assert len(context.silent) == count, len(context.silent)
    assert len(encode_owner(record_with(context.silent))) <= size


@then('only the leases of the others are extended once all answer')
def check_extended(context):
    harness = context.harness
    state = harness.engine.state
    assert state.withheld_servers == set(context.silent)
    harness.poll()
    for server_id, server in state.server_by_id.items():
        order = harness.engine.orders.poll(server, harness.now_ms, 0, True)
        extended = order.lease_until_ms is not None
        assert extended != (server_id in context.silent), server_id


@given('a heartbeat of a previous owner that names {count:d} servers')
def name_many(context, count):
    silent = {f'{number:019}': 400 for number in range(count)}
    record = OwnerRecord('d0', 1, 'd0:1', silent=silent)
    context.ledger = LeaseLedger(Predecessor(record, 0, 1, 0), LEASE_MS)


@when('its successor has not extended any lease')
def report_first(context):
    loop = VirtualLoop()

    async def _report():
        return context.ledger.next_report()

    context.silent = loop.run_until_complete(_report()).silent
    end_loop(loop)


@then('its heartbeat names {count:d} of them and has at most {size:d} bytes')
def check_first(context, count, size):
    check_heartbeat(context, count, size)


@given('jobs wait in {count:d} queues whose names have {length:d} bytes')
def wait_in_queues(context, count, length):
    pending = {f'{number:0{length}}': 10**6 for number in range(count)}
    context.report = LoadReport(pending, 1, 1)


@then('the heartbeat {tells} how many, and has at most {size:d} bytes')
def check_pending(context, tells, size):
    record = record_with({}, context.report)
    assert (record.pending_by_queue is not None) == (tells == 'tells')
    assert record.urgent_retry_s == 1
    assert len(encode_owner(record)) <= size


@then(
    'a heartbeat with any names of queues and servers has at most {size:d}'
    ' bytes'
)
def any_names(context, size):
    names = st.builds(
        lambda text, times: text * times,
        st.text(max_size=3),
        st.integers(0, 20_000),
    )

    @settings(max_examples=200)
    @drawn(
        st.dictionaries(names, st.integers(0, 2**40)),
        st.dictionaries(names, st.integers(0, 2**40)),
        st.dictionaries(names, st.integers(0, 10)),
    )
    def _encode(pending, silent, times):
        listed = {name: silent[name] for name in take_listed(silent)}
        record = record_with(listed, LoadReport(pending, room_retry_s=times))
        assert len(encode_owner(record)) <= size

    _encode()


@when('the store rejects all heartbeats of the owner for {span_s:g} s')
def reject_heartbeats(context, span_s):
    shard = context.shard
    shard.store.rejected_keys.add(OWNER_KEY)
    shard.run(span_s)
    shard.store.rejected_keys.clear()


@then('at most {most:d} heartbeats were rejected')
def check_rejected(context, most):
    rejected = context.shard.store.rejected_appends
    assert 0 < rejected.count(OWNERS_TOPIC) <= most, rejected


@when('jobs wait in {count:d} queues whose names have {length:d} bytes')
def submit_to_queues(context, count, length):
    shard = context.shard
    names = [f'{number:0{length}}' for number in range(count)]
    context.queues = names
    queue_by_name = {
        name: QUEUE._replace(name=name, service='none') for name in names
    }
    for daemon in shard.daemons:
        daemon.member.configure(Terms(2, queue_by_name))
    specs = [
        JobSpec(
            f'{number:016x}',
            name,
            '',
            (step(1),),
            terms=queue_by_name[name],
        )
        for number, name in enumerate(names)
    ]
    records = [job_record(one.job_id, encode_spec(one)) for one in specs]
    assert all(isinstance(record, KeyedRecord) for record in records)
    shard.call(lambda: shard.store.apply(INTAKE_TOPIC, records, None))
    shard.run(2)


@then('each daemon counts {count:d} jobs in each of them')
def check_counts(context, count):
    shard = context.shard
    newest = dict(shard.store.topic(OWNERS_TOPIC).records)[OWNER_KEY]
    record = msgspec.msgpack.decode(newest, type=OwnerRecord)
    assert record.pending_by_queue is None
    for daemon in shard.living():
        counts = {
            shard.run_until(daemon.frontend.pending(queue))
            for queue in context.queues[:5]
        }
        assert counts == {count}, (daemon.daemon_id, counts)
