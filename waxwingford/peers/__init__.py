"""RPCs between daemons: heartbeats, forwarding, recall of keys, bundles."""

from waxwingford.peers._clients import PeerClient, PeerClients
from waxwingford.peers._membership import (
    HEARTBEAT_INTERVAL_MS,
    MAX_REMOTE_TARGETS,
    PEER_TIMEOUT_MS,
    HeartbeatTargets,
    Membership,
    PeerHeartbeat,
    choose_heartbeat_targets,
)
from waxwingford.peers._service import PeerRequestHandler, PeerService

__all__ = (
    'HEARTBEAT_INTERVAL_MS',
    'MAX_REMOTE_TARGETS',
    'PEER_TIMEOUT_MS',
    'HeartbeatTargets',
    'Membership',
    'PeerHeartbeat',
    'PeerClient',
    'PeerClients',
    'PeerRequestHandler',
    'PeerService',
    'choose_heartbeat_targets',
)
