"""Status of a daemon, for operators."""

from waxwingford.daemon._admin import (
    BundleStatus,
    JobsStatus,
    PeerStatus,
    Status,
)
from waxwingford.daemon._parts import Parts


def make_status(parts: Parts) -> Status:
    """Describe the daemon now.

    :param parts: its parts.
    :returns: what ``GET /v1/status`` answers.
    """
    identity = parts.settings.identity
    now_ms = parts.clock.monotonic_ms()
    missing = parts.life.missing()
    current = parts.reader.current
    pending, running = parts.batch.task_counts()
    return Status(
        daemon=identity.daemon_id,
        incarnation=parts.incarnation,
        failure_domain=identity.failure_domain,
        state=parts.life.state,
        ready=not missing,
        missing=missing,
        bundle=BundleStatus(
            version=current.version if current else 0,
            digest=current.digest if current else '',
        ),
        servers=[line._asdict() for line in parts.batch.server_status()],
        jobs=JobsStatus(pending=pending, running=running),
        peers=[
            PeerStatus(
                daemon_id=view.daemon_id,
                alive=view.alive,
                distance_ms=view.distance_ms,
            )
            for view in parts.membership.peer_views(now_ms)
        ],
    )


def refresh_gauges(parts: Parts) -> None:
    """Set the gauges that describe the daemon now.

    :param parts: its parts.
    """
    now_ms = parts.clock.monotonic_ms()
    pending, running = parts.batch.task_counts()
    views = parts.membership.peer_views(now_ms)
    gauges = {
        'ready': not parts.life.missing(),
        'tasks_pending': pending,
        'tasks_running': running,
        'servers_held': len(parts.batch.server_status()),
        'peers_alive': sum(view.alive for view in views),
    }
    for name, level in gauges.items():
        parts.metrics.gauge(name, float(level))
