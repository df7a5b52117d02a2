"""Parts of a daemon, and what they answer together."""

import dataclasses

from waxwingford.adapters import PlatformPorts
from waxwingford.batch import BatchTask
from waxwingford.bundles import (
    BundleReader,
    NonceCache,
    Unverified,
    Verified,
    verify_request,
)
from waxwingford.daemon._bundle_terms import (
    members_by_service,
)
from waxwingford.daemon._life import Life
from waxwingford.kernel import SystemClock
from waxwingford.metrics import Metrics
from waxwingford.peers import Membership, PeerBeat, PeerLinks
from waxwingford.routing import RequestDispatcher
from waxwingford.settings import PeerAddress, Settings
from waxwingford.timeline import TimeLine


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
    :ivar dispatcher: request dispatcher.
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
    dispatcher: RequestDispatcher
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
            spare_by_service=self.dispatcher.spare_by_service(),
            expected_ms_by_service=self.dispatcher.expected_ms_by_service(),
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
        self.dispatcher.set_peers(self.membership.peer_views(now_ms))
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
