"""HTTP routes of callers: requests to latency-critical services."""

import itertools
from collections.abc import Callable, Collection, Mapping
from http import HTTPStatus
from typing import NamedTuple, Protocol

from aiohttp import web

from waxwingford.entry._bodies import (
    BodyMemoryExhausted,
    BodyReader,
    InvalidBody,
)
from waxwingford.entry._headers import (
    CallerHeaders,
    InvalidHeader,
    read_headers,
)
from waxwingford.entry._limits import HttpLimits
from waxwingford.entry._responses import build_response, write_response
from waxwingford.kernel import Clock
from waxwingford.routing import Outcome, Rejected, Request, refuse_or_unknown

#: Retry delay while the daemon is not ready or the body memory is exhausted.
BUSY_RETRY_AFTER_MS = 1000


class Dispatcher(Protocol):
    """Serves requests, as ``routing.RequestDispatcher`` does."""

    async def handle(self, request: Request) -> Outcome:
        """Serve, forward or refuse a request."""
        ...


class ServiceRoutesConfig(NamedTuple):
    """Dependencies of the service routes.

    :ivar daemon_id: ID of this daemon, the first part of request IDs.
    :ivar incarnation: incarnation of this process, the second part of request
        IDs.
    :ivar clock: source of monotonic time.
    :ivar members_by_service: returns the members that may use each service
        under the bundle in force; empty without a bundle.
    :ivar not_ready: returns the reason why the daemon is not ready; empty if
        it is ready.
    :ivar limits: limits on headers, bodies and response time.
    """

    daemon_id: str
    incarnation: str
    dispatcher: Dispatcher
    clock: Clock
    members_by_service: Callable[[], Mapping[str, Collection[str]]]
    not_ready: Callable[[], str]
    limits: HttpLimits = HttpLimits()


def service_routes(entry: ServiceRoutesConfig) -> list[web.RouteDef]:
    """Build the service routes.

    :returns: routes for ``aiohttp.web.Application.add_routes``.
    """
    routes = _ServiceRoutes(entry)
    return [web.post('/v1/services/{service}/{path:.*}', routes.serve)]


class _ServiceRoutes:
    def __init__(self, entry: ServiceRoutesConfig) -> None:
        self._entry = entry
        self._bodies = BodyReader(entry.limits)
        self._sequence = itertools.count(1)

    async def serve(self, request: web.Request) -> web.StreamResponse:
        start_ms = self._entry.clock.monotonic_ms()
        request_id = '/'.join(
            (
                self._entry.daemon_id,
                self._entry.incarnation,
                str(next(self._sequence)),
            )
        )
        outcome = await self._handle(request, request_id, start_ms)
        response = build_response(outcome, request_id)
        if not request.content.is_eof():
            # Closing is cheaper than reading the rest of the body.
            response.force_close()
        return await write_response(
            request, response, self._entry.limits.write_ms
        )

    async def _handle(
        self, request: web.Request, request_id: str, start_ms: int
    ) -> Outcome:
        headers = read_headers(request, self._entry.limits)
        if isinstance(headers, InvalidHeader):
            return Rejected(headers.reason)
        head = headers.request(
            request_id,
            request.match_info['service'],
            _service_path(request),
            b'',
            0,
        )
        not_ready = self._entry.not_ready()
        if not_ready:
            return refuse_or_unknown(head, not_ready, BUSY_RETRY_AFTER_MS)
        if not self._is_permitted(head):
            return Rejected(
                f'service {head.service!r} not found '
                f'for member {head.member!r}',
                HTTPStatus.NOT_FOUND,
            )
        return await self._handle_with_body(request, headers, head, start_ms)

    async def _handle_with_body(
        self,
        request: web.Request,
        headers: CallerHeaders,
        head: Request,
        start_ms: int,
    ) -> Outcome:
        reserved = self._bodies.reserve(request)
        match reserved:
            case InvalidBody(reason=reason, status=status):
                return Rejected(reason, status)
            case BodyMemoryExhausted():
                return _out_of_memory(head)
        try:
            body = await self._bodies.read(request, reserved)
            match body:
                case InvalidBody(reason=reason, status=status):
                    return Rejected(reason, status)
                case BodyMemoryExhausted():
                    return _out_of_memory(head)
            elapsed_ms = self._entry.clock.monotonic_ms() - start_ms
            return await self._entry.dispatcher.handle(
                headers.request(
                    head.request_id, head.service, head.path, body, elapsed_ms
                )
            )
        finally:
            self._bodies.release(reserved)

    def _is_permitted(self, head: Request) -> bool:
        members_by_service = self._entry.members_by_service()
        return head.member in members_by_service.get(head.service, ())


def _out_of_memory(head: Request) -> Outcome:
    return refuse_or_unknown(
        head, 'memory for request bodies is exhausted', BUSY_RETRY_AFTER_MS
    )


def _service_path(request: web.Request) -> str:
    # Percent-encoding and query string are left for the backend server.
    _, _, suffix = request.rel_url.raw_path_qs.partition('/services/')
    return suffix.partition('/')[2]
