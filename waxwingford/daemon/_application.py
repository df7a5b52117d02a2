"""The HTTP application of a daemon: services, jobs, health and status."""

from collections.abc import Callable

from aiohttp import web

from waxwingford.bundles import Verified
from waxwingford.daemon._admin import Admin
from waxwingford.daemon._parts import Parts
from waxwingford.daemon._status import make_status, refresh_gauges
from waxwingford.entry import (
    EntryLimits,
    JobEntry,
    ServiceEntry,
    job_routes,
    service_routes,
)
from waxwingford.settings import Settings


def make_application(
    parts: Parts, ask_stop: Callable[[], None]
) -> web.Application:
    """Make the application with all routes.

    :param parts: of the daemon.
    :param ask_stop: begins a planned stop.
    :returns: the application; nothing listens yet.
    """
    limits = entry_limits(parts.settings)
    app = web.Application(client_max_size=limits.body_bytes)
    app.add_routes(_admin(parts, ask_stop).routes())
    app.add_routes(service_routes(_service_entry(parts, limits)))
    job_entry = JobEntry(parts.batch, parts.verify, parts.clock, limits)
    app.add_routes(job_routes(job_entry))
    return app


def entry_limits(settings: Settings) -> EntryLimits:
    """Extract the bounds of the HTTP entry.

    :param settings: of the daemon.
    :returns: the bounds.
    """
    return EntryLimits(
        body_bytes=settings.limits.body_bytes,
        header_bytes=settings.limits.header_bytes,
        connections=settings.limits.connections,
        default_deadline_ms=settings.limits.default_deadline_ms,
    )


def _admin(parts: Parts, ask_stop: Callable[[], None]) -> Admin:
    return Admin(
        life=parts.life,
        metrics=parts.metrics,
        time_line=parts.time_line,
        status=lambda: make_status(parts),
        refresh=lambda: refresh_gauges(parts),
        drain=ask_stop,
        member_of=lambda request, body: _member_of(parts, request, body),
    )


def _service_entry(parts: Parts, limits: EntryLimits) -> ServiceEntry:
    return ServiceEntry(
        daemon_id=parts.settings.identity.daemon_id,
        incarnation=parts.incarnation,
        dispatcher=parts.dispatcher,
        clock=parts.clock,
        members_by_service=parts.members_by_service,
        not_ready=lambda: _not_ready(parts),
        limits=limits,
    )


def _not_ready(parts: Parts) -> str:
    # A draining daemon still takes requests while the balancer notices.
    if parts.reader.current is None:
        return 'no bundle is in force here'
    return ''


def _member_of(parts: Parts, request: web.Request, body: bytes) -> str | None:
    check = parts.verify(request.headers, request.method, request.path_qs, body)
    return check.member if isinstance(check, Verified) else None
