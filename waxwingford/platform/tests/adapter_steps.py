"""Steps for the adapter, against a fake platform on loopback."""

import asyncio
import base64
import json
import socket
import struct

from aiohttp import web
from behave import given, then, when

from waxwingford.platform import _store
from waxwingford.platform._advice import PlatformAdviceClient
from waxwingford.platform._http_client import HttpClient
from waxwingford.platform._records import (
    decode_registration,
    decode_submission,
)
from waxwingford.platform._workers import PlatformWorkers
from waxwingford.scheduling import (
    Address,
    EndKind,
    OrderOutcomeUnknown,
    PollOrder,
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


class FakePlatform:
    """HTTP server that acts as store, worker and advice service."""

    def __init__(self):
        self.records = []
        self.fixed_response = None
        self.redirect_url = ''
        self.queries = []

    async def handle(self, request):
        self.queries.append(dict(request.query))
        if self.fixed_response is not None:
            status, body = self.fixed_response
            return web.Response(status=status, text=body)
        if self.redirect_url:
            raise web.HTTPTemporaryRedirect(self.redirect_url)
        match request.path:
            case '/api/log-append':
                return await self.append(request)
            case '/api/log-read':
                return self.read(int(request.query['from']))
            case _:
                return self.newest()

    async def append(self, request):
        raw = await request.read()
        position = 0
        while position < len(raw):
            length = LENGTH.unpack_from(raw, position)[0]
            position += LENGTH.size
            self.records.append(raw[position : position + length])
            position += length
        return web.json_response({'offset': 0, 'end': len(self.records)})

    def read(self, first_offset):
        head = struct.pack('>QQ', len(self.records), 0)
        rows = [
            LENGTH.pack(len(row)) + row for row in self.records[first_offset:]
        ]
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


async def run_with_server(handler, action):
    runner = web.ServerRunner(web.Server(handler))
    await runner.setup()
    site = web.TCPSite(runner, HOST, 0)
    await site.start()
    port = runner.addresses[0][1]
    http_client = HttpClient()
    try:
        return await action(http_client, f'{HOST}:{port}')
    finally:
        await http_client.close()
        await runner.cleanup()


@given('a fake platform on loopback')
def create_fake_platform(context):
    context.fake_platform = FakePlatform()
    context.address = None


def unused_address():
    with socket.create_server((HOST, 0)) as listener:
        return f'{HOST}:{listener.getsockname()[1]}'


@given('an address without a listener')
def use_unused_address(context):
    context.address = unused_address()


@given('a store that never responds')
def start_silent_store(context):
    listener = socket.create_server((HOST, 0))
    context.add_cleanup(listener.close)
    context.address = f'{HOST}:{listener.getsockname()[1]}'


def call_store(context, action):
    async def _call(http_client, address):
        return await action(
            _store.PlatformLog(http_client, context.address or address)
        )

    if context.address is None:
        return asyncio.run(run_with_server(context.fake_platform.handle, _call))

    async def _call_without_server():
        http_client = HttpClient()
        try:
            return await _call(http_client, context.address)
        finally:
            await http_client.close()

    return asyncio.run(_call_without_server())


def append(log):
    records = (KeyedRecord('a', b'1'), KeyedRecord('b', b'2'))
    return log.append('journal', records, Fence(7, 1))


@when('records of two keys are appended under an epoch')
def append_records(context):
    async def _call(log):
        await append(log)
        await log.append('journal', (KeyedRecord('a', b'3'),))
        read = await log.read('journal', 1, 0)
        return read, await log.read_newest('journal', '')

    result = call_store(context, _call)
    context.read = result[0]
    context.newest = result[1]


@then('they are read back in order')
def check_records_read(context):
    rows = [tuple(row) for row in context.read.records]
    assert rows == [(1, 'b', b'2'), (2, 'a', b'3')], rows
    assert context.read.next_offset == 3
    query = context.fake_platform.queries[0]
    assert query['epoch'] == '7' and query['topic'] == 'keyed.journal', query


@then('the newest record of each key is read')
def check_newest_read(context):
    rows = sorted(tuple(row) for row in context.newest.records)
    assert rows == [(1, 'b', b'2'), (2, 'a', b'3')], rows


@when('the store answers {status:d} with {body}')
@when('the worker answers {status:d} with {body}')
def set_fixed_response(context, status, body):
    context.fake_platform.fixed_response = (status, body)


@when('the store redirects to an address without a listener')
def set_redirect(context):
    context.fake_platform.redirect_url = f'http://{unused_address()}/'


@then('the append\'s outcome is "{name}"')
def check_append_outcome(context, name):
    timeout_s = _store.APPEND_TIMEOUT_S
    _store.APPEND_TIMEOUT_S = 0.3
    try:
        outcome = call_store(context, append)
    finally:
        _store.APPEND_TIMEOUT_S = timeout_s
    assert type(outcome).__name__ == name, outcome


def call_worker(context, action):
    async def _call(http_client, address):
        return await action(
            PlatformWorkers(http_client), Address('i-1', address)
        )

    return asyncio.run(run_with_server(context.fake_platform.handle, _call))


@then('the start\'s outcome is "{text}"')
def check_start_outcome(context, text):
    order = StartOrder(RUN, 'payload', 100, 7)
    result = call_worker(
        context, lambda workers, address: workers.start(address, order)
    )
    outcome_text = repr(result).replace('<RefusalReason.', '').split(':')[0]
    outcome_text = (
        outcome_text if outcome_text.endswith(')') else f'{outcome_text})'
    )
    assert outcome_text == text, (outcome_text, text)


@then('a poll returns a running and an ended run')
def check_poll(context):
    result = poll_worker(context)
    assert result.running[0].run == RUN
    assert result.running[0].measured_value == 12
    assert result.ended[0].kind is EndKind.done
    assert result.clock_ms == 9


@then('a poll returns {started_ms:d} as the start of the worker')
def check_start_of_worker(context, started_ms):
    assert poll_worker(context).started_ms == started_ms


@then('a poll has an unknown outcome')
def check_poll_not_read(context):
    outcome = poll_worker(context)
    assert isinstance(outcome, OrderOutcomeUnknown), outcome


def poll_worker(context):
    order = PollOrder(7, 4, 100, 0)
    return call_worker(
        context, lambda workers, address: workers.poll(address, order)
    )


@then('the advice is "{name}"')
def check_advice(context, name):
    async def _call(http_client, address):
        return await PlatformAdviceClient(http_client, address).advise(
            's', ('i-1',)
        )

    result = asyncio.run(run_with_server(context.fake_platform.handle, _call))
    assert type(result).__name__ == name, result


@when('a worker registers with the labels "{labels}"')
def register_worker(context, labels):
    register_fields(context, labels=labels.split())


@when('a worker registers with {listed} as remaining-ms and warmup-left-ms')
def register_durations(context, listed):
    if '*' in listed:
        digit, _, count = listed.partition('*')
        listed = digit * int(count)
    fields = dict.fromkeys(('remaining-ms', 'warmup-left-ms'), 'LISTED')
    # Python's encoder can't write numbers that are out of its range.
    context.registration = decode_registration(
        'i-1',
        encode_registration(**fields).replace(b'"LISTED"', listed.encode()),
    )


@then('its notice and its warm-up are {expected:d} ms')
def check_durations(context, expected):
    entry = context.registration
    assert entry.remaining_ms == entry.warm_up_ms == expected, entry


def register_fields(context, **fields):
    raw = encode_registration(**fields)
    context.registration = decode_registration('i-1', raw)


def encode_registration(**fields):
    body = {
        'service': 's',
        'address': '127.0.0.1:1',
        'zone': 'z',
        'state': 'ready',
        'capacity': {'cpu': 8000, 'mem-mb': 16000},
        **fields,
    }
    return json.dumps(body).encode()


@then('its rack is "{rack}"')
@then('its rack is ""')
def check_rack(context, rack=''):
    assert context.registration.rack == rack, context.registration


@when('a submission with all fields is decoded')
def decode_full_submission(context):
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


@then('its step has all fields')
def check_step(context):
    step = context.submission.step_specs()[0]
    assert step.needs == (500, 64, 1)
    assert (step.count, step.estimate_ms, step.label) == (2, 9, 'l')
    assert (step.near_rack, step.max_per_server) == ('r', 3)
    assert (step.image, step.target_ms, step.max_unavailable) == ('i', 4, 5)
    flags = (
        step.writes_checkpoints,
        step.gang,
        step.one_rack,
        step.copies,
        step.long_running,
    )
    assert all((*flags, step.best_effort))
    assert context.submission.repeat_count == 3
