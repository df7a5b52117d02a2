"""Typed messages of the request path: requests and tagged outcomes."""

import dataclasses
import enum
from typing import NamedTuple


class Urgency(enum.IntEnum):
    """How much a request matters when some must be shed; lower goes first."""

    background = 0
    normal = 1
    urgent = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A caller's request inside the system.

    :ivar request_id: unique, given by the entry daemon.
    :ivar member: organisation of the caller.
    :ivar service: service name.
    :ivar path: path below the service.
    :ivar body: whole body.
    :ivar urgency: for shedding.
    :ivar idempotent: whether it may run more than once.
    :ivar key: idempotency key of the caller, empty without one.
    :ivar attempt: the caller's attempt number; 0 if it gave none.
    :ivar deadline_ms: time left when it arrived here, in milliseconds.
    :ivar hops: times it was forwarded between daemons.
    :ivar age_ms: how long ago the caller says that it sent the first attempt,
        in milliseconds; -1 if it did not say.
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
    """The whole answer of a backend server.

    :ivar status: HTTP status.
    :ivar content_type: of the body.
    :ivar body: whole body.
    :ivar server_id: who answered.
    """

    status: int
    content_type: str
    body: bytes
    server_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Certainly not run; final at once.

    :ivar reason: for people.
    :ivar retry_after_ms: when to come back, in milliseconds.
    """

    reason: str
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """It may have run; final at once.

    :ivar reason: for people.
    :ivar retry_after_ms: when asking again may find more, in milliseconds.
    """

    reason: str
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The request itself is wrong; it did not run and never will.

    :ivar reason: for people.
    :ivar status: HTTP status, 400 to 499.
    """

    reason: str
    status: int = 400


Outcome = Answered | Refused | Unknown | Rejected


class HeldServer(NamedTuple):
    """A backend server whose control lease this daemon holds now.

    :ivar server_id: its name.
    :ivar rack: its rack.
    :ivar service: service on it.
    :ivar host: IP number.
    :ivar port: TCP port.
    :ivar slots: requests at once at most.
    :ivar connections: TCP connections at most.
    :ivar predicted_ms: latency that the colocation policy expects there.
    :ivar leaving: gets no new request.
    :ivar lease_until_ms: monotonic time at which the lease ends.
    :ivar boot_id: boot of the server.
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
    """A peer daemon as last heard of.

    :ivar daemon_id: its name.
    :ivar failure_domain: its failure domain.
    :ivar alive: whether a heartbeat came lately (a hint).
    :ivar spare_by_service: free slots by service when it last spoke.
    :ivar expected_ms_by_service: its latency by service, in milliseconds.
    :ivar distance_ms: round trip to it, in milliseconds.
    """

    daemon_id: str
    failure_domain: str
    alive: bool
    spare_by_service: dict[str, int]
    expected_ms_by_service: dict[str, float]
    distance_ms: float


class RecallState(enum.StrEnum):
    """What a daemon knows of an idempotency key."""

    never_seen = 'never_seen'
    running = 'running'
    answered = 'answered'
    not_run = 'not_run'
    unknown = 'unknown'
    other_body = 'other_body'
    unreachable = 'unreachable'


@dataclasses.dataclass(frozen=True, slots=True)
class RecallAnswer:
    """Answer of one daemon about a key.

    :ivar state: what it knows; after the question it remembers the key, so
        that a first attempt that was under way cannot run there any more.
    :ivar up_ms: how long that daemon has been up, in milliseconds: one that
        started after the first attempt cannot speak for its predecessor.
    :ivar outcome: the outcome when state is ``answered``.
    """

    state: RecallState
    up_ms: int
    outcome: Answered | None = None
