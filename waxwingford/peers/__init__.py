"""Messages between daemons: heartbeats, forwarding, recall, bundles."""

from waxwingford.peers._links import PeerLink, PeerLinks
from waxwingford.peers._membership import (
    BEAT_EVERY_MS,
    MOST_REMOTE_TARGETS,
    SILENT_AFTER_MS,
    BeatTargets,
    Membership,
    PeerBeat,
    beat_targets,
)
from waxwingford.peers._service import ForwardedDispatcher, PeerService

__all__ = (
    'BEAT_EVERY_MS',
    'MOST_REMOTE_TARGETS',
    'SILENT_AFTER_MS',
    'BeatTargets',
    'ForwardedDispatcher',
    'Membership',
    'PeerBeat',
    'PeerLink',
    'PeerLinks',
    'PeerService',
    'beat_targets',
)
