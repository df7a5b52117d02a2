"""Frames on a TCP connection, each preceded by its length."""

import asyncio
import dataclasses
import socket
import struct
from collections.abc import Callable

import logbook

from waxwingford.inbound import (
    UNLIMITED,
    Account,
    Activity,
    Holder,
    Reservation,
)

_LENGTH = struct.Struct('>I')
_KIB = 1024
#: Longest frame, in bytes; a batch of orders is far shorter.
MAX_FRAME_BYTES = 8 * _KIB * _KIB

#: Time in seconds without a sign of the peer's machine until it is probed, between
#: probes, and their number: a partition closes no connection.
_KEEP_ALIVE_IDLE_S = 4
_KEEP_ALIVE_INTERVAL_S = 1
_KEEP_ALIVE_PROBES = 3
_MS_PER_S = 1000

_log = logbook.Logger('relays')


class FrameError(Exception):
    """A frame can't be read."""


@dataclasses.dataclass(slots=True)
class FrameTraffic:
    """Frames and bytes on all connections of one side.

    :ivar frames: frames sent.
    """

    frames: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0


class FrameConnection(asyncio.Protocol):
    """A connection that carries frames.

    :ivar closed: whether it can't carry another frame.
    """

    def __init__(
        self,
        on_frame: Callable[['FrameConnection', bytes], None],
        on_closed: Callable[['FrameConnection'], None],
        traffic: FrameTraffic,
        account: Account | None = None,
    ) -> None:
        """Create the protocol of a connection.

        :param on_frame: called with each frame; it raises ``FrameError`` if the
            frame is malformed, and the connection is closed.
        :param account: budget of the connections that were accepted, ``None`` for
            one that this side opens.
        """
        self.closed = False
        self._on_frame = on_frame
        self._on_closed = on_closed
        self._traffic = traffic
        self._account = account or Account(UNLIMITED)
        self._holder: Holder | None = None
        self._received: Reservation | None = None
        self._trusted = account is None
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait because the peer or the link is slow."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport
        self._holder = self._account.open(self.abort)
        if self._holder is None:
            self.abort()
            return
        self._received = Reservation(self._holder)
        peer = transport.get_extra_info('socket')
        if peer is not None:
            _detect_loss(peer)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection."""
        self.closed = True
        self._give_back()
        self._on_closed(self)

    def data_received(self, data: bytes) -> None:
        """Pass on the frames that are complete."""
        if self.closed:
            return
        self._holder.progress()
        if not self._received.grow(len(data)):
            self.abort()
            return
        self._buffer += data
        self._traffic.received_bytes += len(data)
        start = 0
        try:
            while not self.closed:
                frame, start = self._next_frame(start)
                if frame is None:
                    break
                self._on_frame(self, frame)
        except FrameError as error:
            _log.error('frame not read', extra={'reason': str(error)})
            self.abort()
        del self._buffer[:start]
        if not self.closed:
            self._received.resize(len(self._buffer))
            self._note_activity()

    def trust(self) -> None:
        """Keep the connection open while no frame of it is incomplete."""
        self._trusted = True

    def send(self, frame: bytes) -> None:
        """Send a frame."""
        if not self.closed:
            self._traffic.frames += 1
            self._traffic.sent_bytes += _LENGTH.size + len(frame)
            self._transport.write(_LENGTH.pack(len(frame)) + frame)

    def abort(self) -> None:
        """Close the connection at once."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()
        self._give_back()

    def _give_back(self) -> None:
        if self._holder is not None:
            self._buffer = bytearray()
            self._received.release()
            self._holder.close()

    def _note_activity(self) -> None:
        if self._buffer:
            activity = Activity.receiving
        else:
            activity = Activity.busy if self._trusted else Activity.silent
        if activity is not self._holder.activity:
            self._holder.begin(activity)

    def _next_frame(self, start: int) -> tuple[bytes | None, int]:
        """Take a frame from the buffer.

        :returns: the frame, ``None`` if it isn't complete, and where the next
            one begins.
        :raises FrameError: if the frame is too long.
        """
        begin = start + _LENGTH.size
        if len(self._buffer) < begin:
            return None, start
        length = _LENGTH.unpack_from(self._buffer, start)[0]
        most = min(MAX_FRAME_BYTES, self._holder.max_bytes)
        if length > most:
            raise FrameError(
                f'frame has {length} bytes, expected at most {most}'
            )
        end = begin + length
        if len(self._buffer) < end:
            return None, start
        return bytes(self._buffer[begin:end]), end


def _detect_loss(peer: socket.socket) -> None:
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, setting in (
        (socket.TCP_KEEPIDLE, _KEEP_ALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, _KEEP_ALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, _KEEP_ALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, _KEEP_ALIVE_IDLE_S * _MS_PER_S),
    ):
        peer.setsockopt(socket.IPPROTO_TCP, option, setting)
