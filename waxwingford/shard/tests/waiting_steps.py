"""Steps for the number of jobs that have not begun."""

import msgspec
from behave import then, when

from waxwingford.routing.tests.virtual_loop import VirtualLoop, end_loop
from waxwingford.scheduling import (
    ENDED_PREFIX,
    EndKind,
    OrderAccepted,
    OrderNotSent,
    OrderOutcomeUnknown,
    OrderRefused,
    RefusalReason,
    encode_spec,
)
from waxwingford.scheduling.tests.engine_harness import JOB, QUEUE, step
from waxwingford.scheduling.tests.refused_starts_steps import (
    submit_without_answers,
)
from waxwingford.scheduling.tests.succession_steps import change_owner
from waxwingford.shard import KeyedRecord
from waxwingford.shard._intake import INTAKE_TOPIC, JOB_PREFIX
from waxwingford.shard._journal import JOURNAL_TOPIC
from waxwingford.shard._store_view import StoreView
from waxwingford.shard.tests.virtual_store import (
    VirtualStore,
    VirtualStoreClient,
)

MS_PER_S = 1000
#: Fields of a task's row before the mark was added.
OLDER_FIELDS = 4
UNREADABLE = b'\xc1'


@when('a job of 1 task is submitted, whose starts are not answered yet')
def submit_unanswered(context):
    submit_without_answers(context.harness, step())


def answer_latest(context, outcome):
    harness = context.harness
    run = harness.planned_runs[-1]
    server = harness.engine.state.server_by_id[run.server_id]
    harness.engine.start_answered(server, run, harness.now_ms, outcome)
    harness.decide(accept=False)


@when('all its starts are refused for {span_s:d} s')
def refuse_starts(context, span_s):
    harness = context.harness
    until_ms = harness.now_ms + span_s * MS_PER_S
    refusal = OrderRefused(RefusalReason.unhealthy)
    while harness.now_ms < until_ms:
        answer_latest(context, refusal)


@when('its start is not sent')
def not_sent(context):
    answer_latest(context, OrderNotSent('no connection'))


@when('its start has no answer')
def no_answer(context):
    answer_latest(context, OrderOutcomeUnknown('time-out'))


@when('its start has no answer, and its server lists it')
def no_answer_then_listed(context):
    no_answer(context)
    outlive(context)


@when('its start is accepted')
def accept(context):
    answer_latest(context, OrderAccepted(context.harness.now_ms))


@when('the owner decides')
def decide_once(context):
    context.harness.decide(accept=False)


@when('its start is accepted, and 1 s passes')
def accept_and_outlive(context):
    accept(context)
    outlive(context)


def outlive(context):
    context.harness.pass_ms(MS_PER_S)


@when('its start is accepted and its lease lapses')
def accept_and_lapse(context):
    accept_and_end(context, EndKind.lapsed)


@when('its start is accepted and it fails')
def accept_and_fail(context):
    accept_and_end(context, EndKind.failed)


def accept_and_end(context, kind):
    accept(context)
    context.harness.end(context.harness.planned_runs[-1], kind)


@when('an older version has stored its row')
def store_older_row(context):
    rows = context.harness.rows
    name = f'{JOB}.0.0'
    older = [task[:OLDER_FIELDS] for task in msgspec.msgpack.decode(rows[name])]
    rows[name] = msgspec.msgpack.encode(older)
    change_owner(context)


@then('the owner counts {count:d} jobs that have not begun')
def check_owner_count(context, count):
    counts = context.harness.engine.state.pending_by_queue()
    assert counts.get(QUEUE.name, 0) == count, counts


@then('a daemon that reads the store counts {count:d} jobs')
def check_stored_count(context, count):
    counted = ask_store(context, lambda view: view.pending(QUEUE.name))
    assert counted == count, counted


def ask_store(context, question):
    """Ask a daemon that has read what the owners have stored so far.

    :param question: function that calls the daemon's view of the store.
    """
    harness = context.harness
    spec = harness.engine.state.job_by_id[JOB].spec
    store = VirtualStore(seed=1)
    job = KeyedRecord(JOB_PREFIX + JOB, encode_spec(spec))
    store.apply(INTAKE_TOPIC, [job], None)
    rows = [KeyedRecord(key, row) for key, row in harness.rows.items()]
    store.apply(JOURNAL_TOPIC, rows, None)
    loop = VirtualLoop()
    view = StoreView(VirtualStoreClient(store, 'd0'))
    answer = loop.run_until_complete(question(view))
    end_loop(loop)
    return answer


@then('the owner and a daemon that reads the store report it as {phase}')
def check_phase(context, phase):
    reported = context.harness.engine.state.phase(JOB).value
    stored = ask_store(context, lambda view: view.phase(JOB)).phase.value
    assert (reported, stored) == (phase, phase), (reported, stored)


@when('its start is accepted, and the owner changes {delay_ms:d} ms later')
def accept_and_succeed(context, delay_ms):
    context.phases = []
    accept(context)
    watch_phase(context, delay_ms)
    change_owner(context)
    watch_phase(context, MS_PER_S)


def watch_phase(context, span_ms):
    harness = context.harness
    until_ms = harness.now_ms + span_ms
    while harness.now_ms <= until_ms:
        context.phases.append(harness.engine.state.phase(JOB).value)
        harness.poll()
        harness.decide(accept=False)


@then('its phase was never reported as queued after running')
def check_phases(context):
    assert context.phases == sorted(context.phases), context.phases


@when('the record of its {record} is unreadable')
def write_unreadable(context, record):
    name = {'step': f'{JOB}.0.0', 'end': f'{ENDED_PREFIX}{JOB}'}[record]
    context.harness.rows[name] = UNREADABLE
    change_owner(context)
