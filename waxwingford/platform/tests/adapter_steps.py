"""Steps for the adapter, against stand-ins on loopback."""

import asyncio
import base64
import json
import socket
import struct

from aiohttp import web
from behave import given, then, when

from waxwingford.platform import _store
from waxwingford.platform._advice import AdviceClient
from waxwingford.platform._http_client import HttpClient
from waxwingford.platform._records import (
    decode_registration,
    decode_submission,
)
from waxwingford.platform._workers import PlatformWorkers
from waxwingford.scheduling import (
    Address,
    EndKind,
    LookOrder,
    RunKey,
    StartOrder,
    TaskKey,
)
from waxwingford.shard import (
    Fence,
    KeyedRecord,
)

HOST = '127.0.0.1'
RUN = RunKey(TaskKey('00000000000000aa', 0, 1, 2), 3)
LENGTH = struct.Struct('>I')
CONFIGURATION = {
    'version': 3,
    'routes': [
        {
            'name': 'r',
            'host': HOST,
            'path-prefix': '/q/',
            'service': 's',
            'max-attempts': 3,
        }
    ],
    'services': [],
    'limits': {'max-body-bytes': 1000},
}


class StandIn:
    """Store and worker in one, with one partition a topic."""

    def __init__(self):
        self.records = []
        self.fixed = None
        self.moved_to = ''
        self.queries = []

    async def answer(self, request):
        self.queries.append(dict(request.query))
        if self.fixed is not None:
            status, body = self.fixed
            return web.Response(status=status, text=body)
        if self.moved_to:
            raise web.HTTPTemporaryRedirect(self.moved_to)
        match request.path:
            case '/api/log-append':
                return await self.append(request)
            case '/api/log-read':
                return self.read(int(request.query['from']))
            case _:
                return self.newest()

    async def append(self, request):
        raw = await request.read()
        place = 0
        while place < len(raw):
            length = LENGTH.unpack_from(raw, place)[0]
            place += LENGTH.size
            self.records.append(raw[place : place + length])
            place += length
        return web.json_response({'offset': 0, 'end': len(self.records)})

    def read(self, first):
        head = struct.pack('>QQ', len(self.records), 0)
        rows = [LENGTH.pack(len(row)) + row for row in self.records[first:]]
        return web.Response(body=head + b''.join(rows))

    def newest(self):
        items = {}
        for offset, row in enumerate(self.records):
            key = row[1 : 1 + row[0]].decode()
            value = base64.b64encode(row[1 + row[0] :]).decode()
            items[key] = {'key': key, 'value': value, 'offset': offset}
        return web.json_response(
            {
                'items': list(items.values()),
                'has-more': False,
                'end': len(self.records),
            }
        )


async def serve(handler, work):
    runner = web.ServerRunner(web.Server(handler))
    await runner.setup()
    site = web.TCPSite(runner, HOST, 0)
    await site.start()
    port = runner.addresses[0][1]
    http_client = HttpClient()
    try:
        return await work(http_client, f'{HOST}:{port}')
    finally:
        await http_client.close()
        await runner.cleanup()


@given('a store and a worker on loopback')
def stand_in(context):
    context.stand_in = StandIn()
    context.address = None


def deserted():
    with socket.create_server((HOST, 0)) as listener:
        return f'{HOST}:{listener.getsockname()[1]}'


@given('an address at which nobody listens')
def nobody(context):
    context.address = deserted()


@given('a store that never answers')
def silent(context):
    listener = socket.create_server((HOST, 0))
    context.add_cleanup(listener.close)
    context.address = f'{HOST}:{listener.getsockname()[1]}'


def on_store(context, act):
    async def _work(http_client, address):
        return await act(
            _store.PlatformLog(http_client, context.address or address)
        )

    if context.address is None:
        return asyncio.run(serve(context.stand_in.answer, _work))

    async def _alone():
        http_client = HttpClient()
        try:
            return await _work(http_client, context.address)
        finally:
            await http_client.close()

    return asyncio.run(_alone())


def append(log):
    records = (KeyedRecord('a', b'1'), KeyedRecord('b', b'2'))
    return log.append('journal', records, Fence(7, 1))


@when('records of two keys are appended under an epoch')
def append_two(context):
    async def _work(log):
        await append(log)
        await log.append('journal', (KeyedRecord('a', b'3'),))
        read = await log.read('journal', 1, 0)
        return read, await log.newest('journal', '')

    found = on_store(context, _work)
    context.read = found[0]
    context.newest = found[1]


