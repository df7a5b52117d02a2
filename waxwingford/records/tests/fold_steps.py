"""Steps for folding a failure domain's stream and for its snapshots."""

import msgspec
from behave import given, then, when

from waxwingford.ports import AttemptKey, Resources
from waxwingford.records import (
    AttemptEnded,
    AttemptSuspected,
    Claim,
    DomainState,
    Invalid,
    JobAccepted,
    JobCancelled,
    JobSpec,
    RecordGroup,
    SnapshotAssembler,
    SuspicionRefuted,
    TasksClaimed,
    TaskStage,
    encode_snapshot,
)


def job_spec(job_id, count, lost_after_ms=0, payload=''):
    member = job_id.partition('.')[0]
    return JobSpec(
        job_id,
        member,
        'archive',
        'archive_rebuild',
        count,
        Resources(1000, 1000),
        1000,
        lost_after_ms=lost_after_ms,
        payload=payload,
    )


def end_record(task_id, attempt, server_id, how, *detail):
    key = AttemptKey(task_id, int(attempt))
    return AttemptEnded(key, server_id, how, ''.join(detail))


def lapse_record(task_id, attempt, server_id, offset):
    key = AttemptKey(task_id, int(attempt))
    return AttemptEnded(key, server_id, 'lapsed', suspected_offset=int(offset))


def claim_record(task_id, attempt, server_id, *resume):
    one = Claim(AttemptKey(task_id, int(attempt)), ''.join(resume))
    return TasksClaimed('a#1', server_id, 'boot', 1, (one,))


def attempt_keys(task_id, attempt):
    return (AttemptKey(task_id, int(attempt)),)


UNKNOWN_STAGE = 99
RECORD_BUILDERS = {
    'accept': lambda job_id, count: JobAccepted(job_spec(job_id, int(count))),
    'accept-lost-after': lambda job_id, count: JobAccepted(
        job_spec(job_id, int(count), 1000)
    ),
    'claim': claim_record,
    'end': end_record,
    'lapse': lapse_record,
    'suspect': lambda *key: AttemptSuspected(attempt_keys(*key), 'b#1'),
    'alive': lambda *key: SuspicionRefuted(attempt_keys(*key), 'a#1'),
    'cancel': JobCancelled,
}


def parse_record(text):
    kind, *words = text.split()
    return RECORD_BUILDERS[kind](*words)


def apply_records(context, writer, *records):
    state = context.domain_state
    context.group = RecordGroup(writer, state.next_offset, records)
    context.verdicts = state.apply(state.next_offset, context.group)
    return context.verdicts


@when('these records are applied')
def apply_table(context):
    if 'domain_state' not in context:
        context.domain_state = DomainState()
    for row in context.table:
        verdict = apply_records(
            context, row['writer'], parse_record(row['record'])
        )[0]
        found = verdict.reason if isinstance(verdict, Invalid) else 'valid'
        assert found.startswith(row['verdict']), (row['record'], found)


@when('the last group is applied again')
def apply_group_again(context):
    state = context.domain_state
    context.verdicts = state.apply(state.next_offset, context.group)


@then('its verdicts are "{reason}"')
def check_verdicts(context, reason):
    assert [verdict.reason for verdict in context.verdicts] == [reason]


@then('offset {offset:d} is not applied twice')
def check_offset_ignored(context, offset):
    assert context.domain_state.apply(offset, context.group) == []


@then('task "{task_id}" is "{stage}" as attempt {attempt:d} at "{server_id}"')
def check_task(context, task_id, stage, attempt, server_id):
    task = context.domain_state.task(task_id)
    found = (task.stage.name, task.attempt, task.server_id)
    assert found == (stage, attempt, server_id), found


@then(
    'job "{job_id}" is finished with {done:d} done, {failed:d} failed, '
    '{cancelled:d} cancelled'
)
def check_finished_job(context, job_id, done, failed, cancelled):
    job = context.domain_state.finished.summary_by_id[job_id]
    assert (job.done, job.failed, job.cancelled) == (done, failed, cancelled)
    assert not context.domain_state.index.attempts_by_server
    assert not context.domain_state.index.used_by_team


@when('{count:d} more jobs finish')
def finish_jobs(context, count):
    for number in range(count):
        name = f'qadri.more{number}'
        records = (f'accept {name} 1', f'cancel {name} qadri')
        apply_records(context, 'a', *map(parse_record, records))


