"""Steps for entries and answers that others write."""

import asyncio
import copy
import json

import logbook
from behave import given, then, when
from hypothesis import given as drawn
from hypothesis import settings, strategies

from waxwingford.platform._adapter import UsersPlatform
from waxwingford.platform._http_client import HttpResponse
from waxwingford.platform._registrations import Registrations
from waxwingford.platform._store import PlatformLog
from waxwingford.platform._workers import PlatformWorkers
from waxwingford.ports import Resources
from waxwingford.scheduling import (
    Address,
    EndReport,
    Looked,
    LookOrder,
    OrderUnknown,
    RunningReport,
    ServerEntry,
)
from waxwingford.shard import NewestPage, RecordsRead, StoredRecord

ENTRY = {
    'service': 's',
    'address': '10.1.0.1:8000',
    'zone': 'z',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'warmup-left-ms': 0,
    'seq': 1,
    'capacity': {'cpu': 8000, 'mem-mb': 16000, 'gpu': 0},
    'labels': ['a', 'r1-2'],
}
LOOK = {
    'clock-ms': 5,
    'running': [['00000000000000aa.0.1.2', 3, 'c', 40, 12]],
    'ended-runs': [[7, '00000000000000aa.0.1.3', 1, 'done', '']],
}
CONFIGURATION = {'version': 3, 'routes': [], 'services': []}
PLACEHOLDERS = (None, -1, 0.5, 10**20, '', 'text', [], {}, True, [[]])
MOST_DRAWS = 300
OTHER_ID, FOREIGN_ID = 'i-1', 'i-2'


def encode(content):
    return json.dumps(content).encode()


def without(name):
    return encode({key: ENTRY[key] for key in ENTRY if key != name})


def changed(**fields):
    return encode({**ENTRY, **fields})


def capacity(name, amount):
    return changed(capacity={**ENTRY['capacity'], name: amount})


RAW_BY_FORM = {
    'has no service': without('service'),
    'has a number for its service': changed(service=7),
    'has no address': without('address'),
    'has an address without a port': changed(address='10.1.0.1'),
    'has an address with a port of 99999': changed(address='10.1.0.1:99999'),
    'has no state': without('state'),
    'has the state "resting"': changed(state='resting'),
    'has no capacity': without('capacity'),
    'has a capacity of text': capacity('cpu', 'much'),
    'has less than no memory': capacity('mem-mb', -1),
    'has labels of numbers': changed(labels=[1, 2]),
    'is cut short': encode(ENTRY)[:-9],
    'is a list': encode([ENTRY]),
    "isn't text": encode(ENTRY).replace(b'ready', b'\xff\xfe'),
}


def keep_lines(context):
    context.handler = logbook.TestHandler()
    context.handler.push_application()
    context.add_cleanup(context.handler.pop_application)


def lines_about(context, event):
    return [one for one in context.handler.records if one.message == event]


@given('registrations of two servers, one of which {form}')
def two_registrations(context, form):
    keep_lines(context)
    context.registrations = Registrations()
    context.raw_by_id = {
        OTHER_ID: encode(ENTRY),
        FOREIGN_ID: RAW_BY_FORM[form],
    }


@when('they are read')
@when('they are read {times:d} times')
def read(context, times=1):
    for _ in range(times):
        context.entries = context.registrations.read(context.raw_by_id)


@when('that one is written {times:d} times more, each time another way')
def write_more(context, times):
    for number in range(times):
        context.raw_by_id[FOREIGN_ID] = encode({'number': number})
        read(context)


@when('that one is mended')
def mend(context):
    context.raw_by_id[FOREIGN_ID] = encode(ENTRY)
    read(context)


@then('only the other one is named')
def other_named(context):
    assert [one.server_id for one in context.entries] == [OTHER_ID]


@then('both are named')
def both_named(context):
    ids = [one.server_id for one in context.entries]
    assert ids == [OTHER_ID, FOREIGN_ID], ids


@then('one line tells of a {kind} that was not read')
def one_line(context, kind):
    assert len(lines_about(context, f'{kind} not read')) == 1


@then('{least:d} to {most:d} lines tell of a registration that was not read')
def some_lines(context, least, most):
    count = len(lines_about(context, 'registration not read'))
    assert least <= count <= most, count


def places(content, path=()):
    """List the paths of all values in a JSON document."""
    yield path
    if isinstance(content, dict):
        for key in content:
            yield from places(content[key], (*path, key))
    if isinstance(content, list):
        for index, value in enumerate(content):
            yield from places(value, (*path, index))


def mutations_of(content):
    """Draw documents with some values replaced or dropped, or cut short."""
    change = strategies.tuples(
        strategies.sampled_from(list(places(content))),
        strategies.sampled_from((*PLACEHOLDERS, 'drop')),
    )
    return strategies.tuples(
        strategies.lists(change, min_size=1, max_size=3),
        strategies.sampled_from((0, 0, 0, 1, 10)),
    ).map(lambda drawn_one: mutated(content, *drawn_one))


