"""Pooled HTTP/1.1 connections, parsed by ``httptools``."""

import asyncio
import collections
from typing import TypeVar

import httptools

#: Maximum number of connections to one address: a long poll, concurrent
#: orders, and a spare for a connection that no longer responds.
CONNECTIONS_PER_ADDRESS = 6
#: Timeout for opening a connection, in seconds: many round trips within a
#: region, and below the 1 s after which the kernel retransmits a lost SYN.
CONNECT_TIMEOUT_S = 0.5
#: Time after which an unused connection is closed, in seconds.
KEEP_ALIVE_S = 20.0
_KIB = 1024
#: Maximum size of a response body, in bytes; the largest are pages of the store.
MAX_BODY_BYTES = 8 * _KIB * _KIB
#: Time in seconds for which an expired timeout waits, so that the event loop
#: polls its sockets once more.
_POLL_AGAIN_S = 0.001

Awaited = TypeVar('Awaited')


class ConnectFailedError(Exception):
    """No connection could be opened, so nothing was sent."""


class ConnectionBrokenError(Exception):
    """The connection was closed before the response was complete.

    :ivar response_begun: whether a part of the response was received.
    """

    def __init__(self, reason: str, response_begun: bool) -> None:
        super().__init__(reason)
        self.response_begun = response_begun


async def wait_until(
    future: asyncio.Future[Awaited], deadline_s: float
) -> Awaited:
    """Wait for a future that a socket resolves.

    An event loop that runs late handles expired timers before it reads its
    sockets. A timeout therefore counts only after the sockets were read once
    more; otherwise responses that arrived in time would be discarded.

    :param deadline_s: loop time of the timeout.
    :raises TimeoutError: if the future isn't done by then.
    """
    loop = asyncio.get_running_loop()

    def expire() -> None:
        if not future.done():
            future.set_exception(TimeoutError())

    def poll_again() -> None:
        nonlocal timer
        timer = loop.call_later(_POLL_AGAIN_S, expire)

    timer = loop.call_at(deadline_s, poll_again)
    try:
        return await future
    finally:
        timer.cancel()


class Connection(asyncio.Protocol):
    """A connection that carries one request at a time.

    :ivar closed: whether it can't carry another request.
    :ivar received_bytes: size of the response to the newest request so far.
    :ivar peer: process at the other end as noted by the user of the connection,
        ``None`` if it isn't known. No connection outlasts that process.
    """

    def __init__(self) -> None:
        self.closed = False
        self.received_bytes = 0
        self.peer: object = None
        self.idle_since_s: float = 0
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._response: asyncio.Future[tuple[int, bytes]] | None = None
        self._body = bytearray()
        self._response_begun = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in progress."""
        self._fail(f'{exc or "connection closed by the server"}')

    def data_received(self, data: bytes) -> None:
        """Parse a part of a response."""
        self._response_begun = True
        self.received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f'response not parsed: {error}')

    def on_body(self, part: bytes) -> None:
        """Collect a part of the body."""
        self._body += part
        if len(self._body) > MAX_BODY_BYTES:
            self._fail(f'response exceeds {MAX_BODY_BYTES} bytes')

    def on_message_complete(self) -> None:
        """Resolve the request in progress."""
        waiting = self._response
        if waiting is None or waiting.done():
            # Sent without a request, or after its timeout.
            self.abort()
            return
        if not self._parser.should_keep_alive():
            self.abort()
        waiting.set_result((self._parser.get_status_code(), bytes(self._body)))

    async def send(
        self, request: bytes, deadline_s: float
    ) -> tuple[int, bytes]:
        """Send a request and wait for its response.

        :param request: head and body.
        :param deadline_s: loop time of the timeout.
        :returns: status and body of the response.
        :raises ConnectionBrokenError: if the connection is closed before.
        :raises TimeoutError: if the response isn't complete by then.
        """
        self._body.clear()
        self.received_bytes = 0
        self._response_begun = False
        self._response = asyncio.get_running_loop().create_future()
        self._transport.write(request)
        try:
            return await wait_until(self._response, deadline_s)
        except BaseException:
            # The response may still come; it would be taken for that of the
            # next request.
            self.abort()
            raise
        finally:
            self._response = None

    def abort(self) -> None:
        """Close the connection at once."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()

    def _fail(self, reason: str) -> None:
        self.abort()
        if self._response is not None and not self._response.done():
            self._response.set_exception(
                ConnectionBrokenError(reason, self._response_begun)
            )


