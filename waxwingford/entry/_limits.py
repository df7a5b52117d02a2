"""Bounds of what callers can make a daemon hold."""

from typing import NamedTuple

_MIB = 1_048_576
#: A quarter of a daemon's memory.
_ALL_BODIES_MIB = 64


class EntryLimits(NamedTuple):
    """Bounds of the HTTP entry.

    :ivar body_bytes: body of one request at most.
    :ivar all_bodies_bytes: bodies of all requests in progress at most.
    :ivar header_bytes: one header line, or the request line, at most.
    :ivar connections: open connections at most.
    :ivar read_ms: time for a whole body to arrive, in milliseconds.
    :ivar write_ms: time for a caller to take a whole answer, in milliseconds.
    :ivar idle_ms: time that a connection may stay without a whole request
        head, in milliseconds.
    :ivar default_deadline_ms: deadline without a header, in milliseconds.
    :ivar longest_deadline_ms: longest deadline that is accepted, in
        milliseconds.
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
