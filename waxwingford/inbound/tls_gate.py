"""TLS listeners that account for a connection before it is encrypted.

Not imported by the package itself, as a daemon without TLS starts without ``ssl``.
"""

import asyncio
import ssl
import traceback
from collections.abc import Callable

import logbook

from waxwingford.inbound._account import Account, Holder

#: Time for a TLS handshake, in seconds.
HANDSHAKE_S = 5.0

_log = logbook.Logger('inbound')


class _EarlyData(asyncio.Protocol):
    """Keeps what arrives until the next protocol takes the connection over."""

    def __init__(self) -> None:
        self.received = bytearray()
        self.lost = False

    def data_received(self, data: bytes) -> None:
        """Keep what has arrived with the end of the handshake."""
        self.received += data

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that nobody needs to take the connection over."""
        self.lost = True


class TlsGate(asyncio.Protocol):
    """Connection during its TLS handshake.

    Once it is encrypted, it belongs to another protocol, which accounts for it
    itself.
    """

    def __init__(
        self,
        account: Account,
        context: ssl.SSLContext,
        make_protocol: Callable[[], asyncio.BaseProtocol],
    ) -> None:
        """Create the protocol of a connection that was accepted.

        :param account: budget of all connections.
        :param make_protocol: creates the protocol of the encrypted connection.
        """
        self._account = account
        self._context = context
        self._make_protocol = make_protocol
        self._holder: Holder | None = None
        self._transport: asyncio.Transport | None = None
        self._handshake: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin the handshake, or close the connection if there is no room."""
        self._transport = transport
        self._holder = self._account.open(self._evict)
        if self._holder is None:
            transport.abort()
            return
        transport.pause_reading()
        self._handshake = asyncio.create_task(self._shake_hands())

    def connection_lost(self, exc: Exception | None) -> None:
        """Give back what the connection held, if the handshake hadn't begun."""
        if self._holder is not None:
            self._holder.close()

    async def _shake_hands(self) -> None:
        early = _EarlyData()
        try:
            encrypted = await asyncio.get_running_loop().start_tls(
                self._transport,
                early,
                self._context,
                server_side=True,
                ssl_handshake_timeout=HANDSHAKE_S,
            )
        except (OSError, asyncio.CancelledError) as error:
            # Also errors of TLS, a peer that has left, and eviction. The error and its
            # frames refer to each other: without this the buffers of the connection
            # would stay in memory until all objects are searched for cycles.
            traceback.clear_frames(error.__traceback__)
            _log.debug('no handshake', extra={'reason': str(error)})
            self._transport.abort()
            return
        finally:
            self._holder.close()
            self._handshake = None
        if early.lost or encrypted is None or encrypted.is_closing():
            self._transport.abort()
            return
        protocol = self._make_protocol()
        encrypted.set_protocol(protocol)
        protocol.connection_made(encrypted)
        if early.received:
            protocol.data_received(bytes(early.received))

    def _evict(self) -> None:
        if self._handshake is not None:
            self._handshake.cancel()
        self._transport.abort()
        self._holder.close()