@given('a state with tasks in every stage')
def create_state(context):
    context.domain_state = DomainState()
    lines = (
        'accept qadri.a 3',
        'accept svatbena.b 2',
        'accept-lost-after qadri.c 2',
        'claim qadri.a/0 1 s1',
        'claim qadri.c/0 1 s2',
        'suspect qadri.c/0 1',
        'end qadri.a/0 1 s1 checkpointed c1',
        'claim qadri.a/1 1 s1',
        'end qadri.a/1 1 s1 failed x',
        'claim qadri.a/2 1 s1',
        'end qadri.a/2 1 s1 done',
        'cancel svatbena.b svatbena',
    )
    for line in lines:
        apply_records(context, 'a', parse_record(line))
    assert len(TaskStage) == 5


def assemble(chunks):
    assembler = SnapshotAssembler()
    for chunk in chunks:
        assembler.add(chunk)
    return assembler.newest


@when('the state is written as a snapshot and restored')
def write_and_restore(context):
    state = context.domain_state
    context.restored = assemble(encode_snapshot(state, state.next_offset))


@then('both states apply further records identically')
def check_further_records(context):
    lines = (
        'claim qadri.a/0 2 s1 c1',
        'lapse qadri.c/0 1 s2 5',
        'accept svatbena.b 2',
        'end qadri.c/0 1 s2 done',
        'claim qadri.a/1 2 s2',
    )
    offset = context.domain_state.next_offset
    for line in lines:
        group = RecordGroup('a', offset, (parse_record(line),))
        one, other = (
            state.apply(offset, group)
            for state in (context.domain_state, context.restored)
        )
        assert one == other, (line, one, other)
        offset += 1
    pending = [
        list(state.index.pending_by_id)
        for state in (context.domain_state, context.restored)
    ]
    assert sorted(pending[0]) == sorted(pending[1]), pending


@then('the snapshot of the restored state has the same bytes')
def check_same_bytes(context):
    offset = context.restored.next_offset
    one, other = (
        encode_snapshot(state, offset)
        for state in (context.domain_state, context.restored)
    )
    assert one == other


@when(
    'chunks of two large snapshots are interleaved and the newer one is incomplete'
)
def interleave_chunks(context):
    state = context.domain_state
    filler = ''.join(f'{number * number:x}' for number in range(20_000))
    for number in range(12):
        big = job_spec(f'qadri.big{number}', 1, payload=f'{number}{filler}')
        apply_records(context, 'a', JobAccepted(big))
    context.offsets = [state.next_offset]
    older = encode_snapshot(state, state.next_offset)
    apply_records(context, 'a', parse_record('accept qadri.last 1'))
    context.offsets.append(state.next_offset)
    newer = encode_snapshot(state, state.next_offset)
    assert len(older) > 1
    assert max(map(len, older)) < 256 * 1024
    context.missing = newer.pop()
    context.assembler = SnapshotAssembler()
    for pair in zip(newer, older, strict=False):
        for chunk in pair:
            context.assembler.add(chunk)
    context.assembler.add(older[-1])
    context.assembler.add(b'no chunk')


@given('a snapshot, and a newer one with a task stage of a later version')
def add_later_version(context):
    context.domain_state = DomainState()
    state = context.domain_state
    context.assembler = SnapshotAssembler()
    apply_records(context, 'a', parse_record('accept qadri.first 1'))
    context.offsets = [state.next_offset]
    chunks = encode_snapshot(state, state.next_offset)
    state.jobs_by_id['qadri.first'].tasks[0].stage = UNKNOWN_STAGE
    apply_records(context, 'a', parse_record('accept qadri.later 1'))
    chunks += encode_snapshot(state, state.next_offset)
    for chunk in chunks:
        context.assembler.add(chunk)


@when('the missing chunk is added with a corrupt payload')
def add_corrupt_chunk(context):
    fields = msgspec.msgpack.decode(context.missing)
    fields[-1] = bytes(byte ^ 1 for byte in fields[-1])
    context.assembler.add(msgspec.msgpack.encode(fields))


@when('all chunks of the newer snapshot are added')
def add_newer_snapshot(context):
    state = context.domain_state
    for chunk in encode_snapshot(state, state.next_offset):
        context.assembler.add(chunk)


@then('the assembler returns the {which} snapshot')
def check_assembled(context, which):
    found = context.assembler.newest.next_offset
    assert found == context.offsets[which == 'newer'], found


@then('a snapshot that covers one more offset is rejected')
def check_covers_rejected(context):
    state = context.domain_state
    rejected = False
    try:
        encode_snapshot(state, state.next_offset + 1)
    except ValueError:
        rejected = True
    assert rejected
