"""Steps for copies of topics."""

import itertools

from behave import given, then, when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st

from waxwingford.routing.tests.virtual_loop import VirtualLoop, end_loop
from waxwingford.shard import (
    CaughtUp,
    KeyedRecord,
    Mirror,
    NewestPage,
    StoreOutcomeUnknown,
)
from waxwingford.shard._journal import (
    OWNER_KEY,
    OWNERS_TOPIC,
    OwnerRecord,
    encode_owner,
)
from waxwingford.shard._watch import OwnerWatch
from waxwingford.shard.tests.virtual_store import (
    PAGE_SIZE,
    VirtualStore,
    VirtualStoreClient,
)

TOPIC = 'topic'
EXAMPLES = 100
MAX_READS = 40
CHANGES = (
    KeyedRecord('key 0001', b'changed'),
    KeyedRecord('key 0001a', b'new'),
    KeyedRecord('key 0002', None),
)


class LossyStoreClient(VirtualStoreClient):
    """Store client that loses every third page."""

    def __init__(self, store):
        super().__init__(store, 'reader')
        self.calls = itertools.count(1)
        self.pages = []

    async def read_newest(self, topic, after_key):
        page = await super().read_newest(topic, after_key)
        if next(self.calls) % 3 == 0:
            return StoreOutcomeUnknown('lost')
        assert isinstance(page, NewestPage), page
        self.pages.append(after_key)
        return page


@given(
    'a topic of {pages:d} pages, and a store that answers two of three pages'
)
def create_topic(context, pages):
    context.loop = VirtualLoop()
    context.add_cleanup(end_loop, context.loop)
    context.store = VirtualStore(0)
    rows = [
        KeyedRecord(f'key {number:04}', b'first')
        for number in range(PAGE_SIZE * pages)
    ]
    context.pages = pages
    context.store.topic(TOPIC).records += rows
    context.client = LossyStoreClient(context.store)
    context.mirror = Mirror(context.client, TOPIC)
    context.returned = {}


def read(context):
    outcome = context.loop.run_until_complete(context.mirror.catch_up())
    if isinstance(outcome, CaughtUp):
        context.returned |= {row.key: row.payload for row in outcome.changed}
    return outcome


@when('the topic is read until a page gets no answer')
def read_until_lost(context):
    assert read(context) == StoreOutcomeUnknown('lost')


@when('the topic is read until the copy is complete')
def read_all(context):
    reads = (read(context) for _ in range(MAX_READS))
    assert any(isinstance(outcome, CaughtUp) for outcome in reads)


@when('the topic changes and is read until the copy is complete')
def change_and_read(context):
    context.store.topic(TOPIC).records += CHANGES
    read_all(context)


@then('each page was read once')
def check_pages_read_once(context):
    pages = context.client.pages
    assert len(pages) == len(set(pages)) == context.pages, pages


@then('the copy is the topic')
def check_copy(context):
    rows = context.store.topic(TOPIC).records
    newest = {key: raw for key, raw in rows}
    wanted = {key: raw for key, raw in newest.items() if raw is not None}
    assert context.mirror.payload_by_key == wanted


@then('the changes were returned')
def check_changes_returned(context):
    returned = [
        KeyedRecord(row.key, context.returned[row.key]) for row in CHANGES
    ]
    assert returned == list(CHANGES), returned


def newest(store):
    """Return what a complete copy of the topic holds."""
    records = dict(store.topic(TOPIC).records)
    return {
        key: payload for key, payload in records.items() if payload is not None
    }


@given('a topic of {pages:d} pages, and a store that answers all pages')
def create_sound_topic(context, pages):
    create_topic(context, pages)
    context.client = VirtualStoreClient(context.store, 'reader')
    context.mirror = Mirror(context.client, TOPIC)


