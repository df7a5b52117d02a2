"""Steps for the adapter, against stand-ins on loopback."""

import asyncio
import base64
import json
import socket
import struct

from aiohttp import ClientSession, web
from behave import given, then, when

from waxwingford.platform import _store
from waxwingford.platform._advice import AdviceService
from waxwingford.platform._calls import Calls
from waxwingford.platform._entry import Entry
from waxwingford.platform._records import (
    decode_configuration,
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
    CancelNotKnown,
    Fence,
    JobNotKnown,
    KeyedRecord,
    Stored,
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
    calls = Calls()
    try:
        return await work(calls, f'{HOST}:{port}')
    finally:
        await calls.close()
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
    async def _work(calls, address):
        return await act(_store.PlatformLog(calls, context.address or address))

    if context.address is None:
        return asyncio.run(serve(context.stand_in.answer, _work))

    async def _alone():
        calls = Calls()
        try:
            return await _work(calls, context.address)
        finally:
            await calls.close()

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
    async def _work(calls, address):
        return await act(PlatformWorkers(calls), Address('i-1', address))

    return asyncio.run(serve(context.stand_in.answer, _work))


@then('the start\'s outcome is "{text}"')
def start_outcome(context, text):
    order = StartOrder(RUN, 'payload', 100, 7)
    found = on_worker(context, lambda way, where: way.start(where, order))
    shown = repr(found).replace('<Denial.', '').split(':')[0]
    shown = shown if shown.endswith(')') else f'{shown})'
    assert shown == text, (shown, text)


class FrailWorker:
    """Answers some calls, then does to connections what its fate says."""

    def __init__(self, fate):
        self.starts = 0
        self.calls_left = 0
        self.moved_to = deserted()
        self.close = self.reset
        match fate:
            case 'leaves after an earlier call':
                self.calls_left = 1
                self.close = self.part
            case 'resets a kept connection and leaves':
                self.calls_left = 2
            case 'never answers':
                self.close = self.hang
            case 'sends callers on to where nobody listens':
                self.close = self.send_on

    async def serve(self):
        self.server = await asyncio.start_server(self.talk, HOST, 0)
        return f'{HOST}:{self.server.sockets[0].getsockname()[1]}'

    async def talk(self, reader, writer):
        self.writer = writer
        while head := await self.head(reader):
            length = int(head.split(b'Content-Length: ')[1].split(b'\r\n')[0])
            await reader.readexactly(length)
            self.starts += b'/api/run-start' in head
            self.calls_left -= 1
            if self.calls_left > 0 or self.close == self.part:
                self.answer('200 OK', '')
            if self.calls_left <= 0:
                return await self.close()

    async def head(self, reader):
        try:
            return await reader.readuntil(b'\r\n\r\n')
        except (asyncio.IncompleteReadError, ConnectionError):
            return b''

    def answer(self, status, headers):
        body = b'{"clock-ms":7,"running":[],"ended-runs":[]}'
        length = f'Content-Length: {len(body)}'
        head = f'HTTP/1.1 {status}\r\n{headers}{length}\r\n\r\n'
        self.writer.write(head.encode() + body)

    async def reset(self):
        self.server.close()
        sock = self.writer.get_extra_info('socket')
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        self.writer.close()

    async def part(self):
        self.server.close()
        self.writer.close()

    async def hang(self):
        """Keep the connection, and say nothing."""

    async def send_on(self):
        place = f'Location: http://{self.moved_to}/\r\n'
        self.answer('307 Temporary Redirect', place)


@given('a worker that {fate}')
def frail_worker(context, fate):
    context.worker = FrailWorker(fate)
    context.address = None
    match fate:
        case 'nobody runs any more':
            context.address = deserted()
        case 'lets connections hang':
            context.address = full_listener(context)


def full_listener(context):
    """Listen where the queue of new connections is full.

    :param context: of the scenario, ends it.
    :returns: its address.
    """
    listener = socket.create_server((HOST, 0), backlog=0)
    context.add_cleanup(listener.close)
    for _ in range(3):
        caller = socket.socket()
        context.add_cleanup(caller.close)
        caller.setblocking(False)
        caller.connect_ex(listener.getsockname())
    return f'{HOST}:{listener.getsockname()[1]}'


async def start_at_frail(worker, address):
    calls = Calls()
    way = PlatformWorkers(calls)
    where = Address('i-1', address or await worker.serve())
    try:
        if worker.calls_left:
            await way.look(where, LookOrder(7, 0, None, 0))
            # Until a connection that the worker has closed is seen as closed.
            await asyncio.sleep(0.05)
        return await way.start(where, StartOrder(RUN, 'payload', 100, 7))
    finally:
        await calls.close()


@then(
    'a start is known as "{name}", and {count:d} starts have come to it',
)
def start_known(context, name, count):
    work = start_at_frail(context.worker, context.address)
    outcome = asyncio.run(work)
    assert context.worker.starts == count, context.worker.starts
    assert type(outcome).__name__ == name, outcome


@then('the connection of a start is known to have {been}')
def connection_known(context, been):
    outcome = asyncio.run(start_at_frail(context.worker, context.address))
    assert outcome.broken == (been == 'broken'), outcome


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
    async def _work(calls, address):
        return await AdviceService(calls, address).advise('s', ('i-1',))

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


class EmptyDesk:
    """Takes everything and knows nothing."""

    async def submit(self, spec, until_s):
        return Stored()

    async def cancel(self, job_id, until_s):
        return CancelNotKnown()

    async def phase(self, job_id):
        return JobNotKnown()

    async def pending(self, queue):
        return 4


@given('an entry with one queue, whose desk knows nothing')
def entry(context):
    context.entry = Entry(EmptyDesk())
    raw = json.dumps(CONFIGURATION).encode()
    context.entry.configuration = decode_configuration(raw)


@given('an entry without a configuration')
def bare_entry(context):
    context.entry = Entry(EmptyDesk())


@when('a client sends {method} to {path} with "{body}"')
@when('a client sends {method} to {path} with ""')
def send(context, method, path, body=''):
    async def _work(calls, address):
        async with ClientSession() as session:
            url = f'http://{address}{path}'
            async with session.request(method, url, data=body) as response:
                return response.status, dict(response.headers)

    found = asyncio.run(serve(context.entry.handle, _work))
    context.status = found[0]
    context.headers = found[1]


@then('the client is answered {status:d}')
def answered(context, status):
    assert context.status == status, context.status


@then('is told when to come back')
def come_back(context):
    assert context.headers['Retry-After'] == '1'