def mutated(content, changes, cut):
    found = {'': copy.deepcopy(content)}
    for path, value in changes:
        replace(found, ('', *path), value)
    raw = encode(found.get(''))
    return raw[:-cut] if cut else raw


def replace(holder, path, value):
    *parents, last = path
    try:
        for part in parents:
            holder = holder[part]
        if value == 'drop':
            del holder[last]
        else:
            holder[last] = copy.deepcopy(value)
    except (LookupError, TypeError):
        # An earlier change has taken this place away.
        return


@then('mutated registrations name a whole server or none, and raise nothing')
def registrations_of_any_content(context):
    keep_lines(context)

    @settings(max_examples=MOST_DRAWS)
    @drawn(mutations_of(ENTRY))
    def check(raw):
        entries = Registrations().read({FOREIGN_ID: raw})
        assert len(entries) < 2
        for entry in entries:
            check_entry(entry)

    check()


def check_entry(entry):
    assert isinstance(entry, ServerEntry)
    assert isinstance(entry.service, str) and entry.service
    host, port = entry.endpoint.rsplit(':', 1)
    assert host and 0 < int(port) < 65536, entry
    assert isinstance(entry.capacity, Resources)
    assert all(
        isinstance(amount, int) and amount >= 0 for amount in entry.capacity
    ), entry
    assert all(isinstance(label, str) for label in entry.labels)


class FixedAnswer:
    """Calls that are all answered alike."""

    def __init__(self, body):
        self._body = body

    async def post_json(self, *_):
        return HttpResponse(200, self._body)

    async def get(self, *_):
        return HttpResponse(200, self._body)


@then(
    'mutated answers to a look are whole or not understood, and raise nothing'
)
def answers_of_any_content(context):
    @settings(max_examples=MOST_DRAWS)
    @drawn(mutations_of(LOOK))
    def check(raw):
        way = PlatformWorkers(FixedAnswer(raw))
        order = LookOrder(7, 0, None, 0)
        check_look(asyncio.run(way.look(Address('i-1', 'x:1'), order)))

    check()


def check_look(outcome):
    assert isinstance(outcome, (Looked, OrderUnknown)), outcome
    if isinstance(outcome, Looked):
        assert isinstance(outcome.clock_ms, int)
        for report in outcome.running:
            assert isinstance(report, RunningReport)
            check_run(report)
            assert isinstance(report.percent, (int, float))
            assert isinstance(report.figure, (int, float))
        for end in outcome.ended:
            assert isinstance(end, EndReport)
            assert isinstance(end.number, int)
            check_run(end)


def check_run(report):
    assert isinstance(report.run.run, int)
    assert isinstance(report.checkpoint, str)
    assert report.run.task.job_id, report


class FixedStore:
    """Log whose configuration a test writes."""

    def __init__(self):
        self.records = []

    def write(self, raw):
        self.records.append(StoredRecord(len(self.records), 'config', raw))

    async def newest(self, topic, after_key):
        return NewestPage(tuple(self.records), False, len(self.records))

    async def read(self, topic, from_offset, wait_ms):
        await asyncio.sleep(wait_ms / 1000)
        found = tuple(self.records[from_offset:])
        return RecordsRead(found, len(self.records), len(self.records))


class FixedEntry:
    configuration = None


@given('a store whose configuration can be read')
def readable_configuration(context):
    keep_lines(context)
    context.store = FixedStore()
    context.store.write(encode(CONFIGURATION))


@when("it is followed by one that can't be read, for {span_s:d} s")
def unreadable_configuration(context, span_s):
    context.versions = []

    async def follow():
        platform = UsersPlatform('127.0.0.1:1', '')
        platform.log = context.store
        platform._client_api = FixedEntry()
        following = asyncio.create_task(
            platform.follow_terms(
                lambda terms: context.versions.append(terms.version),
                lambda: None,
            )
        )
        await asyncio.sleep(0.1)
        context.store.write(b'{"version": "four"}')
        await asyncio.sleep(span_s)
        following.cancel()

    asyncio.run(follow())


@then('the former one is in force')
def former_in_force(context):
    assert set(context.versions) == {CONFIGURATION['version']}


BODY_BY_KEY = {
    'no key': b'\x00content',
    'nothing at all': b'',
    "a key that isn't text": b'\x02\xff\xfecontent',
}


@given('a store with a record that has {key}, and a sound one behind it')
def strange_key(context, key):
    keep_lines(context)
    bodies = (BODY_BY_KEY[key], b'\x01kcontent')
    framed = [len(body).to_bytes(4, 'big') + body for body in bodies]
    head = (2).to_bytes(8, 'big') + (0).to_bytes(8, 'big')
    context.body = head + b''.join(framed)


@when('the topic is read')
def read_topic(context):
    log = PlatformLog(FixedAnswer(context.body), 'x:1')
    context.read = asyncio.run(log.read('servers', 0, 0))


@then('the sound one is read, at its offset')
def sound_one_read(context):
    assert isinstance(context.read, RecordsRead), context.read
    assert context.read.records[-1] == StoredRecord(1, 'k', b'content')
