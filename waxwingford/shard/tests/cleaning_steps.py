"""Steps for the deletion of what is stored of ended jobs."""

from behave import then, when

from waxwingford.scheduling import JobPhase, JobSpec, encode_spec
from waxwingford.scheduling._rows import ENDED_PREFIX, encode_end
from waxwingford.shard import JobNotKnown, KeyedRecord, Stored
from waxwingford.shard._intake import (
    CANCEL_PREFIX,
    INTAKE_TOPIC,
    JOB_PREFIX,
    job_record,
)
from waxwingford.shard._journal import JOURNAL_TOPIC, OWNER_KEY
from waxwingford.shard.tests.virtual_shard import QUEUE, step

RESUBMISSION_S = 8


def newest_keys(shard, topic):
    newest = dict(shard.store.topic(topic).records)
    return {key for key, payload in newest.items() if payload is not None}


def store(shard, topic, records):
    shard.call(lambda: shard.store.apply(topic, records, None))


def first_record(shard, topic, key):
    return next(
        record
        for record in shard.store.topic(topic).records
        if record.key == key
    )


@then('the intake has no rows')
def check_intake_empty(context):
    keys = newest_keys(context.shard, INTAKE_TOPIC)
    assert not keys, keys


@then('the journal has only the row of the owner')
def check_journal_empty(context):
    keys = newest_keys(context.shard, JOURNAL_TOPIC)
    assert keys == {OWNER_KEY}, keys


@then('the journal has only the row of the owner and ends of jobs')
def check_journal_ends(context):
    keys = newest_keys(context.shard, JOURNAL_TOPIC)
    others = {key for key in keys if not key.startswith(ENDED_PREFIX)}
    assert others == {OWNER_KEY}, keys


def owner_of(shard):
    return shard.owners[0].member.owner


@then('the owner no longer knows the job')
def check_unknown(context):
    shard = context.shard
    answer = shard.run_until(owner_of(shard).phase(context.jobs[-1]))
    assert isinstance(answer, JobNotKnown), answer


@then('the owner remembers no ended job')
def check_forgotten(context):
    state = owner_of(context.shard)._engine.state
    assert not state.past.phase_by_job
    assert not state.past.cancelled_early
    assert not state.job_by_id


@when('its row is stored once more, bypassing the owner')
def store_again(context):
    shard = context.shard
    key = JOB_PREFIX + context.jobs[-1]
    store(shard, INTAKE_TOPIC, [first_record(shard, INTAKE_TOPIC, key)])


@when('the rows of its steps are stored once more')
def store_steps_again(context):
    shard = context.shard
    keys = [f'{context.jobs[-1]}.0.{index}' for index in range(2)]
    records = [first_record(shard, JOURNAL_TOPIC, key) for key in keys]
    store(shard, JOURNAL_TOPIC, records)


@when('the next job is cancelled in the intake')
def cancel_next(context):
    shard = context.shard
    key = f'{CANCEL_PREFIX}{shard.job_count + 1:016x}'
    store(shard, INTAKE_TOPIC, [KeyedRecord(key, b'1')])


@then('no task was started')
def check_none_started(context):
    assert not context.shard.servers.starts


@when('{count:d} jobs that have ended are stored')
def store_ended(context, count):
    shard = context.shard
    specs = [
        JobSpec(f'{number:016x}', QUEUE.name, '', (step(1),), terms=QUEUE)
        for number in range(0xE000, 0xE000 + count)
    ]
    jobs = [job_record(spec.job_id, encode_spec(spec)) for spec in specs]
    ends = [
        KeyedRecord(ENDED_PREFIX + spec.job_id, encode_end(JobPhase.completed))
        for spec in specs
    ]
    store(shard, JOURNAL_TOPIC, ends)
    store(shard, INTAKE_TOPIC, jobs)


@when('a job of 2 steps is submitted each {gap_s:d} s for {span_s:d} s')
def submit_for_long(context, gap_s, span_s):
    shard = context.shard
    for _ in range(span_s // gap_s):
        job_id, outcome = shard.submit((step(2), step(1, after=(0,))))
        assert isinstance(outcome, Stored), outcome
        context.jobs.append(job_id)
        shard.run(gap_s)


@then('the journal and the intake have at most {count:d} rows')
def check_row_count(context, count):
    rows = [
        newest_keys(context.shard, topic)
        for topic in (JOURNAL_TOPIC, INTAKE_TOPIC)
    ]
    assert sum(map(len, rows)) <= count, list(map(len, rows))


@then("the owner's copy of the intake has at most {count:d} rows")
def check_copy(context, count):
    mirror = owner_of(context.shard)._intake._mirror
    assert len(mirror.payload_by_key) <= count
    assert len(mirror._offset_by_key) <= count


@when(
    'for {span_s:d} s jobs are submitted, some again, and owners killed, with'
    ' seed {seed:d}'
)
def submit_and_kill(context, span_s, seed):
    shard = context.shard
    shard.random.seed(seed)
    context.specs = []
    end_s = shard.loop.time() + span_s
    while shard.loop.time() < end_s:
        spec = shard.new_spec((step(2), step(1, after=(0,))))
        context.specs.append(spec)
        submit_to_any(shard, spec)
        shard.run(shard.random.uniform(0.2, RESUBMISSION_S))
        if shard.random.random() < 0.3:
            submit_to_any(shard, spec)
        if shard.random.random() < 0.1 and shard.owners:
            killed = shard.owners[0]
            shard.call(killed.kill)
            shard.loop.call_later(2, killed.start)
        shard.run(shard.random.uniform(1, 60))


def submit_to_any(shard, spec):
    daemon = shard.random.choice(shard.living())
    deadline_s = shard.loop.time() + 3
    shard.run_until(daemon.frontend.submit(spec, deadline_s))


@then('all submitted jobs have run once')
def check_run_once(context):
    starts = context.shard.servers.starts
    done = {task.job_id for task in context.shard.servers.done}
    missing = [spec.job_id for spec in context.specs if spec.job_id not in done]
    assert not missing, missing
    again = context.shard.servers.starts_after_done
    assert not again, again
    assert len(starts) == 3 * len(context.specs), len(starts)
