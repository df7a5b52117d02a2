"""Messages to the latency-critical services on backend servers."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCall:
    """A caller's request as sent to a backend server.

    :ivar request_id: unique; the answer must carry it back.
    :ivar service: service name.
    :ivar path: path below the service.
    :ivar body: request body.
    :ivar deadline_ms: time left, in milliseconds, passed on to the server.
    """

    request_id: str
    service: str
    path: str
    body: bytes
    deadline_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """The whole answer of a backend server.

    :ivar request_id: id that the server gave back.
    :ivar status: HTTP status.
    :ivar content_type: of the body.
    :ivar body: whole body.
    """

    request_id: str
    status: int
    content_type: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceNotRun:
    """The request certainly did not run (never sent, or server said so).

    :ivar reason: for people.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceUnknown:
    """The request may have run: no whole answer came.

    :ivar reason: for people.
    """

    reason: str


ServiceOutcome = ServiceAnswer | ServiceNotRun | ServiceUnknown
