"""Steps for copies of topics."""

import itertools

from behave import given, then, when

from waxwingford.routing.tests.virtual_loop import VirtualLoop, end_loop
from waxwingford.shard import (
    CaughtUp,
    KeyedRecord,
    Mirror,
    NewestPage,
    StoreUnknown,
)
from waxwingford.shard.tests.virtual_store import PAGE, StoreWay, VirtualStore

TOPIC = 'topic'
MOST_TRIES = 40
CHANGES = (
    KeyedRecord('key 0001', b'changed'),
    KeyedRecord('key 0001a', b'new'),
    KeyedRecord('key 0002', None),
)


class LossyWay(StoreWay):
    """Way to the store on which each third page is lost."""

    def __init__(self, store):
        super().__init__(store, 'reader')
        self.calls = itertools.count(1)
        self.pages = []

    async def newest(self, topic, after_key):
        page = await super().newest(topic, after_key)
        if next(self.calls) % 3 == 0:
            return StoreUnknown('lost')
        assert isinstance(page, NewestPage), page
        self.pages.append(after_key)
        return page


@given(
    'a topic of {pages:d} pages, and a store that answers two of three pages'
)
def topic_of(context, pages):
    context.loop = VirtualLoop()
    context.add_cleanup(end_loop, context.loop)
    context.store = VirtualStore(0)
    rows = [
        KeyedRecord(f'key {number:04}', b'first')
        for number in range(PAGE * pages)
    ]
    context.pages = pages
    context.store.topic(TOPIC).records += rows
    context.way = LossyWay(context.store)
    context.mirror = Mirror(context.way, TOPIC)
    context.told = {}


def read(context):
    outcome = context.loop.run_until_complete(context.mirror.catch_up())
    if isinstance(outcome, CaughtUp):
        context.told |= {row.key: row.payload for row in outcome.changed}
    return outcome


@when('the topic is read until a page gets no answer')
def read_some(context):
    assert read(context) == StoreUnknown('lost')


@when('the topic is read until all of it is there')
def read_all(context):
    tries = (read(context) for _ in range(MOST_TRIES))
    assert any(isinstance(one, CaughtUp) for one in tries)


@when('it changes, and is read until all of it is there')
def change(context):
    context.store.topic(TOPIC).records += CHANGES
    read_all(context)


@then('each page was answered once')
def once(context):
    pages = context.way.pages
    assert len(pages) == len(set(pages)) == context.pages, pages


@then('the copy is the topic')
def same(context):
    rows = context.store.topic(TOPIC).records
    newest = {key: raw for key, raw in rows}
    wanted = {key: raw for key, raw in newest.items() if raw is not None}
    assert context.mirror.payload_by_key == wanted


@then('the changes were told')
def told(context):
    told = [KeyedRecord(row.key, context.told[row.key]) for row in CHANGES]
    assert told == list(CHANGES), told
