"""Steps for the budget of connections."""

import asyncio
import contextlib
import functools
import gc
import ssl
from asyncio.sslproto import SSLProtocol
from http import HTTPStatus

import parse
from behave import given, register_type, then, when
from grpclib.client import Channel
from grpclib.exceptions import StreamTerminatedError
from h2.config import H2Configuration
from h2.connection import H2Connection

from waxwingford.http_server import Request
from waxwingford.inbound import (
    Account,
    Activity,
    Budget,
    BudgetReport,
    Listener,
    Reservation,
    Share,
    derive_scheduler_shares,
)
from waxwingford.inbound.grpc_server import BoundedServer
from waxwingford.inbound.tls_gate import TlsGate
from waxwingford.metrics import Metrics
from waxwingford.shard import queries_pb2 as wire
from waxwingford.shard._intake import Stored
from waxwingford.shard._peers import QueryService
from waxwingford.shard.queries_grpc import ShardQueriesStub

HOST = '127.0.0.1'
BYTES_PER_MB = 1_000_000
SETTLE_S = 0.2
HANDSHAKE_BEGINS_S = 0.02


@parse.with_pattern(r"can't|can")
def parse_can(text):
    return text == 'can'


@parse.with_pattern('nobody|[a-d](?:, [a-d])*')
def parse_names(text):
    return [] if text == 'nobody' else text.split(', ')


register_type(Can=parse_can, Names=parse_names)


class Connection:
    """A connection that notes its eviction."""

    def __init__(self, account):
        self.closed = False
        self.holder = account.open(self._evict)
        self.reservation = self.holder and Reservation(self.holder)

    def _evict(self):
        self.closed = True
        self.reservation.release()
        self.holder.close()


class Stores:
    """Handler of calls that stores everything."""

    def __init__(self):
        self.sizes = []

    async def store_directly(self, row, deadline_s):
        self.sizes.append(len(row.raw))
        return Stored()


@given('a share of {size:d} bytes and {count:d} connections')
def create_account(context, size, count):
    context.now_s = 100.0
    context.account = Account(Share(size, count), lambda: context.now_s)
    context.connection_by_name = {}


@given('the connections {names:Names}')
def open_connections(context, names):
    for name in names:
        context.connection_by_name[name] = Connection(context.account)
        context.now_s += 0.001


@when('{names:Names} reserve {size:d} bytes')
@when('{names:Names} reserves {size:d} bytes and is closed')
def reserve(context, names, size):
    for name in names:
        assert context.connection_by_name[name].reservation.grow(size)
    if len(names) == 1:
        context.connection_by_name[names[0]].holder.close()


@when('the reservation of {name:w} is released')
def release(context, name):
    context.connection_by_name[name].reservation.release()


@when('a is {first:w}, b is {second:w}, c is {third:w}')
def begin(context, first, second, third):
    for name, activity in zip('abc', (first, second, third), strict=True):
        holder = context.connection_by_name[name].holder
        holder.begin(Activity[activity])
        context.now_s += 0.001


@when('the requests of {names:Names} are handled')
def handle(context, names):
    for name in names:
        context.connection_by_name[name].holder.begin(Activity.busy)


@when('{span_s:g} s pass in which {names:Names} makes progress')
def pass_time(context, span_s, names):
    context.now_s += span_s
    for name in names:
        context.connection_by_name[name].holder.progress()


@then('{name:w} {can:Can} reserve {size:d} bytes')
def check_reserved(context, name, can, size):
    request = Request('POST', '/', {}, 0, keep_alive=True)
    request.reservation = context.connection_by_name[name].reservation
    found = request.reserve(size)
    assert (found is HTTPStatus.OK) is can, found


@when("{name:w} can't reserve {size:d} bytes, {count:d} times")
def refuse(context, name, size, count):
    for _ in range(count):
        check_reserved(context, name, can=False, size=size)


@then('another connection {can:Can} be opened')
def check_opened(context, can):
    assert (Connection(context.account).holder is not None) is can


@then('{names:Names} is closed')
def check_closed(context, names):
    closed = [
        name for name, one in context.connection_by_name.items() if one.closed
    ]
    assert closed == names, closed


@then('{size:d} bytes are used')
def check_used(context, size):
    assert context.account.used_bytes == size, context.account.used_bytes


@then('{size:d} bytes were used after that')
def check_used_after_calls(context, size):
    assert context.used_bytes == size, context.used_bytes


@when('{memory_mb:d} MB and {descriptors:d} descriptors are divided')
def divide(context, memory_mb, descriptors):
    context.whole = Share(memory_mb * BYTES_PER_MB, descriptors)
    context.shares = derive_scheduler_shares(memory_mb, descriptors)


