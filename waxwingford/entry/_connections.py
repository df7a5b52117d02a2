"""Connections of the HTTP interface that keep to a budget."""

import asyncio

from aiohttp import StreamReader, web

from waxwingford.inbound import Account, Activity, Holder, Reservation

#: Bytes that are read from a connection at a time, and that wait to be read by a
#: handler before the connection isn't read.
READ_BYTES = 16_384
#: Memory of a request that waits for its turn, in bytes.
_REQUEST_BYTES = 8192
#: Memory of the part of a body that waits for its handler, in bytes.
_BODY_BUFFER_BYTES = 3 * READ_BYTES
#: Largest request head, in lines of the largest size.
_HEAD_LINES = 4
#: Times that a head is in memory.
_HEAD_COPIES = 2
_TOO_MANY_CONNECTIONS = (
    b'HTTP/1.1 503 Service Unavailable\r\n'
    b'Waxwingford-Outcome: refused\r\n'
    b'Retry-After: 1\r\n'
    b'Waxwingford-Retry-After-Ms: 1000\r\n'
    b'Content-Length: 0\r\n'
    b'Connection: close\r\n\r\n'
)


class AccountedConnection(web.RequestHandler):
    """Connection of ``aiohttp`` that is accounted for.

    :ivar holder: what it holds of the budget, None if there is no room for it.
    """

    __slots__ = (
        '_account',
        '_arrived',
        '_body_bytes',
        '_content',
        '_head_bytes',
        '_partial',
        'holder',
    )

    def __init__(
        self, manager: web.Server, account: Account, **options: object
    ) -> None:
        """Create a connection.

        :param account: budget of all connections.
        :param options: options of ``aiohttp``.
        """
        super().__init__(
            manager,
            loop=asyncio.get_running_loop(),
            read_bufsize=READ_BYTES,
            **options,
        )
        self.holder: Holder | None = None
        self._account = account
        self._arrived: Reservation | None = None
        self._head_bytes = _HEAD_LINES * int(str(options['max_line_size']))
        self._partial = 0
        self._body_bytes = 0
        self._content: StreamReader | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to read, or close the connection if there is no room for it."""
        self.holder = self._account.open(self._evict)
        if self.holder is None:
            transport.write(_TOO_MANY_CONNECTIONS)
            transport.close()
            return
        transport.max_size = READ_BYTES
        self._arrived = Reservation(self.holder)
        super().connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Give back what the connection held."""
        if self.holder is not None:
            super().connection_lost(exc)
            self._give_back()

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived, as far as there is room for it."""
        if self.holder is None or self.transport is None:
            return
        waiting = len(self._messages)
        super().data_received(data)
        self._partial += len(data)
        if len(self._messages) > waiting:
            self._partial = 0
        if data:
            self.holder.progress()
            self._account_for_arrived()

    def begin_request(self, content: StreamReader) -> None:
        """Note that a request is handled; until its end the connection is kept.

        :param content: its body, of which the rest is read after the response.
        """
        self._content = content
        self._body_bytes = 0
        self.holder.begin(Activity.busy)

    def begin_response(self) -> None:
        """Note that the peer is to read a response."""
        self.holder.begin(Activity.unread)

    def end_request(self) -> None:
        """Note that the request is answered."""
        self._partial = 0
        if self.transport is None:
            # Nothing would give back what is reserved after the connection.
            return
        self._arrived.resize(len(self._messages) * _REQUEST_BYTES)
        self.holder.begin(Activity.idle)

    def _account_for_arrived(self) -> None:
        content = self._content
        waiting = len(self._messages)
        held = waiting * _REQUEST_BYTES
        if content is not None and not content.is_eof():
            held += _BODY_BUFFER_BYTES
            if content.total_bytes != self._body_bytes:
                self._body_bytes = content.total_bytes
                self._partial = 0
        # What neither completes a request nor adds to a body is part of a head, or of
        # the headers that follow a body in chunks.
        too_long = self._partial > self._head_bytes and not waiting
        # Requests follow an incomplete body only if what arrives can't be parsed.
        invalid = waiting and content is not None and not content.is_eof()
        held += min(self._partial, self._head_bytes) * _HEAD_COPIES
        if too_long or invalid or not self._arrived.resize(held):
            self.transport.abort()
        elif self._current_request is None:
            self._note_arrival()

    def _note_arrival(self) -> None:
        if self.holder.activity is not Activity.receiving:
            self.holder.begin(Activity.receiving)

    def _evict(self) -> None:
        if self.transport is not None:
            self.transport.abort()
        self._give_back()

    def _give_back(self) -> None:
        self._arrived.release()
        self.holder.close()


def new_reservation(request: web.Request) -> Reservation | None:
    """Create a reservation for the connection of a request.

    :returns: an empty one, None if the connection was lost.
    """
    protocol = request.protocol
    if isinstance(protocol, AccountedConnection) and protocol.holder:
        return Reservation(protocol.holder)
    return None
