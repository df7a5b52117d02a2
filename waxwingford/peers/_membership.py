"""Liveness of peers by heartbeat, for routing and for ranking lease holders.

Liveness is a hint: daemons that disagree on it compete for a control lease,
which the backend server grants to one of them only.
"""

import dataclasses
import itertools
from collections.abc import Iterable, Sequence
from typing import NamedTuple

import xxhash

from waxwingford.routing import PeerView
from waxwingford.settings import PeerAddress

#: Interval between heartbeats, in milliseconds.
HEARTBEAT_INTERVAL_MS = 1000
#: A peer without a heartbeat for this long is not alive, in milliseconds.
PEER_TIMEOUT_MS = 3500
#: Largest number of heartbeat targets in other failure domains.
MAX_REMOTE_TARGETS = 6
#: Round trip assumed until the first measurement, in milliseconds.
_INITIAL_ROUND_TRIP_MS = 5.0
#: Weight of a new measurement in the moving average of the round trip.
_ROUND_TRIP_EWMA_WEIGHT = 0.2


class PeerHeartbeat(NamedTuple):
    """Heartbeat in which a daemon reports its state to a peer.

    :ivar daemon_id: id of the sender.
    :ivar incarnation: id of the sender's process, new at each start.
    :ivar failure_domain: failure domain of the sender.
    :ivar bundle_version: version of the bundle in force, 0 if there is none.
    :ivar spare_by_service: free slots by service.
    :ivar expected_ms_by_service: expected latency by service, in milliseconds.
    :ivar draining: whether the sender is shutting down; peers then neither
        rank it as a lease holder nor forward requests to it.
    :ivar released: ids of the backend servers whose control lease the sender
        has just released.
    :ivar distance_ms: round trip to the receiver as measured by the sender,
        in milliseconds; 0 if it has not been measured.
    """

    daemon_id: str
    incarnation: str
    failure_domain: str
    bundle_version: int
    spare_by_service: dict[str, int]
    expected_ms_by_service: dict[str, float]
    draining: bool = False
    released: tuple[str, ...] = ()
    distance_ms: float = 0


@dataclasses.dataclass(slots=True)
class _PeerState:
    beat: PeerHeartbeat
    received_ms: int
    distance_ms: float


class Membership:
    """Latest heartbeat of each peer and the liveness derived from it."""

    def __init__(self, own: PeerAddress, peers: Sequence[PeerAddress]) -> None:
        """Create a membership in which no peer has sent a heartbeat.

        :param own: address of this daemon.
        :param peers: addresses of all configured daemons.
        """
        self._own_id = own.daemon_id
        self._own_failure_domain = own.failure_domain
        self._domain_by_id = {
            peer.daemon_id: peer.failure_domain
            for peer in peers
            if peer.daemon_id != own.daemon_id
        }
        self._state_by_id: dict[str, _PeerState] = {}

    def record_heartbeat(
        self,
        beat: PeerHeartbeat,
        now_ms: int,
        round_trip_ms: float | None = None,
    ) -> None:
        """Record the heartbeat of a peer.

        :param now_ms: monotonic time of receipt, in milliseconds.
        :param round_trip_ms: measured round trip, in milliseconds; None if
            the peer was the caller.
        """
        earlier = self._state_by_id.get(beat.daemon_id)
        distance = earlier.distance_ms if earlier else _INITIAL_ROUND_TRIP_MS
        if round_trip_ms is not None:
            distance += (round_trip_ms - distance) * _ROUND_TRIP_EWMA_WEIGHT
        elif beat.distance_ms:
            # Only the caller can measure the round trip; it reports the result.
            distance = beat.distance_ms
        self._state_by_id[beat.daemon_id] = _PeerState(beat, now_ms, distance)

    def alive_in_domain(self, now_ms: int) -> tuple[str, ...]:
        """List daemons that may hold control leases in this failure domain.

        :param now_ms: monotonic time, in milliseconds.
        :returns: sorted ids of the daemons that are alive and not draining,
            and of this daemon.
        """
        others = (
            state.beat.daemon_id
            for state in self._state_by_id.values()
            if state.beat.failure_domain == self._own_failure_domain
            and self._is_alive(state, now_ms)
            and not state.beat.draining
        )
        return tuple(sorted({self._own_id, *others}))

    def peer_views(self, now_ms: int) -> tuple[PeerView, ...]:
        """Summarize the peers for routing.

        :param now_ms: monotonic time, in milliseconds.
        :returns: one view for each peer that has ever sent a heartbeat.
        """
        return tuple(
            PeerView(
                daemon_id=daemon_id,
                failure_domain=state.beat.failure_domain,
                alive=self._is_alive(state, now_ms) and not state.beat.draining,
                spare_by_service=state.beat.spare_by_service,
                expected_ms_by_service=state.beat.expected_ms_by_service,
                distance_ms=state.distance_ms,
            )
            for daemon_id, state in self._state_by_id.items()
        )

    def distance_ms(self, daemon_id: str) -> float:
        """Get the estimated round trip to a peer.

        :returns: round trip in milliseconds; 0 if the peer has never sent a
            heartbeat.
        """
        state = self._state_by_id.get(daemon_id)
        return state.distance_ms if state else 0

    def _view(
        self, daemon_id: str, failure_domain: str, now_ms: int
    ) -> PeerView:
        state = self._state_by_id.get(daemon_id)
        if state is None:
            return PeerView(
                daemon_id, failure_domain, False, {}, {}, _INITIAL_ROUND_TRIP_MS
            )
        return PeerView(
            daemon_id=daemon_id,
            failure_domain=failure_domain,
            alive=self._is_alive(state, now_ms) and not state.beat.draining,
            spare_by_service=state.beat.spare_by_service,
            expected_ms_by_service=state.beat.expected_ms_by_service,
            distance_ms=state.distance_ms,
        )

    def _is_alive(self, state: _PeerState, now_ms: int) -> bool:
        return now_ms - state.received_ms < PEER_TIMEOUT_MS


