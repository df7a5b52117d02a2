"""RPCs between daemons: heartbeats, forwarding, recall of keys, bundles."""

from waxwingford.peers._links import PeerClient, PeerLinks
from waxwingford.peers._membership import (
    BEAT_EVERY_MS,
    MAX_REMOTE_TARGETS,
    PEER_TIMEOUT_MS,
    BeatTargets,
    Membership,
    PeerBeat,
    beat_targets,
)
from waxwingford.peers._service import PeerRequestHandler, PeerService

__all__ = (
    'BEAT_EVERY_MS',
    'MAX_REMOTE_TARGETS',
    'PEER_TIMEOUT_MS',
    'BeatTargets',
    'Membership',
    'PeerBeat',
    'PeerClient',
    'PeerLinks',
    'PeerRequestHandler',
    'PeerService',
    'beat_targets',
)
