"""Steps for the outcomes of the HTTP adapters, over real sockets."""

import asyncio
import contextlib
import socket

from behave import fixture, given, then, use_fixture, when

from waxwingford.adapters import HttpLog, HttpServers, open_platform
from waxwingford.kernel import UnknownPlugin
from waxwingford.ports import ControlRequest, ServiceCall

HOST = '127.0.0.1'
REQUEST_ID = 'request-1'
MATCHING_ID = f'Waxwingford-Request-Id: {REQUEST_ID}\r\n'
OTHER_ID = 'Waxwingford-Request-Id: request-2\r\n'
NOT_RUN = 'Waxwingford-Not-Run: 1\r\n'
BODY = 'whole answer'
TIMEOUT_S = 10


def http_response(status='200 OK', headers=MATCHING_ID, body=BODY, length=None):
    """Build a response, with ``length`` as its Content-Length if given."""
    size = len(body) if length is None else length
    return (
        f'HTTP/1.1 {status}\r\n{headers}Content-Length: {size}\r\n\r\n{body}'
    ).encode()


class ScriptedServer:
    """Sends scripted responses; ``None`` sends nothing, ``b''`` closes."""

    def __init__(self, *responses):
        self.requests = 0
        self._responses = list(responses)
        self._writers = []

    async def start(self):
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        return self.server.sockets[0].getsockname()[1]

    async def stop(self):
        self.server.close()
        for writer in self._writers:
            writer.close()

    async def _serve(self, reader, writer):
        self._writers.append(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while self._responses:
                await self._read_request(reader)
                scripted_response = self._responses.pop(0)
                if scripted_response is None:
                    await reader.read()
                writer.write(scripted_response or b'')
                await writer.drain()
        writer.close()

    async def _read_request(self, reader):
        head = await reader.readuntil(b'\r\n\r\n')
        self.requests += 1
        for line in head.decode().lower().splitlines():
            if line.startswith('content-length:'):
                await reader.readexactly(int(line.partition(':')[2]))


@fixture
def adapters_on_loop(context):
    """Create an event loop with adapters, and close them at the end."""
    with asyncio.Runner() as runner:
        context.loop_runner = runner
        context.servers = HttpServers()
        yield runner
        runner.run(context.servers.close())
        if context.scripted:
            runner.run(context.scripted.stop())


def start_scripted_server(context, *responses):
    context.scripted = ScriptedServer(*responses)
    use_fixture(adapters_on_loop, context)
    context.port = context.loop_runner.run(context.scripted.start())


@given('a server that returns the complete body "{body}"')
def returns_complete_body(context, body):
    start_scripted_server(context, http_response(body=body))


@given('a server that refuses connections')
def refuses_connections(context):
    context.scripted = None
    use_fixture(adapters_on_loop, context)
    with socket.create_server((HOST, 0)) as probe:
        context.port = probe.getsockname()[1]


@fixture
def full_backlog(context):
    """Fill the backlog of a listening socket that never accepts."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind((HOST, 0))
        listener.listen(0)
        for _ in range(4):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        yield listener.getsockname()[1]


@given('a server that does not accept connections')
def accepts_no_connection(context):
    context.scripted = None
    use_fixture(adapters_on_loop, context)
    context.port = use_fixture(full_backlog, context)


@given('a server that states that it did not run the request')
def states_not_run(context):
    start_scripted_server(
        context, http_response('503 Busy', NOT_RUN + MATCHING_ID)
    )


@given('a server that states that it did not run another request')
def states_other_not_run(context):
    start_scripted_server(
        context, http_response('503 Busy', NOT_RUN + OTHER_ID)
    )


@given('a server that never responds')
def never_responds(context):
    start_scripted_server(context, None)


@given('a server that closes the connection after the request')
def closes_after_request(context):
    start_scripted_server(context, b'')


@given('a server that truncates the response')
def truncates_response(context):
    start_scripted_server(context, http_response(length=2 * len(BODY)))


@given('a server that returns a response without a length')
def responds_without_length(context):
    head = f'HTTP/1.1 200 OK\r\nConnection: close\r\n{MATCHING_ID}\r\n'
    start_scripted_server(context, f'{head}{BODY}'.encode())


class EndlessServer(ScriptedServer):
    """Sends chunks until the connection is closed."""

    chunk = b'100000\r\n%b\r\n' % bytes(1 << 20)

    def __init__(self):
        super().__init__()
        self.sent_chunks = 0

    async def _serve(self, reader, writer):
        self._writers.append(writer)
        await self._read_request(reader)
        head = f'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n{MATCHING_ID}'
        writer.write(f'{head}\r\n'.encode())
        with contextlib.suppress(ConnectionError):
            while self.sent_chunks < 64:
                writer.write(self.chunk)
                await writer.drain()
                self.sent_chunks += 1


@given('a server that sends chunks of 1 MiB without end')
def sends_chunks(context):
    context.scripted = EndlessServer()
    use_fixture(adapters_on_loop, context)
    context.port = context.loop_runner.run(context.scripted.start())


@then('the server could send at most {most:d} MiB')
def check_sent(context, most):
    assert context.scripted.sent_chunks <= most, context.scripted.sent_chunks


@given('a server that responds to another request')
def responds_to_another(context):
    start_scripted_server(context, http_response(headers=OTHER_ID))


@given('a server that returns status {status:d}')
def returns_status(context, status):
    start_scripted_server(
        context, http_response(f'{status} X', 'Retry-After: 3\r\n')
    )


@given('a server that closes the connection after the second request')
def closes_after_second_request(context):
    start_scripted_server(context, http_response(), b'')


def send_request(context, deadline_ms=2000, path='p'):
    call = ServiceCall(REQUEST_ID, 'dispatcher', path, b'{}', deadline_ms)
    coroutine = context.servers.serve(HOST, context.port, call)
    context.outcome = run_with_timeout(context, coroutine)


def run_with_timeout(context, coroutine):
    """Run with a timeout, so that a hanging adapter fails the test."""
    return context.loop_runner.run(asyncio.wait_for(coroutine, TIMEOUT_S))


@when('a service request is sent with a deadline of {deadline_ms:d} ms')
def send_with_deadline(context, deadline_ms):
    send_request(context, deadline_ms)


@when('the path "{path}" is requested')
def request_path(context, path):
    send_request(context, path=path)


@when('two service requests are sent one after the other')
def send_two(context):
    send_request(context)
    send_request(context)


@when('a control exchange is sent with a timeout of {timeout_ms:d} ms')
def send_control(context, timeout_ms):
    coroutine = context.servers.control(
        HOST, context.port, ControlRequest('a#1', 0, 1000), timeout_ms
    )
    context.outcome = run_with_timeout(context, coroutine)


@when('a record is appended over HTTP')
def append_record(context):
    log = HttpLog(f'http://{HOST}:{context.port}', 400)

    async def _append():
        try:
            return await log.append('domain/d', b'record')
        finally:
            await log.close()

    context.outcome = run_with_timeout(context, _append())


@when('a platform is opened at "{url}"')
def open_at(context, url):
    context.error = ''
    try:
        open_platform(url, url, 100)
    except UnknownPlugin as error:
        context.error = str(error)


@then('its outcome is "{name}"')
def outcome_is(context, name):
    assert type(context.outcome).__name__ == name, context.outcome


@then('the control outcome is "{name}" and "{sent}"')
def outcome_and_sent(context, name, sent):
    outcome_is(context, name)
    assert context.outcome.not_sent == (sent == 'not sent'), context.outcome


@then(
    '{mismatched:d} mismatched and {truncated:d} truncated responses '
    'are counted'
)
def discarded_counted(context, mismatched, truncated):
    counts = context.servers.discarded_responses
    assert (counts.mismatched, counts.truncated) == (mismatched, truncated), (
        counts
    )


@then('the server received no request')
def received_none(context):
    assert not context.scripted.requests


@then('the server received {count:d} requests')
def received_requests(context, count):
    assert context.scripted.requests == count, context.scripted.requests


@then('the retry delay of the append is {retry_ms:d} ms')
def append_retry_delay(context, retry_ms):
    assert context.outcome.retry_after_ms == retry_ms, context.outcome


@then('the platform error says "{text}"')
def platform_error(context, text):
    assert text in context.error, context.error
