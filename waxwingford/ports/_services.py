"""Requests to the latency-critical services on backend servers."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCall:
    """Service request as sent to a backend server.

    :ivar request_id: unique ID, which the response must repeat.
    :ivar path: path below the service.
    :ivar deadline_ms: time until the deadline, in milliseconds, which is also
        sent to the server.
    """

    request_id: str
    service: str
    path: str
    body: bytes
    deadline_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """Complete response of a backend server.

    :ivar content_type: media type of the body.
    """

    request_id: str
    status: int
    content_type: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceNotRun:
    """The request was not executed: it was not sent, or the server refused it.

    :ivar reason: human-readable cause.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceOutcomeUnknown:
    """The request may have been executed, but has no complete response.

    :ivar reason: human-readable cause.
    """

    reason: str


ServiceOutcome = ServiceAnswer | ServiceNotRun | ServiceOutcomeUnknown
