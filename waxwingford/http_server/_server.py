"""Listener of the HTTP server."""

import asyncio

from waxwingford.http_server._connection import Handler, ServerConnection
from waxwingford.http_server._reader import ServerLimits

#: Time for requests in progress to end when the server is closed, in seconds.
CLOSE_TIMEOUT_S = 60.0
_BACKLOG = 128
_DEFAULT_LIMITS = ServerLimits()


class HttpServer:
    """Serves requests on one or more endpoints."""

    def __init__(
        self, handler: Handler, limits: ServerLimits = _DEFAULT_LIMITS
    ) -> None:
        """Create the server; it listens nowhere yet.

        :param handler: answers one request; called for several at a time.
        """
        self._handler = handler
        self._limits = limits
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

    def _make_connection(self) -> ServerConnection:
        return ServerConnection(self._handler, self._limits, self._connections)
