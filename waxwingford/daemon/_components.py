"""Components of a daemon and operations that combine several of them."""

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
from waxwingford.daemon._bundle_settings import (
    members_by_service,
)
from waxwingford.daemon._lifecycle import Lifecycle
from waxwingford.inbound import Budget
from waxwingford.kernel import SystemClock
from waxwingford.metrics import Metrics
from waxwingford.peers import Membership, PeerClients, PeerHeartbeat
from waxwingford.routing import RequestDispatcher
from waxwingford.settings import PeerAddress, Settings
from waxwingford.timeline import Timeline


@dataclasses.dataclass(slots=True)
class Components:
    """All components of one daemon.

    :ivar incarnation: random id of this run of the process.
    :ivar clock: monotonic and wall clock of the VM.
    :ivar metrics: counters, gauges and histograms.
    :ivar timeline: ring buffer of events.
    :ivar platform: clients of the log, the VM list and the backend servers.
    :ivar links: connections to peers.
    :ivar membership: latest heartbeats of the peers.
    :ivar budget: memory and connections of callers and peers.
    :ivar nonces: nonces of signed requests, for replay protection.
    """

    settings: Settings
    incarnation: str
    clock: SystemClock
    lifecycle: Lifecycle
    metrics: Metrics
    timeline: Timeline
    platform: PlatformPorts
    links: PeerClients
    membership: Membership
    batch: BatchTask
    dispatcher: RequestDispatcher
    reader: BundleReader
    nonces: NonceCache
    budget: Budget

    def own_heartbeat(self) -> PeerHeartbeat:
        """Make this daemon's heartbeat."""
        current = self.reader.current
        return PeerHeartbeat(
            daemon_id=self.settings.identity.daemon_id,
            incarnation=self.incarnation,
            failure_domain=self.settings.identity.failure_domain,
            bundle_version=current.version if current else 0,
            spare_by_service=self.dispatcher.spare_by_service(),
            expected_ms_by_service=self.dispatcher.expected_ms_by_service(),
            draining=self.lifecycle.state == 'draining',
        )

    def exchange_heartbeats(self, heartbeat: PeerHeartbeat) -> PeerHeartbeat:
        """Process a peer's heartbeat and respond with this daemon's."""
        self.membership.record_heartbeat(heartbeat, self.clock.monotonic_ms())
        self.handle_heartbeat(heartbeat)
        return self.own_heartbeat()

    def handle_heartbeat(self, heartbeat: PeerHeartbeat) -> None:
        """Process the released servers in a peer's heartbeat."""
        if heartbeat.released:
            # The peer may be draining: exclude it before its servers are
            # assigned.
            self.publish_peer_views()
            self.batch.handle_released_leases(heartbeat.released)

    def publish_peer_views(self) -> None:
        """Pass the current state of the peers to the dispatcher and batch."""
        now_ms = self.clock.monotonic_ms()
        self.dispatcher.set_peers(self.membership.peer_views(now_ms))
        self.batch.update_live_daemons(self.membership.alive_in_domain(now_ms))

    def bundle_payloads(
        self, after_version: int
    ) -> tuple[int, tuple[bytes, ...]]:
        """Return the bundle in force for a peer.

        :param after_version: version that the peer has.
        :returns: version in force, 0 if there is none, and its encoded record
            if it is newer than the peer's.
        """
        current = self.reader.current
        if current is None:
            return 0, ()
        if current.version <= after_version:
            return current.version, ()
        return current.version, (self.reader.whole_record(),)

    def members_by_service(self) -> dict[str, frozenset[str]]:
        """List the members that may call each service.

        :returns: members by service; empty without a bundle in force.
        """
        current = self.reader.current
        return members_by_service(current.bundle) if current else {}

    def verify(
        self, headers: dict[str, str], method: str, path: str, body: bytes
    ) -> Verified | Unverified:
        """Verify the signature of an operator's request.

        :param path: path with query.
        :param body: complete body.
        :returns: the member that signed, or why verification failed.
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
    """Return the address at which peers reach this daemon.

    :returns: address and failure domain of this daemon.
    """
    return PeerAddress(
        daemon_id=settings.identity.daemon_id,
        failure_domain=settings.identity.failure_domain,
        host=settings.listen.host,
        rpc_port=settings.listen.rpc_port,
        http_port=settings.listen.http_port,
    )
