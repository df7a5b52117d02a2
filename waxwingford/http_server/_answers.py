"""Answers the requests of a connection in their order."""

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
    refusal,
)
from waxwingford.http_server._reader import RequestReader, ServerLimits
from waxwingford.inbound import Activity, Holder, Reservation

#: Requests of one connection that wait for their turn before it isn't read.
MAX_WAITING_REQUESTS = 8
#: Time for which a client may go on sending what was refused, in seconds. If the
#: connection were closed before, the client might lose the response.
LINGER_S = 10.0
#: Size up to which a response needs no memory of its own, in bytes.
SMALL_RESPONSE_BYTES = 2048
#: Part of what a connection may hold up to which its next request is read.
READ_AHEAD_PART = 0.5
#: Response to a request that isn't read for want of memory.
BUSY = refusal(HTTPStatus.SERVICE_UNAVAILABLE)

_log = logbook.Logger('http')

Handler = Callable[[Request], Awaitable[Response]]


def _do_nothing() -> None:
    """Take the place of a function of a connection that was closed."""


class Timer:
    """Calls a function after a time without activity."""

    def __init__(self, expire: Callable[[], None]) -> None:
        self._expire = expire
        self._pending: asyncio.TimerHandle | None = None

    def restart(self, delay_s: float) -> None:
        """Call the function after a delay, in seconds, and not before."""
        self.stop()
        loop = asyncio.get_running_loop()
        self._pending = loop.call_later(delay_s, self._expire)

    def stop(self) -> None:
        """Don't call the function."""
        if self._pending is not None:
            self._pending.cancel()

    def close(self) -> None:
        """Don't call the function any more, and don't refer to it."""
        self.stop()
        self._expire = _do_nothing


class OpenConnection:
    """State of a connection that reading and answering share.

    :ivar closing: whether no further request is read.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        holder: Holder,
        limits: ServerLimits,
        expire: Callable[[], None],
    ) -> None:
        """Use a connection for which there is room.

        :param expire: called once the client has taken too long.
        """
        self.transport = transport
        self.holder = holder
        self.limits = limits
        self.timer = Timer(expire)
        self.closing = False

    def refuse_and_close(self) -> None:
        """Tell the client to come back, and close the connection."""
        self.closing = True
        self.transport.write(encode_response(BUSY, None, closing=True))
        self.transport.close()


async def _answer(handler: Handler, request: Request) -> Response:
    try:
        return await handler(request)
    except Exception:
        _log.exception('request failed')
        return Response(HTTPStatus.INTERNAL_SERVER_ERROR, close=True)


class AnswerQueue:
    """Requests of a connection that wait for their turn.

    :ivar task: task that answers them, None while there are none.
    :ivar readable: set while no response waits to be read by the client.
    """

    def __init__(
        self,
        handler: Handler,
        connection: OpenConnection,
        reader: RequestReader,
        read_on: Callable[[], None],
    ) -> None:
        """Create an empty queue.

        :param read_on: called after an answer, to read further requests.
        """
        self.task: asyncio.Task[None] | None = None
        self.readable = asyncio.Event()
        self.readable.set()
        self._answer = functools.partial(_answer, handler)
        self._connection = connection
        self._reader = reader
        self._read_on = read_on
        self._waiting: collections.deque[Request | Response] = (
            collections.deque()
        )
        self._unread = Reservation(connection.holder)

    def is_full(self) -> bool:
        """Tell whether the next request is read only after an answer."""
        if self.task is None:
            return False
        holder = self._connection.holder
        return (
            len(self._waiting) >= MAX_WAITING_REQUESTS
            or holder.held_bytes > holder.max_bytes * READ_AHEAD_PART
        )

    def add(self, entry: Request | Response) -> None:
        """Add a request, or the response to one that wasn't read."""
        self._connection.timer.stop()
        self._waiting.append(entry)
        if self.task is None:
            self._connection.holder.begin(Activity.busy)
            self.task = asyncio.create_task(self._answer_waiting())

    def close(self) -> None:
        """Forget what waits, and read nothing on once a request is handled."""
        self.drop()
        self._read_on = _do_nothing

    def drop(self) -> None:
        """Forget what waits; a request in progress is still handled."""
        for entry in self._waiting:
            if isinstance(entry, Request):
                entry.release()
        self._waiting.clear()
        self._unread.release()
        self.readable.set()

    async def _answer_waiting(self) -> None:
        closing = False
        while self._waiting and not closing:
            entry = self._waiting.popleft()
            request = entry if isinstance(entry, Request) else None
            response = entry if request is None else await self._answer(entry)
            if request is not None:
                request.release()
            closing = self._closes_after(request, response)
            await self._send(response, request, closing)
            if not closing:
                self._read_on()
        self.task = None
        if closing:
            self._close()
        else:
            self._read_on()
            self._await_request()

    def _closes_after(
        self, request: Request | None, response: Response
    ) -> bool:
        if response.close or request is None or not request.keep_alive:
            return True
        ending = self._connection.closing or self._reader.ended
        return ending and not self._waiting

    async def _send(
        self, response: Response, request: Request | None, closing: bool
    ) -> None:
        """Write a response, and wait until the kernel has taken all of it."""
        connection = self._connection
        if connection.transport.is_closing():
            return
        raw = encode_response(response, request, closing)
        if len(raw) > SMALL_RESPONSE_BYTES and not self._unread.grow(len(raw)):
            raw = encode_response(BUSY, request, closing)
        connection.transport.write(raw)
        if not self.readable.is_set():
            connection.holder.begin(Activity.unread)
            connection.timer.restart(connection.limits.write_s)
            await self.readable.wait()
            connection.timer.stop()
        self._unread.release()
        connection.holder.begin(Activity.busy)

    def _await_request(self) -> None:
        connection = self._connection
        if connection.closing or self.task is not None:
            return
        if self._reader.receiving:
            connection.holder.begin(Activity.receiving)
        else:
            connection.holder.begin(Activity.idle)
            connection.timer.restart(connection.limits.idle_s)

    def _close(self) -> None:
        connection = self._connection
        connection.closing = True
        if connection.transport.is_closing():
            return
        if self._reader.ended:
            connection.holder.begin(Activity.unread)
            connection.transport.write_eof()
            connection.transport.resume_reading()
            connection.timer.restart(LINGER_S)
        else:
            connection.transport.close()
