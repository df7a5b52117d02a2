"""HTTP for operators and the balancer: health, status, metrics, time line."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any, TypedDict

import msgspec
from aiohttp import web

from waxwingford.daemon._life import Life
from waxwingford.metrics import Metrics
from waxwingford.timeline import TimeLine


class BundleStatus(TypedDict):
    """Bundle in force.

    ``version`` is 0 without one; ``digest`` is hexadecimal.
    """

    version: int
    digest: str


class JobsStatus(TypedDict):
    """Counts of tasks in the failure domain."""

    pending: int
    running: int


class PeerStatus(TypedDict):
    """A peer as last heard of; ``distance_ms`` is a round trip."""

    daemon_id: str
    alive: bool
    distance_ms: float


class Status(TypedDict):
    """What ``GET /v1/status`` answers."""

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
    """Routes that only read, and the one that drains."""

    def __init__(
        self,
        *,
        life: Life,
        metrics: Metrics,
        time_line: TimeLine,
        status: Callable[[], Status],
        refresh: Callable[[], None],
        drain: Callable[[], None],
        member_of: Callable[[web.Request, bytes], str | None],
    ) -> None:
        """Wire the routes.

        :param life: readiness.
        :param metrics: what ``/metrics`` writes.
        :param time_line: what ``/v1/timeline`` writes.
        :param status: makes the status.
        :param refresh: sets gauges before they are written.
        :param drain: starts a planned stop.
        :param member_of: member that signed an operator's request, or None.
        """
        self._life = life
        self._metrics = metrics
        self._time_line = time_line
        self._status = status
        self._refresh = refresh
        self._drain = drain
        self._member_of = member_of

    def routes(self) -> list[web.RouteDef]:
        """List the routes.

        :returns: for ``aiohttp.web.Application.add_routes``.
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
        missing = self._life.missing()
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
        return _json(self._time_line.since(int(after)))

    async def _start_drain(self, request: web.Request) -> web.Response:
        if self._member_of(request, await request.read()) is None:
            return web.Response(
                status=HTTPStatus.UNAUTHORIZED, text='not signed by a member\n'
            )
        self._drain()
        return web.Response(status=HTTPStatus.ACCEPTED, text='draining\n')


def _json(answer: Any) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(answer), content_type='application/json'
    )
