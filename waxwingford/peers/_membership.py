"""Who seems alive: heartbeats, as hints for routing and for ranking holders.

Safety never rests on this: two daemons that disagree on who is alive only
compete for a control lease that the backend server arbitrates.
"""

import dataclasses
import itertools
from collections.abc import Iterable, Sequence
from typing import NamedTuple

import xxhash

from waxwingford.routing import PeerView
from waxwingford.settings import PeerAddress

#: A heartbeat goes out once in this time, in milliseconds.
BEAT_EVERY_MS = 1000
#: A peer not heard of for this time counts as not alive, in milliseconds.
SILENT_AFTER_MS = 3500
#: Daemons of other failure domains that one daemon exchanges beats with.
MOST_REMOTE_TARGETS = 6
#: Distance assumed until a round trip was measured, in milliseconds.
_UNMEASURED_MS = 5.0
_DISTANCE_SMOOTHING = 0.2


class PeerBeat(NamedTuple):
    """What a daemon says of itself in a heartbeat.

    :ivar daemon_id: its name.
    :ivar incarnation: of its process.
    :ivar failure_domain: its failure domain.
    :ivar bundle_version: version in force there, 0 if none.
    :ivar spare_by_service: free slots by service.
    :ivar expected_ms_by_service: latency by service, in milliseconds.
    :ivar draining: it is about to stop: no new holder, no target.
    :ivar released: backend servers whose control lease it just gave up.
    :ivar distance_ms: its measured round trip to the receiver, in
        milliseconds; 0 if it has none.
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
class _Heard:
    beat: PeerBeat
    heard_ms: int
    distance_ms: float


class Membership:
    """Latest heartbeat of each peer, owned by the heartbeat task."""

    def __init__(self, own: PeerAddress, peers: Sequence[PeerAddress]) -> None:
        """Start having heard of nobody.

        :param own: this daemon.
        :param peers: all configured daemons.
        """
        self._own_id = own.daemon_id
        self._own_domain = own.failure_domain
        self._domain_by_id = {
            peer.daemon_id: peer.failure_domain
            for peer in peers
            if peer.daemon_id != own.daemon_id
        }
        self._heard_by_id: dict[str, _Heard] = {}

    def heard(
        self, beat: PeerBeat, now_ms: int, round_trip_ms: float | None = None
    ) -> None:
        """Take a heartbeat in.

        :param beat: what the peer said.
        :param now_ms: monotonic time.
        :param round_trip_ms: measured round trip, None where the peer called.
        """
        earlier = self._heard_by_id.get(beat.daemon_id)
        distance = earlier.distance_ms if earlier else _UNMEASURED_MS
        if round_trip_ms is not None:
            distance += (round_trip_ms - distance) * _DISTANCE_SMOOTHING
        elif beat.distance_ms:
            # Only the calling end measures; it tells the other.
            distance = beat.distance_ms
        self._heard_by_id[beat.daemon_id] = _Heard(beat, now_ms, distance)

    def alive_in_domain(self, now_ms: int) -> tuple[str, ...]:
        """List daemons that may hold backend servers of this domain.

        :param now_ms: monotonic time.
        :returns: ids in order, this daemon included.
        """
        others = (
            heard.beat.daemon_id
            for heard in self._heard_by_id.values()
            if heard.beat.failure_domain == self._own_domain
            and self._is_alive(heard, now_ms)
            and not heard.beat.draining
        )
        return tuple(sorted({self._own_id, *others}))

    def peer_views(self, now_ms: int) -> tuple[PeerView, ...]:
        """Describe peers for routing.

        :param now_ms: monotonic time.
        :returns: one view for each peer ever heard of.
        """
        return tuple(
            PeerView(
                daemon_id=daemon_id,
                failure_domain=heard.beat.failure_domain,
                alive=self._is_alive(heard, now_ms) and not heard.beat.draining,
                spare_by_service=heard.beat.spare_by_service,
                expected_ms_by_service=heard.beat.expected_ms_by_service,
                distance_ms=heard.distance_ms,
            )
            for daemon_id, heard in self._heard_by_id.items()
        )

    def distance_ms(self, daemon_id: str) -> float:
        """Tell the round trip to a peer.

        :param daemon_id: which peer.
        :returns: milliseconds; 0 if nothing was heard of it.
        """
        heard = self._heard_by_id.get(daemon_id)
        return heard.distance_ms if heard else 0

    def _view(
        self, daemon_id: str, failure_domain: str, now_ms: int
    ) -> PeerView:
        heard = self._heard_by_id.get(daemon_id)
        if heard is None:
            return PeerView(
                daemon_id, failure_domain, False, {}, {}, _UNMEASURED_MS
            )
        return PeerView(
            daemon_id=daemon_id,
            failure_domain=failure_domain,
            alive=self._is_alive(heard, now_ms) and not heard.beat.draining,
            spare_by_service=heard.beat.spare_by_service,
            expected_ms_by_service=heard.beat.expected_ms_by_service,
            distance_ms=heard.distance_ms,
        )

    def _is_alive(self, heard: _Heard, now_ms: int) -> bool:
        return now_ms - heard.heard_ms < SILENT_AFTER_MS


class BeatTargets(NamedTuple):
    """Whom a daemon calls with heartbeats.

    :ivar each_interval: called once in each interval.
    :ivar at_release: called at once when servers were given up.
    """

    each_interval: tuple[PeerAddress, ...]
    at_release: tuple[PeerAddress, ...]


def beat_targets(own: PeerAddress, peers: Sequence[PeerAddress]) -> BeatTargets:
    """Choose whom to exchange heartbeats with.

    A full mesh over all failure domains would cost each daemon one exchange a
    second for every other daemon.  Of the own failure domain each pair has one
    exchange, called by one end that a hash chooses, since both ends learn of
    each other in it.  Of the other failure domains there is one daemon each,
    ranked by hashing, up to a bound: so cost does not grow with their number.

    :param own: this daemon.
    :param peers: all configured daemons.
    :returns: targets, the own failure domain first.
    """
    others = [peer for peer in peers if peer.daemon_id != own.daemon_id]
    local = tuple(
        peer for peer in others if peer.failure_domain == own.failure_domain
    )
    called = (peer for peer in local if _calls(own.daemon_id, peer.daemon_id))
    remote = sorted(
        (peer for peer in others if peer.failure_domain != own.failure_domain),
        key=_domain_of,
    )
    firsts = (
        _first_ranked(own.daemon_id, group)
        for _, group in itertools.groupby(remote, key=_domain_of)
    )
    ranked = sorted(firsts, key=lambda peer: _rank(own.daemon_id, peer))
    return BeatTargets((*called, *ranked[:MOST_REMOTE_TARGETS]), local)


def _calls(own_id: str, peer_id: str) -> bool:
    first, second = sorted((own_id, peer_id))
    odd = xxhash.xxh64_intdigest(f'{first}/{second}'.encode()) % 2
    caller = second if odd else first
    return own_id == caller


def _domain_of(peer: PeerAddress) -> str:
    return peer.failure_domain


def _first_ranked(own_id: str, group: Iterable[PeerAddress]) -> PeerAddress:
    return min(group, key=lambda peer: _rank(own_id, peer))


def _rank(own_id: str, peer: PeerAddress) -> int:
    return xxhash.xxh64_intdigest(f'{own_id}/{peer.daemon_id}'.encode())