@then(
    'the shares take at most a third of the memory and {part:g} of the descriptors'
)
def check_division(context, part):
    shares = context.shares.values()
    taken = sum(share.max_bytes for share in shares)
    assert taken <= context.whole.max_bytes / 3, taken
    opened = sum(share.max_connections for share in shares)
    assert opened <= context.whole.max_connections * part, opened


@then('callers have {count:d} connections, and one of them {size:d} bytes')
def check_callers(context, count, size):
    share = context.shares[Listener.callers]
    assert share.max_connections == count, share
    assert Account(share).connection_bytes == size, share


@then('one line tells of {count:d} refusals, and the metrics count them')
def check_report(context, count):
    budget = Budget({})
    budget.account_by_listener[Listener.callers] = context.account
    metrics, lines = Metrics(), []
    report = BudgetReport(
        budget, metrics, lambda event, **fields: lines.append((event, fields))
    )
    report.report()
    report.report()
    assert [event for event, _ in lines] == ['inbound.limited'], lines
    assert lines[0][1]['count_by_cause'] == {'callers.memory': count}, lines
    counter = 'inbound_refused_total{cause="memory",listener="callers"}'
    assert f'{counter} {count}' in metrics.render()


@given('a server of calls with that share')
def create_server(context):
    context.stores = Stores()


async def run_server(context, act):
    server = BoundedServer([QueryService(context.stores)], context.account)
    await server.start(HOST, 0)
    port = server._server.sockets[0].getsockname()[1]
    await act(port)
    await asyncio.sleep(SETTLE_S)
    context.used_bytes = context.account.used_bytes
    server.close()


@when('a daemon stores {first:d} and {second:d} bytes on one connection')
def store_rows(context, first, second):
    async def _store(port):
        context.channel = Channel(HOST, port)
        stub = ShardQueriesStub(context.channel)
        for size in (first, second):
            request = wire.StoreRequest(job=bytes(size), left_ms=1000)
            with contextlib.suppress(StreamTerminatedError):
                await stub.Store(request, timeout=1)

    asyncio.run(run_server(context, _store))


@then('only the first is stored')
def check_stored(context):
    assert context.stores.sizes == [1000], context.stores.sizes


def begin_calls(context, count, headers, *, resets):
    names = (':method', 'POST'), (':scheme', 'http'), (':authority', 'x')
    service = ':path', '/waxwingford.shard.ShardQueries/Store'
    kind = ('te', 'trailers'), ('content-type', 'application/grpc')

    async def _begin(port):
        context.streams = await asyncio.open_connection(HOST, port)
        writer = context.streams[1]
        peer = H2Connection(H2Configuration(client_side=True))
        peer.initiate_connection()
        for stream_id in range(1, 2 * count, 2):
            peer.send_headers(stream_id, (*names, service, *kind, *headers))
            if resets:
                peer.reset_stream(stream_id)
        writer.write(peer.data_to_send())
        await writer.drain()

    asyncio.run(run_server(context, _begin))


@when('a daemon begins {count:d} calls and resets each of them')
def reset_calls(context, count):
    begin_calls(context, count, (), resets=True)


@when('a daemon begins {count:d} calls with headers of {size:d} bytes')
def begin_large_calls(context, count, size):
    begin_calls(context, count, [('x-filler', 'x' * size)], resets=False)


@then('some of them were refused for memory')
def check_refused_calls(context):
    assert context.account.count_by_event['memory']


@when(
    '{count:d} connections to a TLS listener {end} while no garbage is collected'
)
def end_handshakes(context, count, end):
    async def _end_all():
        tls = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        gate = functools.partial(
            TlsGate, context.account, tls, asyncio.Protocol
        )
        server = await asyncio.get_running_loop().create_server(gate, HOST, 0)
        address = server.sockets[0].getsockname()
        writers = []
        for _ in range(count):
            _, writer = await asyncio.open_connection(*address)
            if end == 'send no TLS':
                writer.write(b'GET / HTTP/1.1\r\n\r\n')
            writers.append(writer)
            await asyncio.sleep(HANDSHAKE_BEGINS_S)
            if end == 'are left at once':
                writer.transport.abort()
        await asyncio.sleep(SETTLE_S)
        context.left = sum(
            isinstance(one, SSLProtocol) for one in gc.get_objects()
        )
        context.open = context.account.connections
        for writer in writers:
            writer.transport.abort()
        server.close()

    gc.collect()
    gc.disable()
    try:
        asyncio.run(_end_all())
    finally:
        gc.enable()


@then('none of their buffers is left in memory')
def check_buffers(context):
    assert context.left <= context.open <= 4, (context.left, context.open)