class HeartbeatTargets(NamedTuple):
    """Peers to which a daemon sends heartbeats.

    :ivar periodic: peers called once in each heartbeat interval.
    :ivar on_release: peers called immediately after a control lease is
        released.
    """

    periodic: tuple[PeerAddress, ...]
    on_release: tuple[PeerAddress, ...]


def choose_heartbeat_targets(
    own: PeerAddress, peers: Sequence[PeerAddress]
) -> HeartbeatTargets:
    """Choose the peers to exchange heartbeats with.

    An exchange informs both ends, so each pair within a failure domain has a
    single caller, chosen by hash.  In each other failure domain the daemon
    calls one peer, chosen by rendezvous hashing, and at most
    ``MAX_REMOTE_TARGETS`` in all, so that the number of calls does not grow
    with the number of failure domains.

    :param own: address of this daemon.
    :param peers: addresses of all configured daemons.
    :returns: heartbeat targets, those of the own failure domain first.
    """
    others = [peer for peer in peers if peer.daemon_id != own.daemon_id]
    local = tuple(
        peer for peer in others if peer.failure_domain == own.failure_domain
    )
    local_targets = (
        peer for peer in local if _is_caller(own.daemon_id, peer.daemon_id)
    )
    remote = sorted(
        (peer for peer in others if peer.failure_domain != own.failure_domain),
        key=_failure_domain_of,
    )
    candidates = (
        _lowest_ranked(own.daemon_id, group)
        for _, group in itertools.groupby(remote, key=_failure_domain_of)
    )
    ranked = sorted(candidates, key=lambda peer: _rank(own.daemon_id, peer))
    return HeartbeatTargets(
        (*local_targets, *ranked[:MAX_REMOTE_TARGETS]), local
    )


def _is_caller(own_id: str, peer_id: str) -> bool:
    first, second = sorted((own_id, peer_id))
    odd = xxhash.xxh64_intdigest(f'{first}/{second}'.encode()) % 2
    caller = second if odd else first
    return own_id == caller


def _failure_domain_of(peer: PeerAddress) -> str:
    return peer.failure_domain


def _lowest_ranked(own_id: str, group: Iterable[PeerAddress]) -> PeerAddress:
    return min(group, key=lambda peer: _rank(own_id, peer))


def _rank(own_id: str, peer: PeerAddress) -> int:
    return xxhash.xxh64_intdigest(f'{own_id}/{peer.daemon_id}'.encode())
