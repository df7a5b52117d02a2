"""Readiness checks of a daemon."""

from waxwingford.batch import BatchTask
from waxwingford.bundles import BundleReader, NotReady
from waxwingford.daemon._lifecycle import Lifecycle
from waxwingford.kernel import Clock
from waxwingford.peers import Membership


def make_lifecycle(
    batch: BatchTask,
    reader: BundleReader,
    membership: Membership,
    clock: Clock,
) -> Lifecycle:
    """Create the lifecycle and register all readiness checks.

    :param batch: batch task, ready once it has read its stream.
    :param reader: bundle reader, ready once a bundle is in force.
    :param membership: source of the spare capacity of peers.
    :param clock: source of monotonic time.
    :returns: the lifecycle in state ``starting``.
    """
    lifecycle = Lifecycle()
    lifecycle.add_readiness_check('batch', lambda: '; '.join(batch.readiness()))
    lifecycle.add_readiness_check('bundle', lambda: _bundle_missing(reader))
    lifecycle.add_readiness_check(
        'servers', lambda: _servers_missing(batch, membership, clock)
    )
    return lifecycle


def _servers_missing(
    batch: BatchTask, membership: Membership, clock: Clock
) -> str:
    """Check that requests can reach a backend server.

    Without this check the balancer would send requests to a daemon that has
    just started, holds no server and knows no peer, and so refuses them all.

    :param batch: source of the servers held by this daemon.
    :param membership: source of the spare capacity of peers.
    :param clock: source of monotonic time.
    :returns: what is missing, empty if ready.
    """
    views = membership.peer_views(clock.monotonic_ms())
    peers_have_capacity = any(
        view.alive and any(view.spare_by_service.values()) for view in views
    )
    if peers_have_capacity or batch.server_status():
        return ''
    return 'none is held here, and no peer has spare capacity'


def _bundle_missing(reader: BundleReader) -> str:
    match reader.readiness():
        case NotReady(reason=reason):
            return reason
        case _:
            return ''
