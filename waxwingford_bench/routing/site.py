"""Backend server, daemon and peer in one process, connected over loopback."""

import asyncio
import random
from typing import NamedTuple

from aiohttp import web
from grpclib.server import Server

from waxwingford.adapters import HttpServers
from waxwingford.entry import (
    HttpLimits,
    HttpServer,
    ServiceRoutesConfig,
    service_routes,
)
from waxwingford.kernel import Clock
from waxwingford.metrics import Metrics
from waxwingford.peers import PeerClients, PeerService
from waxwingford.routing import (
    DispatchLimits,
    DispatchPorts,
    LeasedServer,
    PeerView,
    RequestDispatcher,
)
from waxwingford.settings import PeerAddress
from waxwingford.timeline import Timeline

_HOST = '127.0.0.1'
_DOMAIN = 'gulberg'
_SLOTS = 1000
_SLOW_START_WAIT_S = 1.0
_HOUR_MS = 3_600_000
_REQUEST_ID = 'Waxwingford-Request-Id'


class Address(NamedTuple):
    """Address of requests on one route.

    :ivar url: request URL.
    :ivar headers: request headers.
    """

    url: str
    headers: dict[str, str]


class _Daemon:
    """Request path of one daemon: HTTP entry, dispatcher and peer links."""

    def __init__(
        self, daemon_id: str, clock: Clock, peers: tuple[PeerAddress, ...]
    ) -> None:
        self.timeline = Timeline(daemon_id, '1', clock, 64)
        self.servers = HttpServers()
        self.links = PeerClients(daemon_id, peers, clock, self.timeline)
        ports = DispatchPorts(
            self.servers, self.links, clock, self.timeline, Metrics()
        )
        self.dispatcher = RequestDispatcher(
            daemon_id=daemon_id,
            failure_domain=_DOMAIN,
            ports=ports,
            rng=random.Random(1),
            limits=DispatchLimits(),
        )
        entry = ServiceRoutesConfig(
            daemon_id=daemon_id,
            incarnation='1',
            dispatcher=self.dispatcher,
            clock=clock,
            members_by_service=lambda: {'dispatcher': {'qadri'}},
            not_ready=str,
        )
        app = web.Application()
        app.add_routes(service_routes(entry))
        self.site = HttpServer(app, HttpLimits())

    async def stop(self) -> None:
        await self.site.stop()
        self.links.close()
        await self.servers.close()


class BenchSite:
    """A backend server, the daemon that holds it, and a peer daemon."""

    def __init__(self, clock: Clock) -> None:
        """Create all parts without listening.

        :param clock: clock of both daemons.
        """
        self._clock = clock
        app = web.Application()
        app.router.add_post('/services/dispatcher/{path}', _echo)
        self._backend = HttpServer(app, HttpLimits())
        self._holder = _Daemon('gulberg-1', clock, ())
        self._peer: _Daemon | None = None
        self._rpc = Server(
            [
                PeerService(
                    self._holder.dispatcher,
                    lambda beat: beat,
                    lambda after: (0, ()),
                    self._holder.timeline,
                )
            ]
        )

    async def start(self) -> None:
        """Start all parts and wait for slow start to open enough slots.

        :raises OSError: if a port cannot be bound.
        """
        await self._backend.start(_HOST, 0)
        await self._holder.site.start(_HOST, 0)
        rpc_port = await self._start_rpc()
        address = PeerAddress(
            daemon_id='gulberg-1',
            failure_domain=_DOMAIN,
            host=_HOST,
            rpc_port=rpc_port,
            http_port=self._holder.site.port,
        )
        self._peer = _Daemon('gulberg-2', self._clock, (address,))
        await self._peer.site.start(_HOST, 0)
        self._holder.dispatcher.set_servers((self._held_server(),))
        await asyncio.sleep(_SLOW_START_WAIT_S)
        self._holder.dispatcher.set_servers((self._held_server(),))
        free_slots = {'dispatcher': _HOUR_MS}
        peer_view = PeerView('gulberg-1', _DOMAIN, True, free_slots, {}, 1.0)
        self._peer.dispatcher.set_peers((peer_view,))

    async def stop(self) -> None:
        """Stop all parts."""
        if self._peer is not None:
            await self._peer.stop()
        self._rpc.close()
        await self._rpc.wait_closed()
        await self._holder.stop()
        await self._backend.stop()

    def addresses(self) -> dict[str, Address]:
        """List the routes of a request to the backend server.

        :returns: address by route: ``direct``, ``holder``, ``peer``.
        """
        headers = {
            'Waxwingford-Member': 'qadri',
            'Waxwingford-Idempotent': 'true',
        }
        ports = {'holder': self._holder.site.port}
        if self._peer is not None:
            ports['peer'] = self._peer.site.port
        direct = Address(
            f'http://{_HOST}:{self._backend.port}/services/dispatcher/x',
            {_REQUEST_ID: '1'},
        )
        return {
            'direct': direct,
            **{
                route: Address(
                    f'http://{_HOST}:{port}/v1/services/dispatcher/x', headers
                )
                for route, port in ports.items()
            },
        }

    async def _start_rpc(self) -> int:
        await self._rpc.start(_HOST, 0)
        listener = self._rpc._server  # noqa: SLF001
        return listener.sockets[0].getsockname()[1]

    def _held_server(self) -> LeasedServer:
        return LeasedServer(
            server_id='server-1',
            rack='rack-1',
            service='dispatcher',
            host=_HOST,
            port=self._backend.port,
            slots=_SLOTS,
            connections=_SLOTS,
            predicted_ms=1.0,
            leaving=False,
            lease_until_ms=self._clock.monotonic_ms() + _HOUR_MS,
            boot_id='boot',
        )


async def _echo(request: web.Request) -> web.Response:
    return web.Response(
        body=await request.read(),
        headers={_REQUEST_ID: request.headers[_REQUEST_ID]},
    )
