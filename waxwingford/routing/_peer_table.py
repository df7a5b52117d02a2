"""Selection of the peer that a request is forwarded to."""

import collections
import random
from collections.abc import Iterable
from typing import NamedTuple

from waxwingford.routing._indexed_set import IndexedSet
from waxwingford.routing._messages import PeerView


class _Candidates(NamedTuple):
    own_domain: IndexedSet
    other_domains: IndexedSet


class PeerTable:
    """Peers with free slots, by service, as of their last heartbeats.

    Requests forwarded since the last heartbeat of a peer are subtracted from
    its free slots.
    """

    def __init__(self, failure_domain: str, rng: random.Random) -> None:
        """Create a table without peers.

        :param failure_domain: failure domain of this daemon.
        """
        self._failure_domain = failure_domain
        self._rng = rng
        self._peer_by_id: dict[str, PeerView] = {}
        self._free_slots: dict[tuple[str, str], int] = {}
        self._free_slots_by_service: collections.Counter[str] = (
            collections.Counter()
        )
        self._by_service: dict[str, _Candidates] = {}

    def set_peers(self, peers: Iterable[PeerView]) -> None:
        """Replace the views of peers after a round of heartbeats."""
        self._peer_by_id = {peer.daemon_id: peer for peer in peers}
        self._free_slots = {}
        self._free_slots_by_service.clear()
        self._by_service = {}
        for peer in self._peer_by_id.values():
            self._add(peer)

    def daemon_ids(self) -> frozenset[str]:
        """List the ids of all peers, reachable or not."""
        return frozenset(self._peer_by_id)

    def choose(
        self, service: str, time_left_ms: float, tried: frozenset[str]
    ) -> str | None:
        """Choose the better of two random peers with free slots.

        Peers in the failure domain of this daemon are preferred.

        :param time_left_ms: time left until the deadline, in milliseconds.
        :param tried: receivers that the request was already sent to.
        :returns: daemon id; None if no peer can answer in time.
        """
        candidates = self._by_service.get(service)
        if candidates is None:
            return None
        for domain_peers in candidates:
            best = min(
                self._costs(domain_peers, service, time_left_ms, tried),
                default=None,
            )
            if best is not None:
                return best[1]
        return None

    def record_forwarded(self, daemon_id: str, service: str) -> None:
        """Subtract a forwarded request from the free slots of a peer."""
        free_slots = self._free_slots.get((daemon_id, service), 0)
        if free_slots <= 1:
            self.exclude(daemon_id, service)
        else:
            self._free_slots[daemon_id, service] = free_slots - 1
            self._free_slots_by_service[service] -= 1

    def exclude(self, daemon_id: str, service: str) -> None:
        """Exclude a peer for a service until the next update."""
        free_slots = self._free_slots.pop((daemon_id, service), 0)
        self._free_slots_by_service[service] -= free_slots
        candidates = self._by_service.get(service)
        for domain_peers in candidates or ():
            domain_peers.discard(daemon_id)

    def free_slots(self, service: str) -> int:
        """Count the free slots of all peers."""
        return self._free_slots_by_service[service]

    def _add(self, peer: PeerView) -> None:
        if not peer.alive:
            return
        for service, free_slots in peer.spare_by_service.items():
            if free_slots <= 0:
                continue
            self._free_slots[peer.daemon_id, service] = free_slots
            self._free_slots_by_service[service] += free_slots
            candidates = self._by_service.setdefault(
                service, _Candidates(IndexedSet(), IndexedSet())
            )
            own = peer.failure_domain == self._failure_domain
            candidates[0 if own else 1].add(peer.daemon_id)

    def _costs(
        self,
        domain_peers: IndexedSet,
        service: str,
        time_left_ms: float,
        tried: frozenset[str],
    ) -> list[tuple[float, str]]:
        return [
            (self._cost(daemon_id, service), daemon_id)
            for daemon_id in domain_peers.sample_two(self._rng)
            if daemon_id not in tried
            and self._expected_ms(daemon_id, service) <= time_left_ms
        ]

    def _expected_ms(self, daemon_id: str, service: str) -> float:
        peer = self._peer_by_id[daemon_id]
        latency_ms = peer.expected_ms_by_service.get(service, 0)
        return peer.distance_ms + latency_ms

    def _cost(self, daemon_id: str, service: str) -> float:
        free_slots = max(1, self._free_slots[daemon_id, service])
        return (1 + self._expected_ms(daemon_id, service)) / free_slots
