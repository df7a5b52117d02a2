"""What keeps a daemon from being ready, by part."""

from waxwingford.batch import BatchTask
from waxwingford.bundles import BundleReader, NotReady
from waxwingford.daemon._life import Life
from waxwingford.kernel import Clock
from waxwingford.peers import Membership


def make_life(
    batch: BatchTask,
    reader: BundleReader,
    membership: Membership,
    clock: Clock,
) -> Life:
    """Make the life cycle with its conditions of readiness.

    :param batch: must have read its stream.
    :param reader: must have a bundle in force.
    :param membership: knows which peers have room.
    :param clock: monotonic time.
    :returns: in its first state.
    """
    life = Life()
    life.require_part('batch', lambda: '; '.join(batch.readiness()))
    life.require_part('bundle', lambda: _bundle_missing(reader))
    life.require_part(
        'servers', lambda: _servers_missing(batch, membership, clock)
    )
    return life


def _servers_missing(
    batch: BatchTask, membership: Membership, clock: Clock
) -> str:
    """Say whether a request would find a backend server.

    A daemon that has just started holds no server and has heard of no peer
    with room.  Were it ready then, the balancer would send it requests of
    which it refuses each; callers would see refusals at every start.

    :param batch: knows what is held here.
    :param membership: knows who has room.
    :param clock: monotonic time.
    :returns: what is missing, empty if nothing is.
    """
    views = membership.peer_views(clock.monotonic_ms())
    peers_have_room = any(
        view.alive and any(view.spare_by_service.values()) for view in views
    )
    if peers_have_room or batch.server_status():
        return ''
    return 'none is held here, and no peer has room'


def _bundle_missing(reader: BundleReader) -> str:
    match reader.readiness():
        case NotReady(reason=reason):
            return reason
        case _:
            return ''
