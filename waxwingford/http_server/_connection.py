"""Connection of the HTTP server: reads requests within its budget."""

import asyncio
from http import HTTPStatus

from waxwingford.http_server._answers import (
    BUSY,
    AnswerQueue,
    Handler,
    OpenConnection,
)
from waxwingford.http_server._messages import encode_response, refusal
from waxwingford.http_server._reader import (
    ReaderEvents,
    RequestReader,
    ServerLimits,
)
from waxwingford.inbound import Account, Activity, Holder, Reservation

#: Bytes that are parsed at a time, which bounds the requests that they hold.
SLICE_BYTES = 4096
#: Memory of what has arrived on a connection that isn't read, in bytes.
KERNEL_BUFFER_BYTES = 65_536
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class _Unparsed:
    """Bytes that have arrived and wait to be parsed."""

    def __init__(self, holder: Holder) -> None:
        self._parts = bytearray()
        self._reservation = Reservation(holder)
        self._unread = Reservation(holder)

    def __bool__(self) -> bool:
        return bool(self._parts)

    def add(self, data: bytes) -> bool:
        """Keep bytes.

        :returns: whether there is room for them.
        """
        if not self._reservation.grow(len(data)):
            return False
        self._parts += data
        return True

    def pop(self, size: int) -> bytes:
        """Take the first bytes."""
        first = bytes(self._parts[:size])
        del self._parts[:size]
        if not self._parts:
            self._reservation.release()
        return first

    def reserve_unread(self) -> bool:
        """Reserve what the kernel receives while the connection isn't read.

        :returns: whether there is room for it.
        """
        return self._unread.resize(KERNEL_BUFFER_BYTES)

    def release_unread(self) -> None:
        """Give that back, as the connection is read again."""
        self._unread.release()

    def drop(self) -> None:
        """Forget all bytes."""
        self._parts = bytearray()
        self._reservation.release()
        self._unread.release()


class ServerConnection(asyncio.Protocol):
    """A connection of a client."""

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits,
        account: Account,
        connections: set['ServerConnection'],
    ) -> None:
        """Create a connection.

        :param account: budget of all connections.
        :param connections: open connections; it adds and removes itself.
        """
        self._handler = handler
        self._limits = limits
        self._account = account
        self._connections = connections
        self._open: OpenConnection | None = None

    @property
    def answering(self) -> asyncio.Task[None] | None:
        """Task that answers its requests, None while there are none."""
        return self._answers.task

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to read, or close the connection if there is no room for it."""
        holder = self._account.open(self._evict)
        if holder is None:
            transport.write(encode_response(BUSY, None, closing=True))
            transport.close()
            return
        self._open = OpenConnection(
            transport, holder, self._limits, self._expire
        )
        self._reader = RequestReader(
            self._limits,
            ReaderEvents(
                self._on_begun,
                self._let_send,
                lambda request: self._answers.add(request),
                lambda status: self._answers.add(refusal(status)),
            ),
            holder,
        )
        self._answers = AnswerQueue(
            self._handler, self._open, self._reader, self._read_on
        )
        self._unparsed = _Unparsed(holder)
        # A response counts as read once nothing of it waits in the process.
        transport.set_write_buffer_limits(high=0)
        self._connections.add(self)
        self._open.timer.restart(self._limits.idle_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection; a request in progress is still handled."""
        if self._open is not None:
            self._open.closing = True
            self._give_back()
            # No cycle of references is left, so that memory is free at once.
            self._open.timer.close()
            self._reader.close()
            self._answers.close()

    def pause_writing(self) -> None:
        """Answer no further request until the client has read."""
        self._answers.readable.clear()

    def resume_writing(self) -> None:
        """Answer requests again."""
        self._answers.readable.set()

    def data_received(self, data: bytes) -> None:
        """Read a part of a request."""
        if self._open is None or self._open.closing or self._reader.ended:
            return
        self._open.holder.progress()
        waits = self._unparsed or self._answers.is_full()
        if len(data) <= SLICE_BYTES and not waits:
            self._reader.feed(data)
        elif self._unparsed.add(data):
            self._parse()
        else:
            self._reader.refuse(HTTPStatus.SERVICE_UNAVAILABLE)

    def close_gracefully(self) -> None:
        """Close the connection, after the answer if a request is in progress."""
        self._open.closing = True
        if self.answering is None:
            self._open.transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        self._open.closing = True
        self._open.transport.abort()

    def _evict(self) -> None:
        """Make room for other connections."""
        match self._open.holder.activity:
            case Activity.receiving:
                self._open.refuse_and_close()
            case Activity.unread:
                self.abort()
            case _:
                self._open.closing = True
                self._open.transport.close()
        self._give_back()

    def _give_back(self) -> None:
        """Give back all but the memory of a request in progress."""
        self._connections.discard(self)
        self._reader.drop()
        self._unparsed.drop()
        self._answers.drop()
        self._open.holder.close()

    def _parse(self) -> None:
        """Parse what has arrived, as far as requests may wait."""
        while self._unparsed and not (
            self._answers.is_full() or self._open.closing
        ):
            self._reader.feed(self._unparsed.pop(SLICE_BYTES))
        if self._reader.ended:
            self._unparsed.drop()
        if self._answers.is_full():
            self._open.transport.pause_reading()
            if not self._unparsed.reserve_unread():
                self._reader.refuse(HTTPStatus.SERVICE_UNAVAILABLE)

    def _read_on(self) -> None:
        """Read the requests that were left until one was answered."""
        if not self._open.transport.is_closing():
            self._parse()
            if not self._answers.is_full():
                self._unparsed.release_unread()
                self._open.transport.resume_reading()

    def _on_begun(self) -> None:
        self._open.timer.restart(self._limits.request_s)
        if self.answering is None:
            self._open.holder.begin(Activity.receiving)

    def _let_send(self) -> None:
        # A response to an earlier request may have to be sent first; then the
        # client sends the body without waiting for longer.
        if self.answering is None:
            self._open.transport.write(_CONTINUE)

    def _expire(self) -> None:
        if self._reader.receiving and self._answers.readable.is_set():
            self._reader.refuse(HTTPStatus.REQUEST_TIMEOUT)
        else:
            self.abort()
