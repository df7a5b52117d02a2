"""HTTP/1.1 server and client of the stand-ins, on asyncio streams."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import NamedTuple
from urllib import parse as url_parse

HOST = '127.0.0.1'


class Request(NamedTuple):
    """A request as it arrived."""

    method: str
    path: str
    query: dict[str, str]
    header_by_name: dict[str, str]
    body: bytes

    def content(self) -> dict[str, object]:
        """Decode the JSON body."""
        return json.loads(self.body or b'{}')


class Reply(NamedTuple):
    """A response; ``None`` as status leaves the request without one."""

    status: int | None
    body: bytes = b''
    content_type: str = 'application/json'


#: The connection stays open, and nothing is ever sent on it again.
NO_REPLY = Reply(None)

Handler = Callable[[Request], Awaitable[Reply]]


def json_reply(status: int, **content: object) -> Reply:
    """Make a reply with a JSON body; dashes in names are written as ``_``."""
    named = {name.replace('_', '-'): one for name, one in content.items()}
    return Reply(status, json.dumps(named).encode())


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read the first line and the headers of a message."""
    raw = await reader.readuntil(b'\r\n\r\n')
    first, *lines = raw.decode('latin-1').split('\r\n')
    pairs = (line.partition(':') for line in lines if line)
    return first, {name.lower(): text.strip() for name, _, text in pairs}


class HttpService:
    """Serves one handler on a free port of the loopback interface."""

    def __init__(self, handler: Handler) -> None:
        self.port = 0
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """IP address and port."""
        return f'{HOST}:{self.port}'

    async def start(self, port: int = 0) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, HOST, port, limit=1 << 22
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening, and reset all connections."""
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                await writer.drain()
            await reader.read()
        except (OSError, EOFError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        first, header_by_name = await read_head(reader)
        method, target, _ = first.split(' ')
        size = int(header_by_name.get('content-length', 0))
        body = await reader.readexactly(size)
        path, _, query = target.partition('?')
        request = Request(
            method, path, dict(url_parse.parse_qsl(query)), header_by_name, body
        )
        reply = await self._handler(request)
        if reply.status is None:
            return False
        head = (
            f'HTTP/1.1 {reply.status} x\r\nContent-Type: {reply.content_type}'
            f'\r\nContent-Length: {len(reply.body)}\r\n\r\n'
        )
        writer.write(head.encode() + reply.body)
        return True


class Answer(NamedTuple):
    """What a client got; status 0 if the connection broke or time ran out."""

    status: int
    content: object = None


async def _call(
    address: str, method: str, target: str, headers: dict[str, str], body: bytes
) -> Answer:
    host, _, port = address.partition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = [
        f'{method} {target} HTTP/1.1',
        f'Content-Length: {len(body)}',
        'Content-Type: application/json',
        *(f'{name}: {text}' for name, text in headers.items()),
    ]
    try:
        writer.write('\r\n'.join([*lines, '\r\n']).encode() + body)
        first, header_by_name = await read_head(reader)
        size = int(header_by_name.get('content-length', 0))
        raw = await reader.readexactly(size)
    finally:
        writer.close()
    is_json = 'json' in header_by_name.get('content-type', '')
    return Answer(int(first.split(' ')[1]), json.loads(raw) if is_json else raw)


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    content: object = None,
    timeout_s: float = 3,
) -> Answer:
    """Send a request on a connection of its own.

    :returns: the response, with status 0 if there was none in time.
    """
    body = b'' if content is None else json.dumps(content).encode()
    try:
        return await asyncio.wait_for(
            _call(address, method, target, headers, body), timeout_s
        )
    except (OSError, EOFError, asyncio.TimeoutError) as error:
        return Answer(0, type(error).__name__)
