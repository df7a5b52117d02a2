"""HTTP client for the platform's store, workers and services."""

import asyncio
import functools
from collections.abc import Callable, Mapping
from urllib import parse as url_parse

import msgspec

from waxwingford.platform._http_connections import (
    ConnectFailedError,
    Connection,
    ConnectionBrokenError,
    ConnectionPool,
)
from waxwingford.platform._traffic import Traffic, name_call

_json_encoder = msgspec.json.Encoder()
#: Names and texts of queries repeat, for example names of topics.
_quoted = functools.lru_cache(url_parse.quote_plus)


class HttpResponse(msgspec.Struct, frozen=True):
    """A complete response.

    :ivar body: undecoded response body.
    :ivar connection: connection on which it came.
    """

    status: int
    body: bytes
    connection: Connection | None = None

    def note_peer(self, peer: object) -> None:
        """Note which process has sent the response."""
        if self.connection is not None:
            self.connection.peer = peer


class NoResponse(msgspec.Struct, frozen=True):
    """No complete response; the server may have processed the request.

    :ivar reason: error type and message.
    :ivar connection_closed: whether the connection was closed or reset, as
        opposed to a timeout on an open connection.
    """

    reason: str
    connection_closed: bool = False


class NotSent(msgspec.Struct, frozen=True):
    """No connection could be opened, so no byte of the request was sent.

    Proves to callers that the server has not processed the request and never
    will.

    :ivar reason: error type and message.
    """

    reason: str


RequestOutcome = HttpResponse | NoResponse | NotSent


class HttpClient:
    """Sends HTTP requests over pooled connections.

    It follows no redirects, as the first server may have processed the request
    before the second one fails.

    :ivar traffic: bytes of all calls.
    """

    def __init__(self) -> None:
        self.traffic = Traffic()
        self._pool_by_address: dict[str, ConnectionPool] = {}

    async def close(self) -> None:
        """Close all idle connections."""
        for pool in self._pool_by_address.values():
            pool.close()
        self._pool_by_address.clear()

    async def get(
        self,
        address: str,
        path: str,
        query: Mapping[str, str],
        timeout_s: float,
    ) -> RequestOutcome:
        """Send a GET request.

        :param address: IP address and port of the server.
        :param timeout_s: timeout for the complete response, in seconds.
        """
        head = _encode_head('GET', address, path, query, {})
        call = name_call(path, query)
        return await self._request(
            call, address, head, timeout_s, repeatable=True
        )

    async def post(
        self,
        address: str,
        path: str,
        query: Mapping[str, str],
        body: bytes,
        timeout_s: float,
    ) -> RequestOutcome:
        """Send a POST request with a binary body.

        :param address: IP address and port of the server.
        :param timeout_s: timeout for the complete response, in seconds.
        """
        head = _encode_head(
            'POST',
            address,
            path,
            query,
            {
                'Content-Type': 'application/octet-stream',
                'Content-Length': str(len(body)),
            },
        )
        call = name_call(path, query)
        return await self._request(call, address, head + body, timeout_s)

    async def post_json(
        self,
        address: str,
        path: str,
        content: object,
        headers: Mapping[str, str],
        timeout_s: float,
    ) -> RequestOutcome:
        """Send a POST request with a JSON body.

        :param address: IP address and port of the server.
        :param content: object to encode as the request body.
        :param headers: headers in addition to the content type.
        :param timeout_s: timeout for the complete response, in seconds.
        """
        request = _encode_json_post(address, path, content, headers)
        call = name_call(path, {})
        return await self._request(call, address, request, timeout_s)

    async def post_json_to_peer(
        self,
        address: str,
        path: str,
        content_for: Callable[[object], object],
        headers: Mapping[str, str],
        timeout_s: float,
    ) -> RequestOutcome:
        """Send a POST request whose content depends on who receives it.

        :param address: IP address and port of the server.
        :param content_for: function that returns the content for the peer that
            was noted for the connection, ``None`` if none was.
        :param headers: headers in addition to the content type.
        :param timeout_s: timeout for the complete response, in seconds.
        """

        def encode(peer: object) -> bytes:
            return _encode_json_post(address, path, content_for(peer), headers)

        call = name_call(path, {})
        return await self._request(call, address, encode, timeout_s)

    def _pool_of(self, address: str) -> ConnectionPool:
        pool = self._pool_by_address.get(address)
        if pool is None:
            pool = ConnectionPool(address)
            self._pool_by_address[address] = pool
        return pool

    async def _request(
        self,
        call: str,
        address: str,
        request: bytes | Callable[[object], bytes],
        timeout_s: float,
        repeatable: bool = False,
    ) -> RequestOutcome:
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        pool = self._pool_of(address)
        acquired = await _acquire(pool, deadline_s)
        if isinstance(acquired, NotSent):
            return acquired
        connection, reused = acquired
        content = b''
        try:
            content = _content_for(connection, request)
            status, body = await connection.send(content, deadline_s)
            return HttpResponse(status, body, connection)
        except TimeoutError:
            return NoResponse('TimeoutError: no response in time')
        except ConnectionBrokenError as error:
            if not (repeatable and reused) or error.response_begun:
                return NoResponse(
                    f'ConnectionBrokenError: {error}', connection_closed=True
                )
        finally:
            self.traffic.count(call, len(content), connection.received_bytes)
            pool.release(connection)
        # The server may close an idle connection just when it is used again.
        left_s = deadline_s - asyncio.get_running_loop().time()
        return await self._request(call, address, request, left_s)


async def _acquire(
    pool: ConnectionPool, deadline_s: float
) -> tuple[Connection, bool] | NotSent:
    """Take a connection, and tell whether it has carried a request before."""
    try:
        connection, reused = await pool.acquire(deadline_s)
    except ConnectFailedError as error:
        return NotSent(str(error))
    if asyncio.get_running_loop().time() >= deadline_s:
        pool.release(connection)
        return NotSent('TimeoutError: no connection was free in time')
    return connection, reused


def _content_for(
    connection: Connection, request: bytes | Callable[[object], bytes]
) -> bytes:
    return request(connection.peer) if callable(request) else request


def _encode_head(
    method: str,
    address: str,
    path: str,
    query: Mapping[str, str],
    headers: Mapping[str, str],
) -> bytes:
    target = f'{path}?{_encode_query(query)}' if query else path
    lines = [
        f'{method} {target} HTTP/1.1',
        f'Host: {address}',
        *(f'{name}: {value}' for name, value in headers.items()),
        '\r\n',
    ]
    return '\r\n'.join(lines).encode()


def _encode_query(query: Mapping[str, str]) -> str:
    return '&'.join(
        [f'{_quote(name)}={_quote(text)}' for name, text in query.items()]
    )


def _quote(text: str) -> str:
    # Numbers differ in each call and need no quotes.
    return text if text.isalnum() and text.isascii() else _quoted(text)


def _encode_json_post(
    address: str, path: str, content: object, headers: Mapping[str, str]
) -> bytes:
    body = _json_encoder.encode(content)
    head = _encode_head(
        'POST',
        address,
        path,
        {},
        {
            'Content-Type': 'application/json',
            'Content-Length': str(len(body)),
            **headers,
        },
    )
    return head + body