class ConnectionPool:
    """Connections to one address."""

    def __init__(self, address: str) -> None:
        """Create an empty pool.

        :param address: IP address and port.
        """
        self._address = address
        self._idle: list[Connection] = []
        self._open = 0
        self._waiting: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )
        self._sweep_timer: asyncio.TimerHandle | None = None

    async def acquire(self, deadline_s: float) -> tuple[Connection, bool]:
        """Take an idle connection or open one.

        :param deadline_s: loop time of the timeout.
        :returns: connection, and whether it has carried a request before.
        :raises ConnectFailedError: if none can be opened.
        """
        while True:
            while self._idle:
                connection = self._idle.pop()
                if not connection.closed:
                    return connection, True
                self._open -= 1
            if self._open < CONNECTIONS_PER_ADDRESS:
                return await self._connect(deadline_s), False
            await self._wait_for_release(deadline_s)

    def release(self, connection: Connection) -> None:
        """Return a connection."""
        if connection.closed:
            self._open -= 1
        else:
            loop = asyncio.get_running_loop()
            connection.idle_since_s = loop.time()
            self._idle.append(connection)
            if self._sweep_timer is None:
                self._sweep_timer = loop.call_later(KEEP_ALIVE_S, self._sweep)
        self._wake_next()

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.abort()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()

    async def _connect(self, deadline_s: float) -> Connection:
        loop = asyncio.get_running_loop()
        self._open += 1
        connected: asyncio.Future[Connection] = loop.create_future()
        attempt = loop.create_task(_open_connection(self._address))
        attempt.add_done_callback(
            lambda done: _report_connected(done, connected)
        )
        until_s = min(deadline_s, loop.time() + CONNECT_TIMEOUT_S)
        try:
            return await wait_until(connected, until_s)
        except Exception as error:
            # Not only OSError: resolving a text that is no address may raise
            # UnicodeError, and a port out of range OverflowError.
            self._abandon(attempt)
            raise ConnectFailedError(
                f'{type(error).__name__}: {error}'
            ) from error
        except BaseException:
            self._abandon(attempt)
            raise

    def _abandon(self, attempt: asyncio.Task[object]) -> None:
        attempt.cancel()
        self._open -= 1
        self._wake_next()

    async def _wait_for_release(self, deadline_s: float) -> None:
        released = asyncio.get_running_loop().create_future()
        self._waiting.append(released)
        try:
            await wait_until(released, deadline_s)
        except TimeoutError as error:
            raise ConnectFailedError(
                f'{CONNECTIONS_PER_ADDRESS} connections are in use'
            ) from error
        except asyncio.CancelledError:
            # Another request may use the connection that was released for it.
            self._wake_next()
            raise

    def _wake_next(self) -> None:
        while self._waiting:
            released = self._waiting.popleft()
            if not released.done():
                released.set_result(None)
                return

    def _sweep(self) -> None:
        """Close connections that were not used for ``KEEP_ALIVE_S``."""
        self._sweep_timer = None
        loop = asyncio.get_running_loop()
        oldest_s = loop.time() - KEEP_ALIVE_S
        kept = [
            connection
            for connection in self._idle
            if connection.idle_since_s > oldest_s and not connection.closed
        ]
        for connection in self._idle:
            if connection not in kept:
                connection.abort()
                self._open -= 1
        self._idle = kept
        if kept:
            self._sweep_timer = loop.call_later(KEEP_ALIVE_S, self._sweep)


async def _open_connection(
    address: str,
) -> tuple[asyncio.Transport, Connection]:
    host, port = address.rsplit(':', 1)
    return await asyncio.get_running_loop().create_connection(
        Connection, host, int(port)
    )


def _report_connected(
    attempt: asyncio.Task[tuple[asyncio.Transport, Connection]],
    connected: asyncio.Future[Connection],
) -> None:
    if attempt.cancelled():
        return
    error = attempt.exception()
    if error is None:
        connection = attempt.result()[1]
        if connected.done():
            connection.abort()
        else:
            connected.set_result(connection)
    elif not connected.done():
        connected.set_exception(error)
