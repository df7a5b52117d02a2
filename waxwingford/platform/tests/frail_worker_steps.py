"""Steps for workers that lose calls, connections or themselves."""

import asyncio
import socket
import struct

from behave import given, then

from waxwingford.platform._http_client import HttpClient
from waxwingford.platform._workers import PlatformWorkers
from waxwingford.platform.tests.adapter_steps import HOST, RUN, deserted
from waxwingford.scheduling import (
    Address,
    LookOrder,
    StartOrder,
)


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
    http_client = HttpClient()
    way = PlatformWorkers(http_client)
    where = Address('i-1', address or await worker.serve())
    try:
        if worker.calls_left:
            await way.look(where, LookOrder(7, 0, None, 0))
            # Until a connection that the worker has closed is seen as closed.
            await asyncio.sleep(0.05)
        return await way.start(where, StartOrder(RUN, 'payload', 100, 7))
    finally:
        await http_client.close()


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
