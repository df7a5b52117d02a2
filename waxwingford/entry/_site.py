"""Listening socket of the entry, with a bound on open connections."""

import asyncio
import ssl

from aiohttp import web

from waxwingford.entry._limits import EntryLimits

_MS_IN_S = 1000
#: Time for which the rest of an unwanted body is read, in seconds: long
#: enough for the caller to see the answer that says why.
_LINGER_S = 1.0
_TOO_MANY = (
    b'HTTP/1.1 503 Service Unavailable\r\n'
    b'Waxwingford-Outcome: refused\r\n'
    b'Retry-After: 1\r\n'
    b'Waxwingford-Retry-After-Ms: 1000\r\n'
    b'Content-Length: 0\r\n'
    b'Connection: close\r\n\r\n'
)


class _TurnedAway(asyncio.Protocol):
    """Connection beyond the bound: told so, and closed before it is read."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        if isinstance(transport, asyncio.Transport):
            transport.write(_TOO_MANY)
            transport.close()


class HttpSite:
    """Serves one application on one address, within bounds.

    :ivar port: TCP port that it listens on, after :meth:`start`.
    """

    def __init__(self, app: web.Application, limits: EntryLimits) -> None:
        """Prepare; nothing listens yet.

        :param app: the application.
        :param limits: bounds of connections, headers and time.
        """
        self.port = 0
        self._limits = limits
        self._runner = web.AppRunner(
            app,
            access_log=None,
            keepalive_timeout=limits.idle_ms / _MS_IN_S,
            lingering_time=_LINGER_S,
            max_line_size=limits.header_bytes,
            max_field_size=limits.header_bytes,
            auto_decompress=False,
        )
        self._listener: asyncio.Server | None = None

    async def start(
        self, host: str, port: int, tls: ssl.SSLContext | None = None
    ) -> None:
        """Listen.

        :param host: IP number.
        :param port: TCP port; 0 for any free one.
        :param tls: server context, None for plain TCP.
        :raises OSError: if the address cannot be had.
        """
        await self._runner.setup()
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._connection, host, port, ssl=tls
        )
        self.port = self._listener.sockets[0].getsockname()[1]

    async def stop_listening(self) -> None:
        """Take no more connections; those that are open go on."""
        if self._listener is not None:
            self._listener.close()

    async def stop(self) -> None:
        """Close everything; requests in progress should have ended."""
        await self.stop_listening()
        await self._runner.cleanup()

    def connections(self) -> int:
        """Count open connections.

        :returns: the count.
        """
        server = self._runner.server
        return len(server.connections) if server else 0

    def _connection(self) -> asyncio.BaseProtocol:
        server = self._runner.server
        if server is None or self.connections() >= self._limits.connections:
            return _TurnedAway()
        return server()
