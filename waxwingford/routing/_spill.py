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
        self._spare: dict[tuple[str, str], int] = {}
        self._spare_by_service: collections.Counter[str] = collections.Counter()
        self._by_service: dict[str, _Candidates] = {}

    def set_peers(self, peers: Iterable[PeerView]) -> None:
        """Replace what is known of peers.

        :param peers: all peers, once for each round of heartbeats.
        """
        self._peer_by_id = {peer.daemon_id: peer for peer in peers}
        self._spare = {}
        self._spare_by_service.clear()
        self._by_service = {}
        for peer in self._peer_by_id.values():
            self._add(peer)

    def daemon_ids(self) -> frozenset[str]:
        """List all peers, reachable or not.

        :returns: their ids.
        """
        return frozenset(self._peer_by_id)

    def choose(
        self, service: str, left_ms: float, tried: frozenset[str]
    ) -> str | None:
        """Choose the better of two random peers with room, own domain first.

        :param service: which service.
        :param left_ms: time left for the request, in milliseconds.
        :param tried: peers that the request already went to.
        :returns: daemon id; nothing if no peer is worth it.
        """
        candidates = self._by_service.get(service)
        if candidates is None:
            return None
        for group in candidates:
            best = min(
                self._costs(group, service, left_ms, tried), default=None
            )
            if best is not None:
                return best[1]
        return None

    def forwarded(self, daemon_id: str, service: str) -> None:
        """Count a request against a peer's spare slots.

        :param daemon_id: which peer.
        :param service: which service.
        """
        spare = self._spare.get((daemon_id, service), 0)
        if spare <= 1:
            self.refused(daemon_id, service)
        else:
            self._spare[daemon_id, service] = spare - 1
            self._spare_by_service[service] -= 1

    def refused(self, daemon_id: str, service: str) -> None:
        """Leave a peer out for a service until it is heard of again.

        :param daemon_id: which peer.
        :param service: which service.
        """
        spare = self._spare.pop((daemon_id, service), 0)
        self._spare_by_service[service] -= spare
        candidates = self._by_service.get(service)
        for group in candidates or ():
            group.discard(daemon_id)

    def spare(self, service: str) -> int:
        """Count free slots of all peers, as last heard of.

        :param service: which service.
        :returns: the count.
        """
        return self._spare_by_service[service]

    def _add(self, peer: PeerView) -> None:
        if not peer.alive:
            return
        for service, spare in peer.spare_by_service.items():
            if spare <= 0:
                continue
            self._spare[peer.daemon_id, service] = spare
            self._spare_by_service[service] += spare
            candidates = self._by_service.setdefault(
                service, _Candidates(IndexedSet(), IndexedSet())
            )
            own = peer.failure_domain == self._failure_domain
            candidates[0 if own else 1].add(peer.daemon_id)

    def _costs(
        self,
        group: IndexedSet,
        service: str,
        left_ms: float,
        tried: frozenset[str],
    ) -> list[tuple[float, str]]:
        return [
            (self._cost(name, service), name)
            for name in group.choose_two(self._rng)
            if name not in tried and self._expected_ms(name, service) <= left_ms
        ]

    def _expected_ms(self, name: str, service: str) -> float:
        peer = self._peer_by_id[name]
        served_ms = peer.expected_ms_by_service.get(service, 0)
        return peer.distance_ms + served_ms

    def _cost(self, name: str, service: str) -> float:
        spare = max(1, self._spare[name, service])
        return (1 + self._expected_ms(name, service)) / spare
