"""Parts of a daemon, made from its settings and wired to each other."""

import dataclasses
import random
import secrets

from waxwingford.adapters import PlatformPorts, open_platform
from waxwingford.batch import BatchSettings, BatchTask
from waxwingford.bundles import (
    BundleInForce,
    BundleReader,
    NonceCache,
    NotReady,
    ReaderSetup,
    Unverified,
    Verified,
    verify_request,
)
from waxwingford.daemon._bundle_terms import (
    batch_terms,
    members_by_service,
    service_limits,
)
from waxwingford.daemon._life import Life
from waxwingford.kernel import SystemClock, load_plugins
from waxwingford.metrics import Metrics
from waxwingford.peers import Membership, PeerBeat, PeerLinks
from waxwingford.routing import DeskLimits, DeskPorts, RequestDesk
from waxwingford.settings import Alpn, PeerAddress, Settings, client_context
from waxwingford.timeline import TimeLine

#: Modules whose plug-ins register themselves at import.
PLUGINS = (
    'waxwingford.adapters',
    'waxwingford.batch',
    'waxwingford.colocation',
)
_INCARNATION_BYTES = 4
#: Signed operators' requests that are remembered against replay.
_NONCES = 20_000


@dataclasses.dataclass(slots=True)
class Parts:
    """All parts of one daemon.

    :ivar settings: checked settings.
    :ivar incarnation: random at each start.
    :ivar clock: the machine's clocks.
    :ivar life: life cycle and readiness.
    :ivar metrics: counters and histograms.
    :ivar time_line: ring of events.
    :ivar platform: log, list of VMs, backend servers.
    :ivar links: calls to peers.
    :ivar membership: who was heard of.
    :ivar batch: batch task.
    :ivar desk: request desk.
    :ivar reader: bundle reader.
    :ivar nonces: signed requests taken before.
    """

    settings: Settings
    incarnation: str
    clock: SystemClock
    life: Life
    metrics: Metrics
    time_line: TimeLine
    platform: PlatformPorts
    links: PeerLinks
    membership: Membership
    batch: BatchTask
    desk: RequestDesk
    reader: BundleReader
    nonces: NonceCache

    def own_beat(self) -> PeerBeat:
        """Make the own heartbeat.

        :returns: what peers should know.
        """
        current = self.reader.current
        return PeerBeat(
            daemon_id=self.settings.identity.daemon_id,
            incarnation=self.incarnation,
            failure_domain=self.settings.identity.failure_domain,
            bundle_version=current.version if current else 0,
            spare_by_service=self.desk.spare_by_service(),
            expected_ms_by_service=self.desk.expected_ms_by_service(),
            draining=self.life.state == 'draining',
        )

    def exchange(self, beat: PeerBeat) -> PeerBeat:
        """Take a peer's heartbeat and answer with the own one.

        :param beat: the peer's.
        :returns: the own one.
        """
        self.membership.heard(beat, self.clock.monotonic_ms())
        self.take_beat(beat)
        return self.own_beat()

    def take_beat(self, beat: PeerBeat) -> None:
        """Act on what a peer's heartbeat tells.

        :param beat: the peer's.
        """
        if beat.released:
            # The peer may have begun to drain: rank without it first.
            self.spread_membership()
            self.batch.note_released(beat.released)

    def spread_membership(self) -> None:
        """Hand views of peers to the parts that need them."""
        now_ms = self.clock.monotonic_ms()
        self.desk.set_peers(self.membership.peer_views(now_ms))
        self.batch.set_alive(self.membership.alive_in_domain(now_ms))

    def bundle_payloads(
        self, after_version: int
    ) -> tuple[int, tuple[bytes, ...]]:
        """Hand the bundle in force to a peer.

        :param after_version: version that the peer has.
        :returns: version in force, and its record if it is newer.
        """
        current = self.reader.current
        if current is None:
            return 0, ()
        if current.version <= after_version:
            return current.version, ()
        return current.version, (self.reader.whole_record(),)

    def members_by_service(self) -> dict[str, frozenset[str]]:
        """Find who may use which service.

        :returns: members by service; empty without a bundle.
        """
        current = self.reader.current
        return members_by_service(current.bundle) if current else {}

    def verify(
        self, headers: dict[str, str], method: str, path: str, body: bytes
    ) -> Verified | Unverified:
        """Check which member signed an operator's request.

        :param headers: of the request.
        :param method: HTTP method.
        :param path: path with query.
        :param body: whole body.
        :returns: the member, or why there is none.
        """
        return verify_request(
            self.settings.trust.public_key_by_member,
            headers,
            method,
            path,
            body,
            self.clock.wall_ms(),
            self.nonces,
        )


