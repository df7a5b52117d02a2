"""HTTP application of a daemon: services, jobs, health and status."""

import functools
from collections.abc import Callable
from http import HTTPStatus

from aiohttp import web

from waxwingford.bundles import Verified
from waxwingford.daemon._admin import Admin
from waxwingford.daemon._components import Components
from waxwingford.daemon._status import make_status, refresh_gauges
from waxwingford.entry import (
    BodyMemoryExhausted,
    BodyReader,
    HttpLimits,
    InvalidBody,
    JobRoutesConfig,
    ServiceRoutesConfig,
    job_routes,
    service_routes,
)
from waxwingford.settings import Settings


def make_application(
    components: Components, request_stop: Callable[[], None]
) -> web.Application:
    """Create the application with all routes.

    :param request_stop: callback that starts a planned stop.
    :returns: the application, not yet serving.
    """
    limits = entry_limits(components.settings)
    app = web.Application(client_max_size=limits.body_bytes)
    app.add_routes(_admin(components, request_stop, limits).routes())
    app.add_routes(service_routes(_service_entry(components, limits)))
    job_entry = JobRoutesConfig(
        components.batch, components.verify, components.clock, limits
    )
    app.add_routes(job_routes(job_entry))
    return app


def entry_limits(settings: Settings) -> HttpLimits:
    """Extract the limits of the HTTP entry."""
    return HttpLimits(
        body_bytes=settings.limits.body_bytes,
        header_bytes=settings.limits.header_bytes,
        connections=settings.limits.connections,
        default_deadline_ms=settings.limits.default_deadline_ms,
    )


def _admin(
    components: Components,
    request_stop: Callable[[], None],
    limits: HttpLimits,
) -> Admin:
    return Admin(
        lifecycle=components.lifecycle,
        metrics=components.metrics,
        timeline=components.timeline,
        status=lambda: make_status(components),
        refresh=lambda: refresh_gauges(components),
        drain=request_stop,
        reject=functools.partial(_reject, components, BodyReader(limits)),
    )


def _service_entry(
    components: Components, limits: HttpLimits
) -> ServiceRoutesConfig:
    return ServiceRoutesConfig(
        daemon_id=components.settings.identity.daemon_id,
        incarnation=components.incarnation,
        dispatcher=components.dispatcher,
        clock=components.clock,
        members_by_service=components.members_by_service,
        not_ready=lambda: _not_ready(components),
        limits=limits,
    )


def _not_ready(components: Components) -> str:
    # A draining daemon still accepts requests until the balancer stops sending.
    if components.reader.current is None:
        return 'no bundle is in force here'
    return ''


async def _reject(
    components: Components, bodies: BodyReader, request: web.Request
) -> web.Response | None:
    """Read a request that a member has to sign.

    :returns: the response that rejects it, None if it is signed.
    """
    reserved = bodies.reserve(request)
    if isinstance(reserved, InvalidBody | BodyMemoryExhausted):
        return _rejection(reserved)
    try:
        body = await bodies.read(request, reserved)
    finally:
        bodies.release(reserved)
    if isinstance(body, InvalidBody | BodyMemoryExhausted):
        return _rejection(body)
    check = components.verify(
        request.headers, request.method, request.path_qs, body
    )
    if isinstance(check, Verified):
        return None
    return web.Response(
        status=HTTPStatus.UNAUTHORIZED, text='not signed by a member\n'
    )


def _rejection(body: InvalidBody | BodyMemoryExhausted) -> web.Response:
    match body:
        case InvalidBody(reason=reason, status=status):
            response = web.Response(status=status, text=f'{reason}\n')
        case _:
            response = web.Response(
                status=HTTPStatus.SERVICE_UNAVAILABLE,
                headers={'Retry-After': '1'},
            )
    response.force_close()
    return response
