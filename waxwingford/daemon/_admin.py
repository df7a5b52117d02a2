"""HTTP routes for operators and the balancer."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any, TypedDict

import msgspec
from aiohttp import web

from waxwingford.daemon._lifecycle import Lifecycle
from waxwingford.metrics import Metrics
from waxwingford.timeline import Timeline


class BundleStatus(TypedDict):
    """Bundle in force.

    ``version`` is 0 if there is none; ``digest`` is hexadecimal.
    """

    version: int
    digest: str


class JobsStatus(TypedDict):
    """Numbers of tasks in the failure domain."""

    pending: int
    running: int


class PeerStatus(TypedDict):
    """State of a peer.

    ``distance_ms`` is the round-trip time in milliseconds.
    """

    daemon_id: str
    alive: bool
    distance_ms: float


class Status(TypedDict):
    """Response body of ``GET /v1/status``."""

    daemon: str
    incarnation: str
    failure_domain: str
    state: str
    ready: bool
    missing: list[str]
    bundle: BundleStatus
    servers: list[dict[str, Any]]
    jobs: JobsStatus
    peers: list[PeerStatus]


class Admin:
    """Handlers of health, metrics, status, timeline and drain requests."""

    def __init__(
        self,
        *,
        lifecycle: Lifecycle,
        metrics: Metrics,
        timeline: Timeline,
        status: Callable[[], Status],
        refresh: Callable[[], None],
        drain: Callable[[], None],
        reject: Callable[[web.Request], Awaitable[web.Response | None]],
    ) -> None:
        """Store the sources of the responses.

        :param lifecycle: source of ``/readyz``.
        :param metrics: source of ``/metrics``.
        :param timeline: source of ``/v1/timeline``.
        :param status: returns the response body of ``/v1/status``.
        :param refresh: updates gauges before metrics are rendered.
        :param drain: starts a planned stop.
        :param reject: reads a request and returns the response that rejects it,
            or None if a member has signed it.
        """
        self._lifecycle = lifecycle
        self._metrics = metrics
        self._timeline = timeline
        self._status = status
        self._refresh = refresh
        self._drain = drain
        self._reject = reject

    def routes(self) -> list[web.RouteDef]:
        """List the routes.

        :returns: routes for ``aiohttp.web.Application.add_routes``.
        """
        return [
            web.get('/healthz', self._healthz),
            web.get('/readyz', self._readyz),
            web.get('/metrics', self._metrics_text),
            web.get('/v1/status', self._status_json),
            web.get('/v1/timeline', self._time_line_json),
            web.post('/v1/drain', self._start_drain),
        ]

    async def _healthz(self, request: web.Request) -> web.Response:
        return web.Response(text='alive\n')

    async def _readyz(self, request: web.Request) -> web.Response:
        missing = self._lifecycle.missing()
        if missing:
            text = ''.join(f'{reason}\n' for reason in missing)
            return web.Response(
                status=HTTPStatus.SERVICE_UNAVAILABLE, text=text
            )
        return web.Response(text='ready\n')

    async def _metrics_text(self, request: web.Request) -> web.Response:
        self._refresh()
        return web.Response(text=self._metrics.render())

    async def _status_json(self, request: web.Request) -> web.Response:
        return _json(self._status())

    async def _time_line_json(self, request: web.Request) -> web.Response:
        after = request.query.get('since', '0')
        if not after.isdecimal():
            text = f'since: {after!r}, expected a sequence number\n'
            return web.Response(status=HTTPStatus.BAD_REQUEST, text=text)
        return _json(self._timeline.since(int(after)))

    async def _start_drain(self, request: web.Request) -> web.Response:
        rejection = await self._reject(request)
        if rejection is not None:
            return rejection
        self._drain()
        return web.Response(status=HTTPStatus.ACCEPTED, text='draining\n')


def _json(answer: Any) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(answer), content_type='application/json'
    )
