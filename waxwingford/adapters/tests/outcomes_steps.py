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
OWN_ID = f'Waxwingford-Request-Id: {REQUEST_ID}\r\n'
OTHER_ID = 'Waxwingford-Request-Id: request-2\r\n'
NOT_RUN = 'Waxwingford-Not-Run: 1\r\n'
WHOLE = 'whole answer'
CAP_S = 10


def answer(status='200 OK', headers=OWN_ID, body=WHOLE, length=None):
    """Write an answer; ``length`` may lie."""
    size = len(body) if length is None else length
    return (
        f'HTTP/1.1 {status}\r\n{headers}Content-Length: {size}\r\n\r\n{body}'
    ).encode()


class ScriptedServer:
    """Answers requests with canned bytes; ``None`` means silence."""

    def __init__(self, *answers):
        self.requests = 0
        self._answers = list(answers)
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
            while self._answers:
                await self._read_request(reader)
                canned = self._answers.pop(0)
                if canned is None:
                    await reader.read()
                writer.write(canned or b'')
                await writer.drain()
        writer.close()

    async def _read_request(self, reader):
        head = await reader.readuntil(b'\r\n\r\n')
        self.requests += 1
        for line in head.decode().lower().splitlines():
            if line.startswith('content-length:'):
                await reader.readexactly(int(line.partition(':')[2]))


@fixture
def adapter_loop(context):
    """Give an event loop with adapters that are closed at the end."""
    with asyncio.Runner() as runner:
        context.loop_runner = runner
        context.servers = HttpServers()
        yield runner
        runner.run(context.servers.close())
        if context.scripted:
            runner.run(context.scripted.stop())


def serve_script(context, *answers):
    """Start a scripted server."""
    context.scripted = ScriptedServer(*answers)
    use_fixture(adapter_loop, context)
    context.port = context.loop_runner.run(context.scripted.start())


@given('a server that answers "{body}" in full')
def answers_in_full(context, body):
    serve_script(context, answer(body=body))


@given('a server that refuses connections')
def refuses_connections(context):
    context.scripted = None
    use_fixture(adapter_loop, context)
    with socket.create_server((HOST, 0)) as probe:
        context.port = probe.getsockname()[1]


@fixture
def full_backlog(context):
    """Fill the queue of a socket that accepts nothing."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind((HOST, 0))
        listener.listen(0)
        for _ in range(4):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        yield listener.getsockname()[1]


@given('a server that takes no connection')
def takes_no_connection(context):
    context.scripted = None
    use_fixture(adapter_loop, context)
    context.port = use_fixture(full_backlog, context)


@given('a server that says that it did not run the request')
def says_not_run(context):
    serve_script(context, answer('503 Busy', NOT_RUN + OWN_ID))


@given('a server that says that it did not run another request')
def says_other_not_run(context):
    serve_script(context, answer('503 Busy', NOT_RUN + OTHER_ID))


@given('a server that never answers')
def never_answers(context):
    serve_script(context, None)


@given('a server that hangs up after the request')
def hangs_up(context):
    serve_script(context, b'')


@given('a server that breaks the answer off half way')
def breaks_off(context):
    serve_script(context, answer(length=2 * len(WHOLE)))


@given('a server that answers without a length')
def answers_without_length(context):
    head = f'HTTP/1.1 200 OK\r\nConnection: close\r\n{OWN_ID}\r\n'
    serve_script(context, f'{head}{WHOLE}'.encode())


@given('a server that answers another request')
def answers_another(context):
    serve_script(context, answer(headers=OTHER_ID))


@given('a server that answers with status {status:d}')
def answers_with_status(context, status):
    serve_script(context, answer(f'{status} X', 'Retry-After: 3\r\n'))


@given('a server that answers one request and hangs up on the next')
def answers_one(context):
    serve_script(context, answer(), b'')


def send_request(context, deadline_ms=2000, path='p'):
    """Send a service request and keep its outcome."""
    call = ServiceCall(REQUEST_ID, 'dispatcher', path, b'{}', deadline_ms)
    sending = context.servers.serve(HOST, context.port, call)
    context.outcome = run_capped(context, sending)


def run_capped(context, sending):
    """Run with a generous cap, so that a hanging adapter fails the test."""
    return context.loop_runner.run(asyncio.wait_for(sending, CAP_S))


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
    sending = context.servers.control(
        HOST, context.port, ControlRequest('a#1', 0, 1000), timeout_ms
    )
    context.outcome = run_capped(context, sending)


@when('a record is appended over HTTP')
def append_record(context):
    log = HttpLog(f'http://{HOST}:{context.port}', 400)

    async def _append():
        try:
            return await log.append('domain/d', b'record')
        finally:
            await log.close()

    context.outcome = run_capped(context, _append())


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


@then('{foreign:d} foreign and {cut_off:d} broken answers are counted')
def answers_counted(context, foreign, cut_off):
    dropped = context.servers.dropped
    assert (dropped.foreign, dropped.cut_off) == (foreign, cut_off), dropped


@then('the server saw no request')
def saw_none(context):
    assert not context.scripted.requests


@then('the server saw {count:d} requests')
def saw_requests(context, count):
    assert context.scripted.requests == count, context.scripted.requests


@then('it may be appended again after {retry_ms:d} ms')
def appended_again(context, retry_ms):
    assert context.outcome.retry_after_ms == retry_ms, context.outcome


@then('the platform error says "{text}"')
def platform_error(context, text):
    assert text in context.error, context.error
