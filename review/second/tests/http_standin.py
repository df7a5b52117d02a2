"""Small HTTP/1.1 server and client for the stand-ins, on ``asyncio`` streams."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import NamedTuple
from urllib import parse as url_parse

LOOPBACK = '127.0.0.1'
CALL_TIMEOUT_S = 5.0


class Call(NamedTuple):
    """A request that a stand-in has received."""

    method: str
    path: str
    query: dict[str, str]
    header_by_name: dict[str, str]
    body: bytes

    def json(self) -> dict:
        """Decode the body."""
        return json.loads(self.body or b'{}')


class Reply(NamedTuple):
    """A response of a stand-in; status 0 closes without a response."""

    status: int
    body: bytes = b''


def json_reply(status: int, content: object) -> Reply:
    """Encode a response with a JSON body."""
    return Reply(status, json.dumps(content).encode())


Handler = Callable[[Call], Awaitable[Reply]]


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes] | None:
    """Read a request or a response.

    :returns: first line, headers and body, ``None`` at the end of the stream.
    """
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    header_by_name = {}
    for line in filter(None, lines):
        name, _, text = line.partition(':')
        header_by_name[name.strip().lower()] = text.strip()
    length = int(header_by_name.get('content-length', '0'))
    body = await reader.readexactly(length) if length else b''
    return first, header_by_name, body


class HttpStandin:
    """Serves one handler at a loopback address.

    :ivar failures: errors of the stand-in itself, which spoil the case.
    """

    def __init__(self, handler: Handler) -> None:
        self.failures: list[Exception] = []
        self._handler = handler
        self._server: asyncio.Server | None = None
        self.port = 0

    @property
    def address(self) -> str:
        """Address at which it listens."""
        return f'{LOOPBACK}:{self.port}'

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._answer_calls(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        except Exception as error:
            self.failures.append(error)
        finally:
            writer.close()

    async def _answer_calls(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            first, header_by_name, body = await read_message(reader)
            method, target, _ = first.split(' ')
            path, _, query = target.partition('?')
            call = Call(
                method,
                url_parse.unquote(path),
                dict(url_parse.parse_qsl(query, keep_blank_values=True)),
                header_by_name,
                body,
            )
            reply = await self._handler(call)
            if not reply.status:
                return
            head = (
                f'HTTP/1.1 {reply.status} Status\r\n'
                f'Content-Length: {len(reply.body)}\r\n'
                'Content-Type: application/json\r\n\r\n'
            )
            writer.write(head.encode() + reply.body)
            await writer.drain()


async def send(
    address: str,
    method: str,
    path: str,
    header_by_name: dict[str, str],
    body: bytes = b'',
    timeout_s: float = CALL_TIMEOUT_S,
) -> Reply | None:
    """Send one request on a connection of its own.

    :returns: the response, ``None`` if there was no complete one in time.
    """
    try:
        return await asyncio.wait_for(
            _exchange(address, method, path, header_by_name, body), timeout_s
        )
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None


async def _exchange(
    address: str,
    method: str,
    path: str,
    header_by_name: dict[str, str],
    body: bytes,
) -> Reply:
    host, port = address.rsplit(':', 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    headers = {**header_by_name, 'Content-Length': str(len(body))}
    lines = [f'{name}: {text}' for name, text in headers.items()]
    head = '\r\n'.join([f'{method} {path} HTTP/1.1', *lines, '\r\n'])
    try:
        writer.write(head.encode() + body)
        await writer.drain()
        first, _, answer = await read_message(reader)
    finally:
        writer.close()
    return Reply(int(first.split(' ')[1]), answer)