@then('they are read back in order')
def read_back(context):
    rows = [tuple(row) for row in context.read.records]
    assert rows == [(1, 'b', b'2'), (2, 'a', b'3')], rows
    assert context.read.next_offset == 3
    query = context.stand_in.queries[0]
    assert query['epoch'] == '7' and query['topic'] == 'keyed.journal', query


@then('the newest record of each key is read')
def newest_read(context):
    rows = sorted(tuple(row) for row in context.newest.records)
    assert rows == [(1, 'b', b'2'), (2, 'a', b'3')], rows


@when('the store answers {status:d} with {body}')
@when('the worker answers {status:d} with {body}')
def fixed_answer(context, status, body):
    context.stand_in.fixed = (status, body)


@when('the store sends callers on to where nobody listens')
def moved_store(context):
    context.stand_in.moved_to = f'http://{deserted()}/'


@then('the append\'s outcome is "{name}"')
def append_outcome(context, name):
    before = _store.APPEND_TIMEOUT_S
    _store.APPEND_TIMEOUT_S = 0.3
    try:
        outcome = on_store(context, append)
    finally:
        _store.APPEND_TIMEOUT_S = before
    assert type(outcome).__name__ == name, outcome


def on_worker(context, act):
    async def _work(http_client, address):
        return await act(PlatformWorkers(http_client), Address('i-1', address))

    return asyncio.run(serve(context.stand_in.answer, _work))


@then('the start\'s outcome is "{text}"')
def start_outcome(context, text):
    order = StartOrder(RUN, 'payload', 100, 7)
    found = on_worker(context, lambda way, where: way.start(where, order))
    shown = repr(found).replace('<Denial.', '').split(':')[0]
    shown = shown if shown.endswith(')') else f'{shown})'
    assert shown == text, (shown, text)


@then('the look lists a run and an end')
def looked(context):
    order = LookOrder(7, 4, 100, 0)
    found = on_worker(context, lambda way, where: way.look(where, order))
    assert found.running[0].run == RUN
    assert found.running[0].figure == 12
    assert found.ended[0].kind is EndKind.done
    assert found.clock_ms == 9


@then('the advice is "{name}"')
def advice(context, name):
    async def _work(http_client, address):
        return await AdviceClient(http_client, address).advise('s', ('i-1',))

    found = asyncio.run(serve(context.stand_in.answer, _work))
    assert type(found).__name__ == name, found


@when('a worker registers with the labels "{labels}"')
def register(context, labels):
    body = {
        'service': 's',
        'address': '127.0.0.1:1',
        'zone': 'z',
        'state': 'ready',
        'capacity': {'cpu': 8000, 'mem-mb': 16000},
        'labels': labels.split(),
    }
    raw = json.dumps(body).encode()
    context.registration = decode_registration('i-1', raw)


@then('its rack is "{rack}"')
@then('its rack is ""')
def rack_is(context, rack=''):
    assert context.registration.rack == rack, context.registration


@when('a submission with all fields is decoded')
def decode(context):
    step = {
        'count': 2,
        'cpu': 500,
        'mem-mb': 64,
        'gpu': 1,
        'estimate-ms': 9,
        'depends-on': [],
        'saves-progress': True,
        'gang': True,
        'same-rack': True,
        'required-label': 'l',
        'preferred-rack': 'r',
        'anti-affinity': 3,
        'allow-concurrent': True,
        'perpetual': True,
        'image': 'i',
        'target-ms': 4,
        'fills': True,
        'max-unavailable': 5,
        'unknown-field': 1,
    }
    body = {
        'spec': 'x',
        'steps': [step],
        'start-at-ms': 10,
        'interval-ms': 20,
        'repeat-count': 3,
    }
    context.submission = decode_submission(json.dumps(body).encode())


@then('its step says all of it')
def decoded(context):
    step = context.submission.step_specs()[0]
    assert step.needs == (500, 64, 1)
    assert (step.count, step.estimate_ms, step.label) == (2, 9, 'l')
    assert (step.near_rack, step.most_per_server) == ('r', 3)
    assert (step.image, step.target_ms, step.most_away) == ('i', 4, 5)
    flags = (step.saves, step.gang, step.one_rack, step.copies, step.lasting)
    assert all((*flags, step.fills))
    assert context.submission.repeat_count == 3