def own_address(settings: Settings) -> PeerAddress:
    """Describe this daemon as its peers know it.

    :param settings: its settings.
    :returns: its address.
    """
    return PeerAddress(
        daemon_id=settings.identity.daemon_id,
        failure_domain=settings.identity.failure_domain,
        host=settings.listen.host,
        rpc_port=settings.listen.rpc_port,
        http_port=settings.listen.http_port,
    )


def make_parts(settings: Settings) -> Parts:
    """Make and wire all parts; nothing runs yet.

    :param settings: checked settings.
    :returns: the parts.
    """
    load_plugins(PLUGINS)
    incarnation = secrets.token_hex(_INCARNATION_BYTES)
    clock = SystemClock()
    identity = settings.identity
    time_line = TimeLine(
        identity.daemon_id,
        incarnation,
        clock,
        settings.limits.time_line_events,
    )
    metrics = Metrics()
    platform = open_platform(
        settings.platform.log_url,
        settings.platform.directory_url,
        settings.platform.log_timeout_ms,
    )
    links = PeerLinks(
        identity.daemon_id,
        settings.peers,
        clock,
        time_line,
        client_context(settings, Alpn.rpc),
    )
    batch = BatchTask(
        settings=_batch_settings(settings, incarnation),
        log=platform.log,
        servers=platform.servers,
        directory=platform.directory,
        clock=clock,
        time_line=time_line,
    )
    desk = RequestDesk(
        daemon_id=identity.daemon_id,
        failure_domain=identity.failure_domain,
        ports=DeskPorts(platform.servers, links, clock, time_line, metrics),
        rng=random.Random(incarnation),
        limits=DeskLimits(
            in_progress=settings.limits.connections,
            key_memory_ms=settings.limits.key_memory_ms,
            delivery_ms=settings.limits.delivery_ms,
        ),
    )
    reader = BundleReader(
        ReaderSetup(
            log=platform.log,
            peers=links,
            clock=clock,
            key_by_member=settings.trust.public_key_by_member,
            domain_daemons=frozenset(
                peer.daemon_id
                for peer in settings.peers
                if peer.failure_domain == identity.failure_domain
                and peer.daemon_id != identity.daemon_id
            ),
            on_in_force=lambda in_force: _put_in_force(in_force, batch, desk),
            note=time_line.note,
            counters=metrics,
            rng=random.Random(incarnation),
        )
    )
    membership = Membership(own_address(settings), settings.peers)
    return Parts(
        settings=settings,
        incarnation=incarnation,
        clock=clock,
        life=_life(batch, reader, membership, clock),
        metrics=metrics,
        time_line=time_line,
        platform=platform,
        links=links,
        membership=membership,
        batch=batch,
        desk=desk,
        reader=reader,
        nonces=NonceCache(_NONCES),
    )


def _batch_settings(settings: Settings, incarnation: str) -> BatchSettings:
    return BatchSettings(
        daemon_id=settings.identity.daemon_id,
        incarnation=incarnation,
        failure_domain=settings.identity.failure_domain,
        control_lease_ms=settings.leases.control_ms,
        renew_every_ms=settings.leases.renew_every_ms,
        task_lease_ms=settings.leases.task_ms,
        margin_ms=settings.leases.margin_ms,
        exchange_every_ms=settings.leases.exchange_every_ms,
        longest_renew_ms=settings.leases.longest_renew_ms,
        outbox_records=settings.limits.outbox_records,
    )


def _put_in_force(
    in_force: BundleInForce, batch: BatchTask, desk: RequestDesk
) -> None:
    batch.set_bundle(batch_terms(in_force.bundle))
    desk.set_limits(service_limits(in_force.bundle))


def _life(
    batch: BatchTask,
    reader: BundleReader,
    membership: Membership,
    clock: SystemClock,
) -> Life:
    life = Life()
    life.require_part('batch', lambda: '; '.join(batch.readiness()))
    life.require_part('bundle', lambda: _bundle_missing(reader))
    life.require_part(
        'servers', lambda: _servers_missing(batch, membership, clock)
    )
    return life


def _servers_missing(
    batch: BatchTask, membership: Membership, clock: SystemClock
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
