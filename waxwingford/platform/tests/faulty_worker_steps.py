"""Steps for workers that drop requests or connections, or stop."""

import asyncio
import socket
import struct

from behave import given, then

from waxwingford.platform._http_client import HttpClient
from waxwingford.platform._workers import PlatformWorkers
from waxwingford.platform.tests.adapter_steps import HOST, RUN, unused_address
from waxwingford.scheduling import (
    Address,
    PollOrder,
    StartOrder,
)


class FaultyWorker:
    """Answers some requests, then shows the given fault."""

    def __init__(self, fault):
        self.starts = 0
        self.requests_left = 0
        self.redirect_address = unused_address()
        self.show_fault = self.reset
        match fault:
            case 'stops after an earlier request':
                self.requests_left = 1
                self.show_fault = self.disconnect
            case 'resets a reused connection and stops':
                self.requests_left = 2
            case 'never responds':
                self.show_fault = self.hang
            case 'redirects to an address without a listener':
                self.show_fault = self.redirect

    async def serve(self):
        self.server = await asyncio.start_server(
            self.handle_connection, HOST, 0
        )
        return f'{HOST}:{self.server.sockets[0].getsockname()[1]}'

    async def handle_connection(self, reader, writer):
        self.writer = writer
        while head := await self.read_head(reader):
            length = int(head.split(b'Content-Length: ')[1].split(b'\r\n')[0])
            await reader.readexactly(length)
            self.starts += b'/api/run-start' in head
            self.requests_left -= 1
            if self.requests_left > 0 or self.show_fault == self.disconnect:
                self.respond('200 OK', '')
            if self.requests_left <= 0:
                return await self.show_fault()

    async def read_head(self, reader):
        try:
            return await reader.readuntil(b'\r\n\r\n')
        except (asyncio.IncompleteReadError, ConnectionError):
            return b''

    def respond(self, status, headers):
        body = b'{"clock-ms":7,"running":[],"ended-runs":[]}'
        length = f'Content-Length: {len(body)}'
        head = f'HTTP/1.1 {status}\r\n{headers}{length}\r\n\r\n'
        self.writer.write(head.encode() + body)

    async def reset(self):
        self.server.close()
        connection_socket = self.writer.get_extra_info('socket')
        connection_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        self.writer.close()

    async def disconnect(self):
        self.server.close()
        self.writer.close()

    async def hang(self):
        """Keep the connection open without a response."""

    async def redirect(self):
        location = f'Location: http://{self.redirect_address}/\r\n'
        self.respond('307 Temporary Redirect', location)


@given('a worker that {fault}')
def create_faulty_worker(context, fault):
    context.worker = FaultyWorker(fault)
    context.address = None
    match fault:
        case 'has stopped':
            context.address = unused_address()
        case 'accepts no connections':
            context.address = saturated_listener(context)


def saturated_listener(context):
    """Listen with a full backlog, so that new connections hang.

    :param context: scenario context that closes the sockets.
    """
    listener = socket.create_server((HOST, 0), backlog=0)
    context.add_cleanup(listener.close)
    for _ in range(3):
        client = socket.socket()
        context.add_cleanup(client.close)
        client.setblocking(False)
        client.connect_ex(listener.getsockname())
    return f'{HOST}:{listener.getsockname()[1]}'


async def start_run(worker, address):
    http_client = HttpClient()
    workers = PlatformWorkers(http_client)
    target = Address('i-1', address or await worker.serve())
    try:
        if worker.requests_left:
            await workers.poll(target, PollOrder(7, 0, None, 0))
            # Wait until the client has seen the worker close its connection.
            await asyncio.sleep(0.05)
        return await workers.start(target, StartOrder(RUN, 'payload', 100, 7))
    finally:
        await http_client.close()


@then(
    'a start ends as "{name}", and the worker has received {count:d} starts',
)
def check_start_outcome(context, name, count):
    start = start_run(context.worker, context.address)
    outcome = asyncio.run(start)
    assert context.worker.starts == count, context.worker.starts
    assert type(outcome).__name__ == name, outcome


@then('a start reports its connection as {state}')
def check_connection(context, state):
    outcome = asyncio.run(start_run(context.worker, context.address))
    assert outcome.connection_lost == (state == 'broken'), outcome
