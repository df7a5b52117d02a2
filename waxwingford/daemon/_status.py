"""Status and gauges of a daemon."""

from waxwingford.daemon._admin import (
    BundleStatus,
    JobsStatus,
    PeerStatus,
    Status,
)
from waxwingford.daemon._components import Components


def make_status(components: Components) -> Status:
    """Build the current status of the daemon.

    :returns: response body of ``GET /v1/status``.
    """
    identity = components.settings.identity
    now_ms = components.clock.monotonic_ms()
    missing = components.lifecycle.missing()
    current = components.reader.current
    pending, running = components.batch.task_counts()
    return Status(
        daemon=identity.daemon_id,
        incarnation=components.incarnation,
        failure_domain=identity.failure_domain,
        state=components.lifecycle.state,
        ready=not missing,
        missing=missing,
        bundle=BundleStatus(
            version=current.version if current else 0,
            digest=current.digest if current else '',
        ),
        servers=[
            server._asdict() for server in components.batch.server_status()
        ],
        jobs=JobsStatus(pending=pending, running=running),
        peers=[
            PeerStatus(
                daemon_id=view.daemon_id,
                alive=view.alive,
                distance_ms=view.distance_ms,
            )
            for view in components.membership.peer_views(now_ms)
        ],
    )


def refresh_gauges(components: Components) -> None:
    """Set the gauges to the current state of the daemon."""
    now_ms = components.clock.monotonic_ms()
    pending, running = components.batch.task_counts()
    views = components.membership.peer_views(now_ms)
    gauges = {
        'ready': not components.lifecycle.missing(),
        'tasks_pending': pending,
        'tasks_running': running,
        'servers_held': len(components.batch.server_status()),
        'peers_alive': sum(view.alive for view in views),
    }
    for name, level in gauges.items():
        components.metrics.gauge(name, float(level))
