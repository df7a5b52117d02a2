"""Spill-over: which peer gets a request that finds no room here."""

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
    """Peers with room, by service, as last heard of.

    The view of a peer is as old as its last heartbeat, so what is forwarded
    since then is counted against it.
    """

    def __init__(self, failure_domain: str, rng: random.Random) -> None:
        """Start without peers.

        :param failure_domain: this daemon's own.
        :param rng: seeded source of chance.
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
        """Replace what is known of peers.

        :param peers: all peers, once for each round of heartbeats.
        """
        self._peer_by_id = {peer.daemon_id: peer for peer in peers}
        self._free_slots = {}
        self._free_slots_by_service.clear()
        self._by_service = {}
        for peer in self._peer_by_id.values():
            self._add(peer)

    def daemon_ids(self) -> frozenset[str]:
        """List all peers, reachable or not.

        :returns: their ids.
        """
        return frozenset(self._peer_by_id)

    def choose(
        self, service: str, time_left_ms: float, tried: frozenset[str]
    ) -> str | None:
        """Choose the better of two random peers with room, own domain first.

        :param service: which service.
        :param time_left_ms: time left for the request, in milliseconds.
        :param tried: peers that the request already went to.
        :returns: daemon id; nothing if no peer is worth it.
        """
        candidates = self._by_service.get(service)
        if candidates is None:
            return None
        for group in candidates:
            best = min(
                self._costs(group, service, time_left_ms, tried), default=None
            )
            if best is not None:
                return best[1]
        return None

    def record_forwarded(self, daemon_id: str, service: str) -> None:
        """Count a request against a peer's spare slots.

        :param daemon_id: which peer.
        :param service: which service.
        """
        free_slots = self._free_slots.get((daemon_id, service), 0)
        if free_slots <= 1:
            self.exclude(daemon_id, service)
        else:
            self._free_slots[daemon_id, service] = free_slots - 1
            self._free_slots_by_service[service] -= 1

    def exclude(self, daemon_id: str, service: str) -> None:
        """Leave a peer out for a service until it is heard of again.

        :param daemon_id: which peer.
        :param service: which service.
        """
        free_slots = self._free_slots.pop((daemon_id, service), 0)
        self._free_slots_by_service[service] -= free_slots
        candidates = self._by_service.get(service)
        for group in candidates or ():
            group.discard(daemon_id)

    def free_slots(self, service: str) -> int:
        """Count free slots of all peers, as last heard of.

        :param service: which service.
        :returns: the count.
        """
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
        group: IndexedSet,
        service: str,
        time_left_ms: float,
        tried: frozenset[str],
    ) -> list[tuple[float, str]]:
        return [
            (self._cost(name, service), name)
            for name in group.sample_two(self._rng)
            if name not in tried
            and self._expected_ms(name, service) <= time_left_ms
        ]

    def _expected_ms(self, name: str, service: str) -> float:
        peer = self._peer_by_id[name]
        served_ms = peer.expected_ms_by_service.get(service, 0)
        return peer.distance_ms + served_ms

    def _cost(self, name: str, service: str) -> float:
        free_slots = max(1, self._free_slots[name, service])
        return (1 + self._expected_ms(name, service)) / free_slots
