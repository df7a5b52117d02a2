"""A small HTTP/1.1 server and client for the stand-ins."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import NamedTuple
from urllib import parse as url_parse

END_OF_HEAD = b'\r\n\r\n'
#: What a broken or ended connection raises.
BROKEN = (asyncio.IncompleteReadError, ConnectionError, TimeoutError)
#: What ends the service of a connection.
_ENDED = (*BROKEN, asyncio.CancelledError)
#: What a request ends with that gets no answer.
_UNANSWERED = (*BROKEN, OSError)


class Call(NamedTuple):
    """A request that a stand-in has received."""

    method: str
    path: str
    query: dict[str, str]
    header_by_name: dict[str, str]
    body: bytes

    def content(self) -> dict[str, object]:
        """Decode the JSON body, empty if there is none."""
        return json.loads(self.body) if self.body else {}


class Answer(NamedTuple):
    """A response, raw or of JSON."""

    status: int
    body: bytes = b''


def json_answer(status: int, content: object) -> Answer:
    """Encode content as the body of an answer."""
    return Answer(status, json.dumps(content).encode())


async def _read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    head = (await reader.readuntil(END_OF_HEAD)).decode('latin-1')
    first, *lines = head.rstrip().split('\r\n')
    header_by_name = {}
    for line in lines:
        name, _, text = line.partition(':')
        header_by_name[name.strip().lower()] = text.strip()
    length = int(header_by_name.get('content-length', '0'))
    return first, header_by_name, await reader.readexactly(length)


class HttpService:
    """Serves calls; connections can be reset, as if the process had ended."""

    def __init__(self, handle: Callable[[Call], Awaitable[Answer]]) -> None:
        self._handle = handle
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def serve(self, host: str, port: int = 0) -> int:
        """Listen, and return the port."""
        self._server = await asyncio.start_server(self._connected, host, port)
        return self._server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self._answer_calls(reader, writer)
        except _ENDED:
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer_calls(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            first, header_by_name, body = await _read_message(reader)
            method, target, _ = first.split(' ')
            path, _, query = target.partition('?')
            call = Call(
                method,
                path,
                dict(url_parse.parse_qsl(query, keep_blank_values=True)),
                header_by_name,
                body,
            )
            answer = await self._handle(call)
            phrase = HTTPStatus(answer.status).phrase
            head = f'HTTP/1.1 {answer.status} {phrase}\r\nContent-Length: '
            writer.write(head.encode() + str(len(answer.body)).encode())
            writer.write(END_OF_HEAD + answer.body)
            await writer.drain()


async def request(
    endpoint: tuple[str, int],
    method: str,
    target: str,
    host: str = '',
    content: object = None,
    timeout_s: float = 3,
) -> Answer | None:
    """Send one request on a new connection.

    :returns: the answer, ``None`` if there was none in time.
    """
    try:
        return await asyncio.wait_for(
            _exchange(endpoint, method, target, host, content), timeout_s
        )
    except _UNANSWERED:
        return None


async def _exchange(
    endpoint: tuple[str, int],
    method: str,
    target: str,
    host: str,
    content: object,
) -> Answer:
    reader, writer = await asyncio.open_connection(*endpoint)
    try:
        body = b'' if content is None else json.dumps(content).encode()
        writer.write(
            (
                f'{method} {target} HTTP/1.1\r\nHost: {host or endpoint[0]}\r\n'
                + 'X-Deadline-Ms: 3000\r\nContent-Type: application/json\r\n'
                + f'Content-Length: {len(body)}\r\n\r\n'
            ).encode()
            + body
        )
        first, _, received = await _read_message(reader)
    finally:
        writer.close()
    return Answer(int(first.split(' ')[1]), received)
