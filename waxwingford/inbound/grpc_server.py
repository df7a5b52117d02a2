"""gRPC server whose connections keep to a budget.

Not imported by the package itself, as a daemon starts without ``grpclib``.
"""

import functools
import importlib
from collections.abc import Callable, Collection
from typing import TYPE_CHECKING

from grpclib import protocol as grpc_protocol
from grpclib.server import Server
from h2 import events as h2_events
from h2.errors import ErrorCodes
from h2.exceptions import ProtocolError

from waxwingford.inbound._account import (
    Account,
    Activity,
    Holder,
    Reservation,
)

if TYPE_CHECKING:
    import asyncio
    import ssl

    from grpclib._typing import IServable

#: Memory of a call beside its message, in bytes.
_CALL_BYTES = 8192
#: Times that a message is in memory while it is read.
_MESSAGE_COPIES = 2
#: Largest amount that may wait to be sent to a peer that doesn't read, in bytes.
_MAX_UNSENT_BYTES = 262_144


class BoundedServer(Server):
    """Server of ``grpclib`` that bounds connections, calls and messages."""

    def __init__(
        self,
        handlers: Collection['IServable'],
        account: Account,
        tls: 'ssl.SSLContext | None' = None,
    ) -> None:
        """Create the server; it listens nowhere yet.

        :param handlers: services.
        :param account: budget of all connections.
        :param tls: TLS context of the server, None for plain TCP. ``start`` gets
            none, as connections are accounted for before they are encrypted.
        """
        super().__init__(handlers)
        self._account = account
        self._tls = tls

    def _protocol_factory(self) -> 'asyncio.Protocol':
        created = super()._protocol_factory()
        if self._tls is None:
            return _BoundedProtocol(created, self._account)
        gate = importlib.import_module('waxwingford.inbound.tls_gate')
        return gate.TlsGate(
            self._account,
            self._tls,
            functools.partial(_BoundedProtocol, created, self._account),
        )


class _BoundedProcessor(grpc_protocol.EventsProcessor):
    """Event processor that tells when a call has ended.

    :ivar release_by_stream: ends the calls in progress.
    """

    def __init__(
        self,
        protocol: grpc_protocol.H2Protocol,
        on_released: Callable[[int], None],
    ) -> None:
        super().__init__(protocol.handler, protocol.connection)
        self.release_by_stream: dict[int, Callable[[], None]] = {}
        self._on_released = on_released

    def register(self, stream: grpc_protocol.Stream) -> Callable[[], None]:
        release = super().register(stream)

        def release_once() -> None:
            if self.release_by_stream.pop(stream.id, None) is not None:
                release()
                self._on_released(stream.id)

        self.release_by_stream[stream.id] = release_once
        return release_once


class _BoundedProtocol(grpc_protocol.H2Protocol):
    """Connection of a peer."""

    def __init__(
        self, created: grpc_protocol.H2Protocol, account: Account
    ) -> None:
        super().__init__(created.handler, created.config, created.h2_config)
        self._account = account
        self._holder: Holder | None = None
        self._transport: asyncio.Transport | None = None
        self._call_by_stream: dict[int, Reservation] = {}
        self._ended_streams: set[int] = set()

    def connection_made(self, transport: 'asyncio.BaseTransport') -> None:
        """Start the connection, or close it if there is no room for it."""
        self._transport = transport
        self._holder = self._account.open(self._evict)
        if self._holder is None:
            self._transport.abort()
            return
        super().connection_made(transport)
        self.processor = _BoundedProcessor(self, self._release_call)
        self._unframed = Reservation(self._holder)

    def data_received(self, data: bytes) -> None:
        """Handle what a peer has sent, as far as there is room for it."""
        if self._holder is None or self._transport.is_closing():
            return
        self._holder.progress()
        try:
            events = self.connection.feed(data)
        except ProtocolError:
            self.processor.close('Protocol error')
            return
        if events:
            self._unframed.release()
        elif not self._unframed.grow(len(data)):
            # A head in many frames, which the library keeps until it is complete.
            self._transport.abort()
            return
        for event in events:
            self._process(event)
        self.connection.flush()
        self._note_activity()
        if self._transport.get_write_buffer_size() > _MAX_UNSENT_BYTES:
            self._transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the calls in progress."""
        if self._holder is not None:
            super().connection_lost(exc)
            self._give_back()

    def _process(self, event: h2_events.Event) -> None:
        match event:
            case h2_events.RequestReceived(stream_id=stream_id, headers=head):
                call = Reservation(self._holder)
                size = sum([len(name) + len(text) for name, text in head])
                if not call.grow(_CALL_BYTES + size * _MESSAGE_COPIES):
                    self._reset(
                        self.connection.create_stream(stream_id=stream_id)
                    )
                    return
                self._call_by_stream[stream_id] = call
            case h2_events.DataReceived(stream_id=stream_id, data=part):
                call = self._call_by_stream.get(stream_id)
                if call is not None and not call.grow(
                    len(part) * _MESSAGE_COPIES
                ):
                    self._cancel(stream_id)
            case h2_events.StreamEnded(stream_id=stream_id):
                self._ended_streams.add(stream_id)
        self.processor.process(event)
        if isinstance(event, h2_events.StreamReset):
            self._end(event.stream_id)

    def _cancel(self, stream_id: int) -> None:
        """Refuse a call that has begun; the others on the connection go on."""
        stream = self.processor.streams[stream_id]
        self._reset(stream)
        self.handler.cancel(stream)
        self._end(stream_id)

    def _reset(self, stream: grpc_protocol.Stream) -> None:
        stream.reset_nowait(ErrorCodes.ENHANCE_YOUR_CALM)

    def _end(self, stream_id: int) -> None:
        # A task that is cancelled before it has run releases nothing itself.
        release = self.processor.release_by_stream.get(stream_id)
        if release is not None:
            release()

    def _release_call(self, stream_id: int) -> None:
        call = self._call_by_stream.pop(stream_id, None)
        if call is not None:
            call.release()
        self._ended_streams.discard(stream_id)
        self._note_activity()

    def _note_activity(self) -> None:
        if self._unframed.size or (
            self._call_by_stream.keys() - self._ended_streams
        ):
            activity = Activity.receiving
        elif self._call_by_stream:
            activity = Activity.busy
        else:
            activity = Activity.idle
        if activity is not self._holder.activity:
            self._holder.begin(activity)

    def _evict(self) -> None:
        self._transport.abort()
        self._give_back()

    def _give_back(self) -> None:
        for call in self._call_by_stream.values():
            call.release()
        self._call_by_stream.clear()
        self._unframed.release()
        self._holder.close()
