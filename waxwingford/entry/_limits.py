"""Limits on the resources that callers can use in a daemon."""

from typing import NamedTuple

_MIB = 1_048_576
#: Total size of all request bodies in progress, in MiB.
_ALL_BODIES_MIB = 64


class HttpLimits(NamedTuple):
    """Limits of the HTTP interface.

    :ivar body_bytes: maximum size of a request body, in bytes.
    :ivar all_bodies_bytes: maximum total size of the bodies of all requests
        in progress, in bytes.
    :ivar header_bytes: maximum size of a header line or of the request line,
        in bytes.
    :ivar connections: maximum number of open connections.
    :ivar read_ms: timeout for receiving a body, in milliseconds.
    :ivar write_ms: timeout for sending a response, in milliseconds.
    :ivar idle_ms: timeout of a connection without a complete request head,
        in milliseconds.
    :ivar default_deadline_ms: deadline of a request without the header, in
        milliseconds.
    :ivar longest_deadline_ms: maximum deadline, in milliseconds; longer ones
        are reduced to it.
    """

    body_bytes: int = _MIB
    all_bodies_bytes: int = _ALL_BODIES_MIB * _MIB
    header_bytes: int = 8192
    connections: int = 1024
    read_ms: int = 10_000
    write_ms: int = 10_000
    idle_ms: int = 30_000
    default_deadline_ms: int = 10_000
    longest_deadline_ms: int = 60_000