class ChangingStoreClient(VirtualStoreClient):
    """Store client of a topic that changes after its first page was read."""

    def __init__(self, store, change):
        super().__init__(store, 'reader')
        self._change = change

    async def read_newest(self, topic, after_key):
        page = await super().read_newest(topic, after_key)
        if not after_key:
            self._store.apply(topic, [self._change], None)
        return page


@when('a key of the first page is stored after that page was read')
def change_between_pages(context):
    client = ChangingStoreClient(context.store, CHANGES[1])
    context.mirror = Mirror(client, TOPIC)


@given('reads return {count:d} records')
@when('reads return {count:d} records')
def limit_records(context, count):
    context.store.max_records_per_read = count


@when('the topic is read to its end once')
def read_to_end(context):
    read = context.loop.run_until_complete(context.mirror.read_to_end())
    assert isinstance(read, CaughtUp), read


@when('{count:d} records are appended')
def append_records(context, count):
    append_to(
        context,
        [KeyedRecord(f'key {number:04}', b'later') for number in range(count)],
    )


def append_to(context, records):
    async def _append():
        context.store.apply(TOPIC, records, None)

    context.loop.run_until_complete(_append())


@then('reading the topic to its end fails')
def check_read_fails(context):
    read = context.loop.run_until_complete(context.mirror.read_to_end())
    assert isinstance(read, StoreOutcomeUnknown), read


@when('all of its keys are deleted and others stored, {times:d} times')
def replace_keys(context, times):
    for round_number in range(times):
        deleted = [KeyedRecord(key, None) for key in newest(context.store)]
        stored = [
            KeyedRecord(f'{round_number} {number:04}', b'1')
            for number in range(PAGE_SIZE)
        ]
        append_to(context, [*deleted, *stored])
        read_to_end(context)


@then('the copy remembers no more keys than the topic has')
def check_remembered(context):
    assert context.mirror.payload_by_key == newest(context.store)
    assert set(context.mirror._offset_by_key) == set(newest(context.store))


RECORDS = st.builds(
    KeyedRecord,
    st.integers(0, 2 * PAGE_SIZE + 5).map('key {:04}'.format),
    st.sampled_from((b'1', b'2', None)),
)


@then('a copy that is read to its end is the topic, in any order of events')
def any_order(context):
    @settings(max_examples=EXAMPLES)
    @drawn(
        st.integers(0, 2 * PAGE_SIZE + 5),
        st.lists(
            st.tuples(
                st.lists(RECORDS, max_size=8), st.booleans(), st.integers(1, 9)
            ),
            max_size=8,
        ),
    )
    def _play(count, rounds):
        create_sound_topic(context, 0)
        append_records(context, count)
        for records, to_end, most in rounds:
            limit_records(context, most)
            append_to(context, records)
            if to_end:
                read_to_end(context)
                assert context.mirror.payload_by_key == newest(context.store)
            else:
                context.loop.run_until_complete(context.mirror.catch_up())
        read_to_end(context)
        assert context.mirror.payload_by_key == newest(context.store)

    _play()


@given(
    'a watch of an owner that was suspended while {count:d} heartbeats were'
    ' stored'
)
def suspend_watch(context, count):
    create_sound_topic(context, 0)
    records = [
        KeyedRecord(
            OWNER_KEY, encode_owner(OwnerRecord('d1', 7, 'd1:1', beat=beat))
        )
        for beat in range(count + 1)
    ]

    async def _store(some):
        context.store.apply(OWNERS_TOPIC, some, None)

    context.watch = OwnerWatch(context.client)
    context.loop.run_until_complete(_store(records[:1]))
    context.loop.run_until_complete(context.watch.read(wait=False))
    context.loop.run_until_complete(_store(records[1:]))
    context.last_beat = count


@when('the watch reads once without waiting')
def read_watch(context):
    context.loop.run_until_complete(context.watch.read(wait=False))


@then('it knows the last heartbeat')
def check_beat(context):
    assert context.watch.record.beat == context.last_beat
