"""HTTP server with a limit on open connections."""

import asyncio
import functools
import ssl
from collections.abc import Awaitable, Callable

from aiohttp import web

from waxwingford.entry._connections import AccountedConnection
from waxwingford.entry._limits import HttpLimits
from waxwingford.entry._responses import write_response
from waxwingford.inbound import UNLIMITED, Account
from waxwingford.inbound.tls_gate import TlsGate

_MS_IN_S = 1000
#: Time for which the rest of a rejected body is still read, so that the caller
#: receives the response before the connection closes.
_LINGER_S = 1.0

RequestHandler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class HttpServer:
    """Serves one application on one address, within limits.

    :ivar port: listening TCP port; 0 before :meth:`start`.
    """

    def __init__(
        self,
        app: web.Application,
        limits: HttpLimits,
        account: Account | None = None,
    ) -> None:
        """Initialize without listening.

        :param limits: limits on connections, headers and idle time.
        :param account: budget of all connections, None if only their number is
            limited.
        """
        self.port = 0
        self._account = account or Account(
            UNLIMITED._replace(
                max_connections=limits.connections, keeps_silent=True
            )
        )
        self._options = {
            'access_log': None,
            'keepalive_timeout': limits.idle_ms / _MS_IN_S,
            'lingering_time': _LINGER_S,
            'max_line_size': limits.header_bytes,
            'max_field_size': limits.header_bytes,
            'auto_decompress': False,
        }
        app.middlewares.append(_account_for_requests(limits.write_ms))
        self._runner = web.AppRunner(app, **self._options)
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
        make_protocol = self._create_protocol
        if tls is not None:
            make_protocol = functools.partial(
                TlsGate, self._account, tls, self._create_protocol
            )
        self._listener = await loop.create_server(make_protocol, host, port)
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

    def _create_protocol(self) -> AccountedConnection:
        return AccountedConnection(
            self._runner.server, self._account, **self._options
        )


def _account_for_requests(write_ms: int) -> Callable[..., object]:
    """Create a middleware that keeps connections of requests in progress open.

    :param write_ms: time limit for a response that a handler hasn't written, in
        milliseconds.
    """

    @web.middleware
    async def account_for(
        request: web.Request, handler: RequestHandler
    ) -> web.StreamResponse:
        connection = request.protocol
        connection.begin_request(request.content)
        try:
            response = await handler(request)
            if not response.prepared:
                response = await write_response(request, response, write_ms)
        finally:
            connection.end_request()
        return response

    return account_for
