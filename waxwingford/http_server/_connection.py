"""Connection of the HTTP server: answers requests in their order."""

import asyncio
import collections
import functools
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import logbook

from waxwingford.http_server._messages import (
    Request,
    Response,
    encode_response,
)
from waxwingford.http_server._reader import (
    ReaderEvents,
    RequestReader,
    ServerLimits,
)

#: Requests of one connection that wait for their turn before it isn't read.
MAX_WAITING_REQUESTS = 8
#: Time for which a client may go on sending what was refused, in seconds. If the
#: connection were closed before, the client might lose the response.
LINGER_S = 10.0
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'

_log = logbook.Logger('http')

Handler = Callable[[Request], Awaitable[Response]]


class _Timer:
    def __init__(self, expire: Callable[[], None]) -> None:
        self._expire = expire
        self._pending: asyncio.TimerHandle | None = None

    def restart(self, delay_s: float) -> None:
        self.stop()
        loop = asyncio.get_running_loop()
        self._pending = loop.call_later(delay_s, self._expire)

    def stop(self) -> None:
        if self._pending is not None:
            self._pending.cancel()


async def _answer(handler: Handler, request: Request) -> Response:
    try:
        return await handler(request)
    except Exception:
        _log.exception('request failed')
        return Response(HTTPStatus.INTERNAL_SERVER_ERROR, close=True)


class ServerConnection(asyncio.Protocol):
    """A connection of a client.

    :ivar answering: task that answers its requests, None while there are none.
    """

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits,
        connections: set['ServerConnection'],
    ) -> None:
        """Create a connection.

        :param connections: open connections; it adds and removes itself.
        """
        self.answering: asyncio.Task[None] | None = None
        self._answer = functools.partial(_answer, handler)
        self._limits = limits
        self._connections = connections
        self._reader = RequestReader(
            limits,
            ReaderEvents(
                lambda: self._timer.restart(limits.request_s),
                self._let_send,
                self._enqueue,
                self._refuse,
            ),
        )
        self._transport: asyncio.Transport | None = None
        self._waiting: collections.deque[Request | Response] = (
            collections.deque()
        )
        self._closing = False
        self._drained = asyncio.Event()
        self._timer = _Timer(self._expire)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport
        self._connections.add(self)
        self._drained.set()
        self._timer.restart(self._limits.idle_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection; a request in progress is still handled."""
        self._closing = True
        self._connections.discard(self)
        self._waiting.clear()
        self._drained.set()
        self._timer.stop()

    def pause_writing(self) -> None:
        """Answer no further request until the client has read."""
        self._drained.clear()

    def resume_writing(self) -> None:
        """Answer requests again."""
        self._drained.set()

    def data_received(self, data: bytes) -> None:
        """Read a part of a request."""
        if not self._closing:
            self._reader.feed(data)

    def close_gracefully(self) -> None:
        """Close the connection, after the answer if a request is in progress."""
        self._closing = True
        if self.answering is None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        self._closing = True
        self._transport.abort()

    def _let_send(self) -> None:
        # A response to an earlier request may have to be sent first; then the
        # client sends the body without waiting for longer.
        if self.answering is None:
            self._transport.write(_CONTINUE)

    def _refuse(self, status: HTTPStatus) -> None:
        self._enqueue(Response(status, close=True))

    def _enqueue(self, entry: Request | Response) -> None:
        self._timer.stop()
        self._waiting.append(entry)
        if len(self._waiting) >= MAX_WAITING_REQUESTS:
            self._transport.pause_reading()
        if self.answering is None:
            self.answering = asyncio.create_task(self._answer_waiting())

    async def _answer_waiting(self) -> None:
        closing = False
        while self._waiting and not closing:
            entry = self._waiting.popleft()
            request = entry if isinstance(entry, Request) else None
            response = entry if request is None else await self._answer(entry)
            closing = self._closes_after(request, response)
            self._write(encode_response(response, request, closing))
            await self._drained.wait()
        self.answering = None
        if closing:
            self._close()
        elif not self._reader.receiving:
            self._timer.restart(self._limits.idle_s)

    def _closes_after(
        self, request: Request | None, response: Response
    ) -> bool:
        if response.close or request is None or not request.keep_alive:
            return True
        return (self._closing or self._reader.ended) and not self._waiting

    def _write(self, raw: bytes) -> None:
        if not self._transport.is_closing():
            self._transport.write(raw)
            self._transport.resume_reading()

    def _close(self) -> None:
        self._closing = True
        if self._reader.ended and not self._transport.is_closing():
            self._transport.write_eof()
            self._timer.restart(LINGER_S)
        else:
            self._transport.close()

    def _expire(self) -> None:
        if self._reader.receiving:
            self._reader.refuse(HTTPStatus.REQUEST_TIMEOUT)
        else:
            self.abort()
