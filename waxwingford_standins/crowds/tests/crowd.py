"""Crowds of clients that send what a daemon can't serve, and stay connected."""

import asyncio
import contextlib
import gzip
import itertools
import struct

from h2.config import H2Configuration
from h2.connection import H2Connection

from waxwingford_standins.tests.review_standins import world

#: Connections of a crowd, and how many of them are opened at a time.
CROWD = 250
OPENED_AT_ONCE = 50
#: Time in seconds for which one connection sends.
SEND_S = 2.0
BODY_BYTES = 262_144
PIECE_BYTES = 4096
CHUNK_BYTES = 65_536
ENDLESS_BYTES = 1 << 20
BODIES_IN_SUCCESSION = 12
TINY_REQUESTS = 12_000
JOB = '/jobs/'
_FRAME = struct.Struct('>I')
_MESSAGE = struct.Struct('>BI')
_numbers = itertools.count(1 << 60)


def job_path():
    """Return the path of a job that no other request names."""
    return f'{JOB}{next(_numbers):016x}'


def head(path, *lines, method='POST'):
    first = f'{method} {path} HTTP/1.1', f'Host: {world.HOST}'
    return '\r\n'.join((*first, *lines, '\r\n')).encode()


def announced(path, length):
    return head(path, f'Content-Length: {length}')


def padded(text, size=BODY_BYTES):
    """Return a body of legal size, most of it white space."""
    return text.ljust(size)


def submission(spec=b'900'):
    step = b'{"count":1,"cpu":1000,"mem-mb":64,"estimate-ms":900}'
    return b'{"spec":"%s","steps":[%s]}' % (spec, step)


def chunk(size=CHUNK_BYTES):
    return b'%x\r\n%s\r\n' % (size, b' ' * size)


def short_of_end(path):
    yield announced(path, BODY_BYTES)
    yield b' ' * (BODY_BYTES - 1)


def pieces(path):
    yield announced(path, BODY_BYTES)
    yield from itertools.repeat(
        b' ' * PIECE_BYTES, BODY_BYTES // PIECE_BYTES - 1
    )


def chunks(path):
    yield head(path, 'Transfer-Encoding: chunked')
    yield from itertools.repeat(chunk(), BODY_BYTES // CHUNK_BYTES)


def endless_chunks(path):
    yield head(path, 'Transfer-Encoding: chunked')
    yield from itertools.repeat(chunk(), ENDLESS_BYTES // CHUNK_BYTES)


def far_too_long(path):
    yield announced(path, 100_000_000)
    yield from itertools.repeat(b' ' * CHUNK_BYTES, 16)


def whole_body(path):
    yield announced(path, BODY_BYTES)
    yield padded(submission())


def bodies_in_succession(path):
    for _ in range(BODIES_IN_SUCCESSION):
        yield from whole_body(path)


def endless_head(path):
    yield head(path)[:-2]
    yield from itertools.repeat(b'X-Filler: %s\r\n' % (b'x' * 1000), 30)
    yield b'X-Last: '


def endless_trailer(path):
    yield head(path, 'Transfer-Encoding: chunked')
    yield b'0\r\nX-Last: '
    yield from itertools.repeat(b'x' * CHUNK_BYTES, 8)


def many_headers(path):
    yield head(path)[:-2]
    yield b''.join(b'h%x:\r\n' % number for number in range(4000))


def tiny_requests(path):
    yield head(path, method='GET') * TINY_REQUESTS


def compressed(path):
    body = gzip.compress(padded(submission()))
    one = head(path, 'Content-Encoding: gzip', f'Content-Length: {len(body)}')
    yield (one + body) * BODIES_IN_SUCCESSION


def many_objects(path):
    steps = b','.join(itertools.repeat(b'{}', (BODY_BYTES - 40) // 3))
    body = padded(b'{"spec":"","steps":[%s]}' % steps)
    yield announced(path, len(body)) + body


def unfinished_frame(_):
    yield _FRAME.pack(8 << 20).ljust(BODY_BYTES)


def nothing(_):
    yield b''


PARTS_BY_DEED = {
    'stop just short of the end of a body': short_of_end,
    'send a body in pieces and stop short of its end': pieces,
    'send a body in chunks and stop short of its end': chunks,
    'send chunks without end': endless_chunks,
    'announce a body of 100 MB': far_too_long,
    'send a whole body': whole_body,
    'send twelve whole bodies and read nothing': bodies_in_succession,
    'stop in a head': endless_head,
    'stop in a trailer': endless_trailer,
    'send thousands of headers': many_headers,
    'send thousands of requests and read nothing': tiny_requests,
    'send compressed bodies and read nothing': compressed,
    'send a body of thousands of objects': many_objects,
    'stop in a frame': unfinished_frame,
    'send nothing': nothing,
}


class Crowd:
    """Connections that stay open until they are closed.

    :ivar writers: those that were opened.
    """

    def __init__(self, endpoint):
        self.writers = []
        host, port = endpoint.rsplit(':', 1)
        self._address = host, int(port)

    async def act(self, deed, path):
        """Open all connections, and have each do one thing."""
        act = (
            self._stop_in_message
            if deed == 'stop in a message'
            else lambda writer, _: self._send(writer, PARTS_BY_DEED[deed], path)
        )
        for _ in range(CROWD // OPENED_AT_ONCE):
            await asyncio.gather(
                *(self._connect(act) for _ in range(OPENED_AT_ONCE))
            )

    def close(self):
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()

    async def _connect(self, act):
        with contextlib.suppress(OSError, TimeoutError):
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*self._address), SEND_S
            )
            self.writers.append(writer)
            await asyncio.wait_for(act(writer, reader), SEND_S)

    async def _send(self, writer, parts, path):
        for part in parts(path or job_path()):
            writer.write(part)
            await writer.drain()

    async def _stop_in_message(self, writer, reader):
        """Send most of a call of the daemons, as HTTP/2 lets its sender."""
        config = H2Configuration(client_side=True)
        connection = H2Connection(config)
        connection.initiate_connection()
        writer.write(connection.data_to_send())
        connection.receive_data(await reader.read(PIECE_BYTES))
        names = (':method', 'POST'), (':scheme', 'http'), (':authority', 'x')
        service = ':path', '/waxwingford.shard.ShardQueries/Store'
        kind = ('te', 'trailers'), ('content-type', 'application/grpc')
        connection.send_headers(1, (*names, service, *kind))
        left = _MESSAGE.pack(0, 1 << 30).ljust(BODY_BYTES)
        while left:
            size = min(
                connection.local_flow_control_window(1),
                connection.max_outbound_frame_size,
                len(left),
            )
            if size:
                connection.send_data(1, left[:size])
                left = left[size:]
            writer.write(connection.data_to_send())
            await writer.drain()
            if not size:
                connection.receive_data(await reader.read(PIECE_BYTES))
