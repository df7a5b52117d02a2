"""HTTP server with a limit on open connections."""

import asyncio
import ssl

from aiohttp import web

from waxwingford.entry._limits import HttpLimits

_MS_IN_S = 1000
#: Time for which the rest of a rejected body is still read, so that the caller
#: receives the response before the connection closes.
_LINGER_S = 1.0
_TOO_MANY_CONNECTIONS = (
    b'HTTP/1.1 503 Service Unavailable\r\n'
    b'Waxwingford-Outcome: refused\r\n'
    b'Retry-After: 1\r\n'
    b'Waxwingford-Retry-After-Ms: 1000\r\n'
    b'Content-Length: 0\r\n'
    b'Connection: close\r\n\r\n'
)


class _OverLimitProtocol(asyncio.Protocol):
    """Answers a connection over the limit with 503 and closes it unread."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        if isinstance(transport, asyncio.Transport):
            transport.write(_TOO_MANY_CONNECTIONS)
            transport.close()


class HttpServer:
    """Serves one application on one address, within limits.

    :ivar port: listening TCP port; 0 before :meth:`start`.
    """

    def __init__(self, app: web.Application, limits: HttpLimits) -> None:
        """Initialize without listening.

        :param limits: limits on connections, headers and idle time.
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
        """Start to listen.

        :param host: IP address.
        :param port: TCP port; 0 for any free port.
        :param tls: TLS context of the server; None for plain TCP.
        :raises OSError: if the address cannot be bound.
        """
        await self._runner.setup()
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._create_protocol, host, port, ssl=tls
        )
        self.port = self._listener.sockets[0].getsockname()[1]

    async def stop_listening(self) -> None:
        """Stop accepting connections; open connections are kept."""
        if self._listener is not None:
            self._listener.close()

    async def stop(self) -> None:
        """Close all connections; call it after requests have completed."""
        await self.stop_listening()
        await self._runner.cleanup()

    def connections(self) -> int:
        """Count the open connections.

        :returns: number of connections, without those refused at the limit.
        """
        server = self._runner.server
        return len(server.connections) if server else 0

    def _create_protocol(self) -> asyncio.BaseProtocol:
        server = self._runner.server
        if server is None or self.connections() >= self._limits.connections:
            return _OverLimitProtocol()
        return server()
