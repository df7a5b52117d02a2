"""Steps for records that another version wrote, or that were cut short."""

import msgspec
from behave import then, when

from waxwingford.scheduling import JobSpec, encode_spec
from waxwingford.shard import KeyedRecord
from waxwingford.shard._journal import JOURNAL_TOPIC
from waxwingford.shard.tests.virtual_shard import QUEUE, step

_SPEC = JobSpec('00000000000000ff', 'queue', '', (step(1),), terms=QUEUE)
_CUT_SHORT = encode_spec(_SPEC)[:-3]
#: Row of the hundredth task of a step.
_MORE_TASKS = msgspec.msgpack.encode([(99, 1, 0, False)])
_OTHER_TYPE = msgspec.msgpack.encode({'of': 'another version'})


@when('the record "{key}" of the topic "{topic}" is {content}')
def write(context, key, topic, content):
    raw = _CUT_SHORT if content == 'cut short' else _OTHER_TYPE
    append(context.shard, topic, key, raw)


def append(shard, topic, key, raw):
    shard.call(lambda: shard.store.apply(topic, [KeyedRecord(key, raw)], None))


@when("the record of the job's step is {content}")
def spoil_step(context, content):
    shard = context.shard
    key = f'{context.jobs[-1]}.0.0'
    rows = [
        raw
        for name, raw in shard.store.topic(JOURNAL_TOPIC).records
        if name == key
    ]
    raw_by_content = {
        'cut short': rows[-1][:-2],
        'of another type': _OTHER_TYPE,
        'of more tasks than it': _MORE_TASKS,
    }
    append(shard, JOURNAL_TOPIC, key, raw_by_content[content])
    context.starts_before = dict(shard.servers.starts)


@then('nothing of the job was started again')
def not_again(context):
    starts = dict(context.shard.servers.starts)
    assert starts == context.starts_before, starts


@then("one line tells that the record can't be read")
def told_once(context):
    lines = map(msgspec.json.decode, context.shard.lines)
    told = [line for line in lines if line['event'] == 'record.unreadable']
    owners = {line['daemon'] for line in told}
    assert told
    # Each owner tells it once.
    assert len(told) == len(owners), told
