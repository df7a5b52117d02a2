"""Limits of services and of the request path."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

#: Default size of the cache of answers, in bytes.
ANSWER_CACHE_BYTES = 33_554_432


class ServiceLimits(NamedTuple):
    """Limits of one service, configured in the bundle.

    :ivar target_ms: target latency of the service, in milliseconds.
    :ivar max_in_progress: maximum number of requests in progress on this
        daemon.
    :ivar concurrency_by_member: maximum number of requests in progress by
        member; members without an entry are not limited.
    :ivar weight_by_member: fair-share weights of the members that may use the
        service.
    :ivar retry_budget_share: retries as a fraction of requests, 0 to 1.
    :ivar may_spill: whether requests may be forwarded to peers.
    """

    target_ms: float = 100.0
    max_in_progress: int = 1024
    concurrency_by_member: Mapping[str, int] = MappingProxyType({})
    weight_by_member: Mapping[str, float] = MappingProxyType({})
    retry_budget_share: float = 0.1
    may_spill: bool = True


class DispatchLimits(NamedTuple):
    """Limits of the request path of one daemon.

    :ivar in_progress: maximum number of requests in progress over all
        services.
    :ivar max_lookups: maximum number of key lookups in progress; each one
        queries every daemon.
    :ivar key_memory_ms: retention period of an idempotency key after its
        request has ended, in milliseconds.
    :ivar max_keys_per_member: maximum number of keys stored per member.
    :ivar answer_cache_bytes: maximum size of the cache of answers, in bytes.
    :ivar delivery_ms: maximum transit time of a first attempt from caller to
        daemon, in milliseconds; 0 if no intermediary stores and forwards
        requests, since a request on a connection that this process accepted
        was sent after the process started.
    :ivar lookup_timeout_ms: timeout of a key lookup at all daemons, in
        milliseconds.
    :ivar min_time_left_ms: minimum time before the deadline for a request to
        be sent, in milliseconds.
    :ivar overrun_ms: maximum time by which a server overruns a deadline, in
        milliseconds; an abandoned slot becomes free after it.
    """

    in_progress: int = 1024
    max_lookups: int = 32
    key_memory_ms: int = 120_000
    max_keys_per_member: int = 50_000
    answer_cache_bytes: int = ANSWER_CACHE_BYTES
    delivery_ms: int = 5000
    lookup_timeout_ms: int = 1000
    min_time_left_ms: int = 1
    overrun_ms: int = 250
