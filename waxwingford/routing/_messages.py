"""Messages of the request path: requests, outcomes and views of peers."""

import dataclasses
import enum
from typing import NamedTuple


class Urgency(enum.IntEnum):
    """Urgency of a request; the least urgent are shed first."""

    background = 0
    normal = 1
    urgent = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Request of a caller.

    :ivar request_id: unique id assigned by the entry daemon.
    :ivar member: organisation of the caller.
    :ivar path: path below the service.
    :ivar body: complete body.
    :ivar urgency: urgency, for load shedding.
    :ivar idempotent: whether the request may be executed more than once.
    :ivar key: idempotency key given by the caller; empty without one.
    :ivar attempt: attempt number given by the caller; 0 without one.
    :ivar deadline_ms: time left on arrival at this daemon, in milliseconds.
    :ivar hops: number of times the request was forwarded between daemons.
    :ivar age_ms: time since the first attempt as stated by the caller, in
        milliseconds; -1 if not stated.
    """

    request_id: str
    member: str
    service: str
    path: str
    body: bytes
    urgency: Urgency
    idempotent: bool
    key: str
    attempt: int
    deadline_ms: int
    hops: int = 0
    age_ms: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """Complete answer of a backend server.

    :ivar status: HTTP status.
    :ivar content_type: media type of the body.
    :ivar body: complete body.
    :ivar server_id: id of the backend server that answered.
    """

    status: int
    content_type: str
    body: bytes
    server_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Final outcome: the request was not executed.

    :ivar reason: human-readable reason.
    :ivar retry_after_ms: delay before a retry, in milliseconds.
    """

    reason: str
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """Final outcome: the request may have been executed.

    :ivar reason: human-readable reason.
    :ivar retry_after_ms: delay before a retry, in milliseconds.
    """

    reason: str
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """Final outcome: the request is invalid and was not executed.

    :ivar reason: human-readable reason.
    :ivar status: HTTP status, 400 to 499.
    """

    reason: str
    status: int = 400


Outcome = Answered | Refused | Unknown | Rejected


class LeasedServer(NamedTuple):
    """Backend server whose control lease this daemon holds.

    :ivar service: service that the server runs.
    :ivar host: IP address.
    :ivar port: TCP port.
    :ivar slots: maximum number of concurrent requests.
    :ivar connections: maximum number of TCP connections.
    :ivar predicted_ms: latency predicted by the colocation policy, in
        milliseconds.
    :ivar leaving: whether the server drains and gets no new requests.
    :ivar lease_until_ms: monotonic time at which the lease expires, in
        milliseconds.
    :ivar boot_id: id of the current boot of the server.
    """

    server_id: str
    rack: str
    service: str
    host: str
    port: int
    slots: int
    connections: int
    predicted_ms: float
    leaving: bool
    lease_until_ms: int
    boot_id: str


class PeerView(NamedTuple):
    """State of a peer daemon as of its last heartbeat.

    :ivar alive: whether heartbeats arrive; a hint only.
    :ivar spare_by_service: free slots by service.
    :ivar expected_ms_by_service: expected latency by service, in milliseconds.
    :ivar distance_ms: round-trip time to the peer, in milliseconds.
    """

    daemon_id: str
    failure_domain: str
    alive: bool
    spare_by_service: dict[str, int]
    expected_ms_by_service: dict[str, float]
    distance_ms: float


class KeyLookupState(enum.StrEnum):
    """State of an idempotency key on one daemon."""

    never_seen = 'never_seen'
    running = 'running'
    answered = 'answered'
    not_run = 'not_run'
    unknown = 'unknown'
    other_body = 'other_body'
    unreachable = 'unreachable'


@dataclasses.dataclass(frozen=True, slots=True)
class KeyLookupAnswer:
    """Answer of one daemon to a key lookup.

    The daemon records the lookup, so that a first attempt that arrives later
    does not run there.

    :ivar up_ms: uptime of the daemon, in milliseconds; a daemon that started
        after the first attempt does not know what its predecessor executed.
    :ivar outcome: cached answer if the state is ``answered``.
    """

    state: KeyLookupState
    up_ms: int
    outcome: Answered | None = None
