"""Routes of callers: requests to latency-critical services."""

import itertools
from collections.abc import Callable, Collection, Mapping
from http import HTTPStatus
from typing import NamedTuple, Protocol

from aiohttp import web

from waxwingford.entry._answers import build_answer, write_whole
from waxwingford.entry._bodies import BodyFault, BodyReader, NoBodyRoom
from waxwingford.entry._headers import (
    CallerHeaders,
    HeaderFault,
    read_headers,
)
from waxwingford.entry._limits import EntryLimits
from waxwingford.kernel import Clock
from waxwingford.routing import Outcome, Rejected, Request, turn_away

#: When to come back while the daemon is not ready or its memory is full.
BUSY_RETRY_MS = 1000


class Dispatcher(Protocol):
    """Serves requests; ``routing.RequestDispatcher`` fits."""

    async def handle(self, request: Request) -> Outcome:
        """Serve, forward or give up a request.

        :param request: the request.
        :returns: tagged outcome.
        """
        ...


class ServiceEntry(NamedTuple):
    """What the routes of services need.

    :ivar daemon_id: this daemon, first part of request ids.
    :ivar incarnation: of this process, second part of request ids.
    :ivar dispatcher: serves the requests.
    :ivar clock: monotonic time.
    :ivar members_by_service: who may use which service, by the bundle in
        force; empty without a bundle.
    :ivar not_ready: why the daemon may not serve; empty if it may.
    :ivar limits: bounds.
    """

    daemon_id: str
    incarnation: str
    dispatcher: Dispatcher
    clock: Clock
    members_by_service: Callable[[], Mapping[str, Collection[str]]]
    not_ready: Callable[[], str]
    limits: EntryLimits = EntryLimits()


def service_routes(entry: ServiceEntry) -> list[web.RouteDef]:
    """List the routes of services.

    :param entry: what they need.
    :returns: for ``aiohttp.web.Application.add_routes``.
    """
    routes = _ServiceRoutes(entry)
    return [web.post('/v1/services/{service}/{path:.*}', routes.serve)]


class _ServiceRoutes:
    def __init__(self, entry: ServiceEntry) -> None:
        self._entry = entry
        self._bodies = BodyReader(entry.limits)
        self._numbers = itertools.count(1)

    async def serve(self, request: web.Request) -> web.StreamResponse:
        began_ms = self._entry.clock.monotonic_ms()
        request_id = '/'.join(
            (
                self._entry.daemon_id,
                self._entry.incarnation,
                str(next(self._numbers)),
            )
        )
        outcome = await self._outcome(request, request_id, began_ms)
        response = build_answer(outcome, request_id)
        if not request.content.is_eof():
            # What is left of the body is not worth reading.
            response.force_close()
        return await write_whole(request, response, self._entry.limits.write_ms)

    async def _outcome(
        self, request: web.Request, request_id: str, began_ms: int
    ) -> Outcome:
        headers = read_headers(request, self._entry.limits)
        if isinstance(headers, HeaderFault):
            return Rejected(headers.reason)
        bare = headers.request(
            request_id, request.match_info['service'], _path(request), b'', 0
        )
        not_ready = self._entry.not_ready()
        if not_ready:
            return turn_away(bare, not_ready, BUSY_RETRY_MS)
        if not self._may_use(bare):
            return Rejected(
                f'no service {bare.service!r} of member {bare.member!r}',
                HTTPStatus.NOT_FOUND,
            )
        return await self._with_body(request, headers, bare, began_ms)

    async def _with_body(
        self,
        request: web.Request,
        headers: CallerHeaders,
        bare: Request,
        began_ms: int,
    ) -> Outcome:
        reserved = self._bodies.reserve(request)
        match reserved:
            case BodyFault(reason=reason, status=status):
                return Rejected(reason, status)
            case NoBodyRoom():
                return turn_away(bare, 'too many large bodies', BUSY_RETRY_MS)
        try:
            body = await self._bodies.read(request)
            if isinstance(body, BodyFault):
                return Rejected(body.reason, body.status)
            waited_ms = self._entry.clock.monotonic_ms() - began_ms
            return await self._entry.dispatcher.handle(
                headers.request(
                    bare.request_id, bare.service, bare.path, body, waited_ms
                )
            )
        finally:
            self._bodies.release(reserved)

    def _may_use(self, bare: Request) -> bool:
        members_by_service = self._entry.members_by_service()
        return bare.member in members_by_service.get(bare.service, ())


def _path(request: web.Request) -> str:
    # As sent, with its escapes and its query: the backend server reads it.
    _, _, below = request.rel_url.raw_path_qs.partition('/services/')
    return below.partition('/')[2]
