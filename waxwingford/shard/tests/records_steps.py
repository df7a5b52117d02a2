"""Steps for records that are truncated or were written by another version."""

import msgspec
from behave import then, when

from waxwingford.scheduling import JobSpec, encode_spec
from waxwingford.shard import KeyedRecord
from waxwingford.shard._journal import JOURNAL_TOPIC
from waxwingford.shard.tests.virtual_shard import QUEUE, step

_SPEC = JobSpec('00000000000000ff', 'queue', '', (step(1),), terms=QUEUE)
_TRUNCATED = encode_spec(_SPEC)[:-3]
#: Row of a step with state of its hundredth task.
_UNKNOWN_TASK = msgspec.msgpack.encode([(99, 1, 0, False)])
_OTHER_TYPE = msgspec.msgpack.encode({'of': 'another version'})


@when('the record "{key}" of the topic "{topic}" is {content}')
def write_undecodable(context, key, topic, content):
    raw = _TRUNCATED if content == 'truncated' else _OTHER_TYPE
    append(context.shard, topic, key, raw)


def append(shard, topic, key, raw):
    shard.call(lambda: shard.store.apply(topic, [KeyedRecord(key, raw)], None))


@when("the record of the job's step is {content}")
def corrupt_step_row(context, content):
    shard = context.shard
    key = f'{context.jobs[-1]}.0.0'
    rows = [
        raw
        for name, raw in shard.store.topic(JOURNAL_TOPIC).records
        if name == key
    ]
    raw_by_content = {
        'truncated': rows[-1][:-2],
        'of another type': _OTHER_TYPE,
        'for more tasks than it has': _UNKNOWN_TASK,
    }
    append(shard, JOURNAL_TOPIC, key, raw_by_content[content])
    context.starts_before = dict(shard.servers.starts)


@then('nothing of the job was started again')
def check_not_started_again(context):
    starts = dict(context.shard.servers.starts)
    assert starts == context.starts_before, starts


@then("each owner logs once that the record can't be decoded")
def check_logged_once(context):
    lines = map(msgspec.json.decode, context.shard.lines)
    logged = [line for line in lines if line['event'] == 'record.unreadable']
    owners = {line['daemon'] for line in logged}
    assert logged
    assert len(logged) == len(owners), logged
