"""Process that simulates the network between failure domains.

Each link relays TCP connections with a delay.  ``POST /fault`` partitions the
network: data is held back until the partition heals.
"""

import argparse
import asyncio
import contextlib
import functools
import pathlib

import msgspec
from aiohttp import web

from waxwingford_standins.serving import run_process, start_site

_MS_PER_S = 1000
_CHUNK_BYTES = 65_536
_HOST = '127.0.0.1'
_CLOSE_TIMEOUT_S = 1
_CONNECT_TIMEOUT_S = 2


class Link(msgspec.Struct, frozen=True):
    """Relayed TCP port.

    :ivar listen_port: port that the source connects to.
    :ivar target_port: port that the destination listens on.
    :ivar source: failure domain of the client.
    :ivar destination: failure domain of the server, or ``platform``.
    :ivar delay_ms: one-way latency, in milliseconds.
    """

    listen_port: int
    target_port: int
    source: str
    destination: str
    delay_ms: float = 0


class RelayConfig(msgspec.Struct):
    """Configuration file of the process, in JSON.

    :ivar admin_port: TCP port for faults.
    """

    admin_port: int
    links: list[Link]


class RelayFault(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /fault``.

    :ivar isolated: failure domains that are partitioned from everything
        outside them.
    :ivar cut: further pairs of source and destination to disconnect.
    """

    isolated: list[str]
    cut: list[tuple[str, str]] = []


class Relay:
    """Relay for all links, with the current partition."""

    def __init__(self) -> None:
        self._isolated: frozenset[str] = frozenset()
        self._cut: frozenset[tuple[str, str]] = frozenset()
        self._changed = asyncio.Event()
        self._connections: set[asyncio.Task[None]] = set()

    def admin_application(self) -> web.Application:
        """Create the application of the admin port."""
        app = web.Application()
        app.add_routes((web.post('/fault', self.set_fault),))
        return app

    async def set_fault(self, request: web.Request) -> web.StreamResponse:
        """Replace the current partition.

        :param request: HTTP request with a :class:`RelayFault` as body.
        :returns: empty response; 400 if the body is malformed.
        """
        try:
            fault = msgspec.json.decode(await request.read(), type=RelayFault)
        except msgspec.DecodeError as error:
            return web.Response(status=400, text=str(error))
        self._isolated = frozenset(fault.isolated)
        self._cut = frozenset(fault.cut)
        self._changed.set()
        self._changed = asyncio.Event()
        return web.Response()

    async def open(self, link: Link) -> asyncio.Server:
        """Start listening for a link."""
        return await asyncio.start_server(
            functools.partial(self._accept, link), _HOST, link.listen_port
        )

    def _accept(
        self,
        link: Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        task = asyncio.ensure_future(self._relay(link, reader, writer))
        self._connections.add(task)
        task.add_done_callback(self._connections.discard)

    async def _relay(
        self,
        link: Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.closing(writer):
            await self._wait_until_connected(link)
            try:
                async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                    target = await asyncio.open_connection(
                        _HOST, link.target_port
                    )
            except (OSError, TimeoutError):
                return
            with contextlib.closing(target[1]):
                await self._relay_both_directions(
                    link, (reader, writer), target
                )

    async def _relay_both_directions(
        self, link: Link, source_streams: tuple, target_streams: tuple
    ) -> None:
        """Relay data until either side closes its connection.

        :param source_streams: reader and writer of the source.
        :param target_streams: reader and writer of the destination.
        """
        directions = [
            asyncio.ensure_future(
                self._forward(link, source_streams[0], target_streams[1])
            ),
            asyncio.ensure_future(
                self._forward(link, target_streams[0], source_streams[1])
            ),
        ]
        try:
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for direction in directions:
                direction.cancel()
            await asyncio.wait(directions, timeout=_CLOSE_TIMEOUT_S)

    async def _forward(
        self,
        link: Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while chunk := await reader.read(_CHUNK_BYTES):
                await asyncio.sleep(link.delay_ms / _MS_PER_S)
                await self._wait_until_connected(link)
                writer.write(chunk)
                await writer.drain()

    async def _wait_until_connected(self, link: Link) -> None:
        while self._is_cut(link):
            await self._changed.wait()

    def _is_cut(self, link: Link) -> bool:
        if (link.source, link.destination) in self._cut:
            return True
        from_inside = link.source in self._isolated
        return from_inside != (link.destination in self._isolated)


def main() -> None:
    """Run the process until it is stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--config', type=pathlib.Path, required=True)
    options = parser.parse_args()
    config = msgspec.json.decode(options.config.read_bytes(), type=RelayConfig)

    async def _open(stack: contextlib.AsyncExitStack) -> None:
        relay = Relay()
        for link in config.links:
            server = await relay.open(link)
            stack.callback(server.close)
        runner = await start_site(
            relay.admin_application(), _HOST, config.admin_port
        )
        stack.push_async_callback(runner.cleanup)

    run_process(_open)


if __name__ == '__main__':
    main()
