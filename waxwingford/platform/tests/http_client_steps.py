"""Steps for the HTTP client against servers that misbehave."""

import asyncio
import contextlib
import socket
import threading
import time
from urllib import parse as url_parse

import uvloop
from behave import given, then, when
from hypothesis import given as drawn
from hypothesis import settings, strategies

from waxwingford.platform._http_client import (
    HttpClient,
    NoResponse,
    NotSent,
    _encode_query,
)
from waxwingford.platform._http_connections import MAX_BODY_BYTES

MS_PER_S = 1000
HOST = '127.0.0.1'
#: Texts without surrogates, which have no UTF-8.
TEXTS = strategies.text(strategies.characters(codec='utf-8'), max_size=8)
RESPONSES = {
    'no HTTP': b'nothing of the kind\r\n\r\n',
    'a cut body': b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut',
    'a body too large': b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'
    % (MAX_BODY_BYTES + 1)
    + bytes(MAX_BODY_BYTES + 1),
}


def serve(context, respond):
    """Run a server in threads, as the client's event loop is blocked."""
    listener = socket.create_server((HOST, 0))
    context.add_cleanup(listener.close)
    context.address = f'{HOST}:{listener.getsockname()[1]}'

    def accept():
        while True:
            try:
                peer, _ = listener.accept()
            except OSError:
                return
            threading.Thread(
                target=_converse, args=(peer, respond), daemon=True
            ).start()

    threading.Thread(target=accept, daemon=True).start()


def _converse(peer, respond):
    with peer:
        for number in range(100):
            request = peer.recv(65536)
            response = respond(number, request) if request else None
            if response is None:
                return
            try:
                peer.sendall(response)
            except OSError:
                return


def ok(body):
    return b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b' % (
        len(body),
        body,
    )


@given('an HTTP server that responds after {delay_ms:d} ms')
def serve_late(context, delay_ms):
    def respond(number, request):
        time.sleep(delay_ms / MS_PER_S)
        return ok(b'{}')

    serve(context, respond)


@given(
    'an HTTP server that responds after {delay_ms:d} ms with the path of'
    ' the request'
)
def serve_path(context, delay_ms):
    def respond(number, request):
        time.sleep(delay_ms / MS_PER_S)
        return ok(request.split()[1])

    serve(context, respond)


@given(
    'an HTTP server that closes each connection instead of a second response'
)
def serve_once(context):
    serve(context, lambda number, request: None if number else ok(b'{}'))


@given('an HTTP server that responds with {kind}')
def serve_malformed(context, kind):
    serve(context, lambda number, request: None if number else RESPONSES[kind])


def run(action):
    """Run on the event loop of the daemon."""

    async def _run():
        client = HttpClient()
        try:
            return await action(client)
        finally:
            await client.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(_run())


@when(
    'a request with a timeout of {timeout_ms:d} ms is sent and the event loop'
    ' is blocked for {blocked_ms:d} ms'
)
def send_on_blocked_loop(context, timeout_ms, blocked_ms):
    async def _send(client):
        loop = asyncio.get_running_loop()
        loop.call_later(0.03, time.sleep, blocked_ms / MS_PER_S)
        return await client.get(
            context.address, '/one', {}, timeout_ms / MS_PER_S
        )

    context.outcome = run(_send)


@when('a request with a timeout of {timeout_ms:d} ms is sent')
def send_one(context, timeout_ms):
    async def _send(client):
        return await client.post(
            context.address, '/one', {}, b'', timeout_ms / MS_PER_S
        )

    context.outcome = run(_send)


@when('two {method} requests are sent')
def send_two(context, method):
    async def _send(client):
        for _ in range(2):
            outcome = await (
                client.get(context.address, '/one', {}, 1)
                if method == 'GET'
                else client.post(context.address, '/one', {}, b'', 1)
            )
        return outcome

    context.outcome = run(_send)


@when('{count:d} requests with a timeout of {timeout_ms:d} ms are sent at once')
def send_many(context, count, timeout_ms):
    async def _send(client):
        return await asyncio.gather(
            *(
                client.post(
                    context.address, '/one', {}, b'', timeout_ms / MS_PER_S
                )
                for _ in range(count)
            )
        )

    context.outcomes = run(_send)


@when('a request is cancelled after {after_ms:d} ms and another one is sent')
def cancel_and_send(context, after_ms):
    async def _send(client):
        first = asyncio.ensure_future(
            client.get(context.address, '/first', {}, 1)
        )
        await asyncio.sleep(after_ms / MS_PER_S)
        first.cancel()
        return await client.get(context.address, '/second', {}, 1)

    context.outcome = run(_send)


ADDRESS_BY_NAME = {
    '300 digits and a port': f'{"1" * 300}:8080',
    'nothing at all': '',
}


@when('a request is sent to the address "{address}"')
def send_to_address(context, address):
    async def _send(client):
        return await client.post(
            ADDRESS_BY_NAME.get(address, address), '/one', {}, b'', 0.3
        )

    context.outcome = run(_send)


@then('a request to any address that has no server is not sent')
def send_to_any_address(context):
    # No digits, so that no address names a server that runs here.
    texts = strategies.text(
        strategies.sampled_from('.:[]/@%\x00 a\u0661\u00e9\u20ac'), max_size=8
    )

    async def _send_all(client, addresses):
        return [
            await client.get(address, '/one', {}, 0.3) for address in addresses
        ]

    @settings(max_examples=40)
    @drawn(strategies.lists(texts.map(lambda text: f'{text}:1'), max_size=5))
    def _check(addresses):
        outcomes = run(lambda client: _send_all(client, addresses))
        assert all(isinstance(one, NotSent) for one in outcomes), outcomes

    _check()


@when(
    '{count:d} requests whose content raises an error are made one after'
    ' the other'
)
def send_failing(context, count):
    context.failing_requests = count


def _fail_to_encode(peer):
    raise UnicodeError('no UTF-8')


@when(
    'a request with a timeout of {timeout_ms:d} ms is sent by the same client'
)
def send_after_failing(context, timeout_ms):
    async def _send(client):
        for _ in range(context.failing_requests):
            with contextlib.suppress(UnicodeError):
                await client.post_json_to_peer(
                    context.address, '/one', _fail_to_encode, {}, 1
                )
        return await client.post(
            context.address, '/one', {}, b'', timeout_ms / MS_PER_S
        )

    context.outcome = run(_send)


@then('the outcome of the request is {name}')
def check_outcome(context, name):
    assert type(context.outcome).__name__ == name, context.outcome


@then('one outcome is NotSent and the others are NoResponse')
def check_not_sent(context):
    kinds = [type(outcome) for outcome in context.outcomes]
    assert kinds.count(NotSent) == 1, context.outcomes
    assert kinds.count(NoResponse) == len(kinds) - 1, context.outcomes


@then('the response is that of the second request')
def check_response(context):
    assert context.outcome.body == b'/second', context.outcome


@when('queries of any names and texts are encoded')
def encode_queries(context):
    context.queries = []

    @settings(max_examples=300, deadline=None, database=None, derandomize=True)
    @drawn(strategies.dictionaries(TEXTS, TEXTS, max_size=4))
    def encode(query):
        context.queries.append((query, _encode_query(query)))

    encode()


@then('each of them is decoded to the same names and texts')
def queries_decoded(context):
    assert context.queries, 'no query was encoded'
    for query, encoded in context.queries:
        assert encoded == url_parse.urlencode(query), (query, encoded)
        pairs = url_parse.parse_qsl(encoded, keep_blank_values=True)
        assert dict(pairs) == query, (query, encoded)
