"""Steps for the HTTP server, against raw connections on loopback."""

import asyncio
import gc
import itertools
import zlib

import httptools
from behave import given, then, when

from waxwingford.http_server import HttpServer, Response, ServerLimits
from waxwingford.http_server._connection import ServerConnection

HOST = '127.0.0.1'
KIB = 1024
RESPONSE_TIMEOUT_S = 5
#: Time in which a connection that is to be closed has long been closed.
OPEN_AFTER_S = 0.3
LARGE_PATH = '/large'
LARGE_BODY = bytes(KIB * KIB)


class EchoHandler:
    def __init__(self):
        self.count = 0
        self.started = asyncio.Event()
        self.released = asyncio.Event()

    async def handle(self, request):
        self.count += 1
        match request.path:
            case '/fail':
                raise ValueError('handler failed')
            case '/slow':
                self.started.set()
                await self.released.wait()
            case '/large':
                return Response(body=LARGE_BODY)
        text = f'{request.method} {request.path} {request.body.decode()}'
        response = Response(body=text.strip().encode())
        response.close = request.path == '/last'
        return response


class Responses:
    """Parses the responses that a client has received."""

    def __init__(self):
        self.texts = []
        self.told_to_close = False
        self.body = b''
        self.parser = httptools.HttpResponseParser(self)

    def on_header(self, name, text):
        closing = (name.lower(), text) == (b'connection', b'close')
        self.told_to_close = self.told_to_close or closing

    def on_body(self, part):
        self.body += part

    def on_message_complete(self):
        status = self.parser.get_status_code()
        self.texts.append(f'{status} {self.body.decode()}'.strip())
        self.body = b''


async def receive(reader, expected=None):
    """Read until as many responses as expected or the end."""
    responses = Responses()
    closed = False
    try:
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            while expected is None or len(responses.texts) < expected:
                raw = await reader.read(KIB * KIB)
                if not raw:
                    closed = True
                    break
                responses.parser.feed_data(raw)
    except TimeoutError:
        closed = False
    return responses, closed


async def is_closed(reader):
    try:
        return not await asyncio.wait_for(reader.read(1), OPEN_AFTER_S)
    except TimeoutError:
        return False


async def send_all(writer, parts):
    for part in parts:
        writer.write(part)
        await writer.drain()


@given('an HTTP server that echoes each request')
def create_echo_server(context):
    context.limits = ServerLimits()


@given('an HTTP server that echoes each request, with timeouts of {span_s:g} s')
def create_impatient_server(context, span_s):
    context.limits = ServerLimits(request_s=span_s, idle_s=span_s)


def exchange(context, parts, is_head=False):
    async def _exchange():
        server = HttpServer(EchoHandler().handle, context.limits)
        await server.serve(f'{HOST}:0')
        reader, writer = await asyncio.open_connection(
            *server.addresses[0].split(':')
        )
        await send_all(writer, parts)
        raw = await read_available(reader)
        context.closed = reader.at_eof()
        writer.close()
        await server.close()
        return raw

    context.raw = asyncio.run(_exchange())
    context.responses = parse_responses(context.raw, is_head)


async def read_available(reader):
    raw = b''
    try:
        while True:
            part = await asyncio.wait_for(reader.read(KIB), OPEN_AFTER_S)
            if not part:
                break
            raw += part
    except TimeoutError:
        return raw
    return raw


def parse_responses(raw, is_head):
    if is_head:
        return [raw.split()[1].decode()]
    responses = Responses()
    responses.parser.feed_data(raw)
    return responses.texts


@when('a client sends "{sent}" byte by byte')
def send_slowly(context, sent):
    raw = unescape(sent)
    exchange(context, [raw[index : index + 1] for index in range(len(raw))])


@when('a client sends "{sent}"')
@when('a client sends ""')
def send_text(context, sent=''):
    exchange(context, [unescape(sent)], sent.startswith('HEAD'))


def unescape(text):
    return text.replace(r'\r\n', '\r\n').encode()


def compressed_request(encoding, wbits, body):
    encoder = zlib.compressobj(wbits=wbits)
    encoded = encoder.compress(body) + encoder.flush()
    head = (
        f'POST / HTTP/1.1\r\nContent-Encoding: {encoding}\r\n'
        f'Content-Length: {len(encoded)}\r\n\r\n'
    )
    return head.encode() + encoded


WBITS_BY_ENCODING = {
    'gzip': 31,
    'deflate': 15,
    'deflate without header': -15,
}


@when('a client sends the body "{body}" encoded as {encoding}')
def send_compressed(context, body, encoding):
    wbits = WBITS_BY_ENCODING[encoding]
    request = compressed_request(encoding.split()[0], wbits, body.encode())
    exchange(context, [request])


