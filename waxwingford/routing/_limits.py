"""Limits of services and of the request path."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

#: Bytes of answers kept for replay: an eighth of a daemon's memory.
ANSWER_BYTES = 33_554_432


class ServiceLimits(NamedTuple):
    """Limits of one service, from the bundle.

    :ivar target_ms: latency that the service should keep, in milliseconds.
    :ivar max_in_progress: requests in progress in this daemon at most.
    :ivar most_by_member: the same for each member; others have no such limit.
    :ivar weight_by_member: weights of the members that may use the service.
    :ivar retry_share: retries as a share of requests, 0 to 1.
    :ivar may_spill: whether requests may go to peers.
    """

    target_ms: float = 100.0
    max_in_progress: int = 1024
    most_by_member: Mapping[str, int] = MappingProxyType({})
    weight_by_member: Mapping[str, float] = MappingProxyType({})
    retry_share: float = 0.1
    may_spill: bool = True


class DispatchLimits(NamedTuple):
    """Bounds of the request path of one daemon.

    :ivar in_progress: requests in progress at most, over all services.
    :ivar max_lookups: recalls in progress at most; each asks every daemon.
    :ivar key_memory_ms: how long an idempotency key is remembered after its
        request ended, in milliseconds.
    :ivar max_keys_per_member: keys remembered at most for one member.
    :ivar answer_bytes: bytes of answers kept for replay at most.
    :ivar delivery_ms: longest time that a first attempt may be under way
        between caller and daemon, in milliseconds; 0 where nothing between
        them takes a request and passes it on later: what comes over a
        connection that this process accepted was sent after its start.
    :ivar lookup_timeout_ms: time for asking all daemons, in milliseconds.
    :ivar min_time_left_ms: a request with less time left is not sent.
    :ivar overrun_ms: time by which a server may overrun a deadline before
        its slot counts as free, in milliseconds.
    """

    in_progress: int = 1024
    max_lookups: int = 32
    key_memory_ms: int = 120_000
    max_keys_per_member: int = 50_000
    answer_bytes: int = ANSWER_BYTES
    delivery_ms: int = 5000
    lookup_timeout_ms: int = 1000
    min_time_left_ms: int = 1
    overrun_ms: int = 250
