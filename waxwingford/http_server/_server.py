"""Listener of the HTTP server."""

import asyncio

from waxwingford.http_server._answers import Handler
from waxwingford.http_server._connection import ServerConnection
from waxwingford.http_server._reader import ServerLimits
from waxwingford.inbound import UNLIMITED, Account

#: Time for requests in progress to end when the server is closed, in seconds.
CLOSE_TIMEOUT_S = 60.0
#: Times that a body may be in memory while it is read.
BODY_COPIES = 2
_BACKLOG = 128
_DEFAULT_LIMITS = ServerLimits()


class HttpServer:
    """Serves requests on one or more endpoints."""

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits = _DEFAULT_LIMITS,
        account: Account | None = None,
    ) -> None:
        """Create the server; it listens nowhere yet.

        :param handler: answers one request; called for several at a time.
        :param account: budget of all connections, ``None`` for no bound.
        """
        self._handler = handler
        self._account = account or Account(UNLIMITED)
        self._limits = limits._replace(body_bytes=self._max_body_bytes)
        self._permitted_body_bytes = limits.body_bytes
        self._listeners: list[asyncio.Server] = []
        self._connections: set[ServerConnection] = set()

    @property
    def addresses(self) -> list[str]:
        """Addresses and ports that the server listens on."""
        names = (
            listener.sockets[0].getsockname() for listener in self._listeners
        )
        return [f'{name[0]}:{name[1]}' for name in names]

    async def serve(self, endpoint: str) -> None:
        """Listen on one more endpoint.

        :param endpoint: IP address and port.
        """
        host, port = endpoint.rsplit(':', 1)
        listener = await asyncio.get_running_loop().create_server(
            self._make_connection, host.strip('[]'), int(port), backlog=_BACKLOG
        )
        self._listeners.append(listener)

    async def close(self) -> None:
        """Stop listening, complete open requests, close all connections."""
        for listener in self._listeners:
            listener.close()
        for connection in tuple(self._connections):
            connection.close_gracefully()
        answering = [
            connection.answering
            for connection in self._connections
            if connection.answering is not None
        ]
        if answering:
            await asyncio.wait(answering, timeout=CLOSE_TIMEOUT_S)
        for connection in tuple(self._connections):
            connection.abort()

    def _max_body_bytes(self) -> int:
        """Limit a body by what one connection may hold with its copy."""
        return min(
            self._permitted_body_bytes(),
            self._account.connection_bytes // BODY_COPIES,
        )

    def _make_connection(self) -> ServerConnection:
        return ServerConnection(
            self._handler, self._limits, self._account, self._connections
        )