LARGE_CHUNK = b'%x\r\n%s\r\n' % (KIB * KIB, LARGE_BODY)
PARTS_BY_DESCRIPTION = {
    'a header of 200 KiB': [
        b'GET / HTTP/1.1\r\na: ',
        *itertools.repeat(b'x' * KIB, 200),
        b'\r\n\r\n',
    ],
    'many headers of 200 KiB together': [
        b'GET / HTTP/1.1\r\n',
        *itertools.repeat(b'a: %s\r\n' % (b'x' * KIB), 200),
        b'\r\n',
    ],
    'a URL of 200 KiB': [
        b'GET /',
        *itertools.repeat(b'x' * KIB, 200),
        b' HTTP/1.1\r\n\r\n',
    ],
    'a body of 4 MiB, with its length': [
        b'POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n' % (4 * KIB * KIB),
        *itertools.repeat(LARGE_BODY, 4),
    ],
    'a body of 4 MiB in chunks': [
        b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n',
        *itertools.repeat(LARGE_CHUNK, 4),
        b'0\r\n\r\n',
    ],
    'a body of 4 MiB, compressed': [
        compressed_request('gzip', WBITS_BY_ENCODING['gzip'], LARGE_BODY * 4)
    ],
}


@when('a client sends a {what}')
@when('a client sends many {what}')
def send_too_much(context, what):
    parts = next(
        parts
        for description, parts in PARTS_BY_DESCRIPTION.items()
        if description.endswith(what)
    )
    exchange(context, parts)


@then('it receives "{received}"')
@then('it receives ""')
def check_received(context, received=''):
    found = ', '.join(context.responses)
    assert found == received, context.raw


@then('the connection is {state}')
def check_connection(context, state):
    assert context.closed == (state == 'closed'), context.raw


@when(
    'the server is closed while one client waits for a response and one is idle'
)
def close_server(context):
    async def _close():
        handler = EchoHandler()
        server = HttpServer(handler.handle)
        await server.serve(f'{HOST}:0')
        host, port = server.addresses[0].split(':')
        idle = await asyncio.open_connection(host, port)
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(b'GET /slow HTTP/1.1\r\n\r\n')
        await handler.started.wait()
        closing = asyncio.create_task(server.close())
        idle_closed = await is_closed(idle[0])
        handler.released.set()
        received = await receive(reader)
        context.waiting = received[0]
        await closing
        context.all_closed = idle_closed and received[1]
        context.refused = await is_refused(host, port)
        idle[1].close()
        writer.close()

    asyncio.run(_close())


async def is_refused(host, port):
    try:
        await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return True
    return False


@then('the waiting client receives "{received}" and is told to close')
def check_waiting(context, received):
    assert context.waiting.texts == [received], context.waiting.texts
    assert context.waiting.told_to_close


@then('both connections are closed, and no new one is accepted')
def check_all_closed(context):
    assert context.all_closed
    assert context.refused


@when(
    '{count:d} clients send a request and leave while no garbage is collected'
)
def come_and_go(context, count):
    async def _visit(address):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b'GET / HTTP/1.1\r\n\r\n')
        await reader.read(1)
        writer.transport.abort()

    async def _visits():
        server = HttpServer(EchoHandler().handle)
        await server.serve(f'{HOST}:0')
        address = server.addresses[0].split(':')
        await asyncio.gather(*(_visit(address) for _ in range(count)))
        await asyncio.sleep(OPEN_AFTER_S)
        context.connections = [
            one for one in gc.get_objects() if isinstance(one, ServerConnection)
        ]
        await server.close()

    gc.collect()
    gc.disable()
    try:
        asyncio.run(_visits())
    finally:
        gc.enable()


@then('no connection is left in memory')
def check_connections(context):
    assert not context.connections, len(context.connections)


@when(
    'a client sends requests for {size_mib:d} MiB of responses and reads none'
)
def send_without_reading(context, size_mib):
    async def _send():
        handler = EchoHandler()
        server = HttpServer(handler.handle)
        await server.serve(f'{HOST}:0')
        host, port = server.addresses[0].split(':')
        streams = await asyncio.open_connection(host, port, limit=KIB)
        writer = streams[1]
        writer.write(f'GET {LARGE_PATH} HTTP/1.1\r\n\r\n'.encode() * size_mib)
        await asyncio.sleep(OPEN_AFTER_S)
        context.answered = handler.count
        context.requests = size_mib
        writer.transport.abort()
        await server.close()

    asyncio.run(_send())


@then('the server has answered at most a quarter of them')
def check_answered(context):
    assert 0 < context.answered <= context.requests / 4, context.answered
