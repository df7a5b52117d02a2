"""Steps for copies of topics."""

import itertools

from behave import given, then, when

from waxwingford.routing.tests.virtual_loop import VirtualLoop, end_loop
from waxwingford.shard import (
    CaughtUp,
    KeyedRecord,
    Mirror,
    NewestPage,
    StoreOutcomeUnknown,
)
from waxwingford.shard.tests.virtual_store import (
    PAGE_SIZE,
    VirtualStore,
    VirtualStoreClient,
)

TOPIC = 'topic'
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
