"""Dependencies, timing and readiness of the bundle reader."""

import asyncio
import dataclasses
import random
from collections.abc import Awaitable, Callable, Mapping
from typing import NamedTuple, Protocol

from waxwingford.bundles._peers import PeerBundleClient
from waxwingford.bundles._verdicts import BundleInForce
from waxwingford.kernel import Clock
from waxwingford.ports import LogPort


@dataclasses.dataclass(frozen=True, slots=True)
class Ready:
    """A bundle is in force on this daemon."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotReady:
    """No bundle is in force on this daemon.

    :ivar reason: error message for operators.
    """

    reason: str


class EventRecorder(Protocol):
    """Callable that records an event, such as ``timeline.Timeline.note``."""

    def __call__(self, kind: str, subject: str, detail: str = '') -> object:
        """Record an event.

        :param subject: object that the event concerns.
        :param detail: details for operators.
        :returns: ignored.
        """
        ...


class Counters(Protocol):
    """Interface of the metrics that the reader updates."""

    def count(self, name: str, by: int = 1, **labels: str) -> None:
        """Increment a counter."""
        ...

    def gauge(self, name: str, level: float, **labels: str) -> None:
        """Set a gauge."""
        ...


class ReaderTiming(NamedTuple):
    """Timing of the reader, in milliseconds.

    :ivar long_poll_ms: maximum long-poll time of a read.
    :ivar backoff_ms: initial backoff after a failed read; doubles each time.
    :ivar backoff_max_ms: maximum backoff, also between queries to peers.
    """

    long_poll_ms: int = 10_000
    backoff_ms: int = 250
    backoff_max_ms: int = 4000


class ReaderDependencies(NamedTuple):
    """Dependencies of the reader.

    :ivar peers: client for all configured peers.
    :ivar clock: clock for idle pauses and restatements.
    :ivar key_by_member: pinned public keys, base64.
    :ivar domain_peers: ids of the other configured daemons of the failure
        domain.
    :ivar on_bundle_change: called with each bundle that takes force.
    :ivar note: records an event.
    :ivar rng: source of jitter.
    :ivar sleep: asynchronous sleep, in seconds.
    """

    log: LogPort
    peers: PeerBundleClient
    clock: Clock
    key_by_member: Mapping[str, str]
    domain_peers: frozenset[str]
    on_bundle_change: Callable[[BundleInForce], None]
    note: EventRecorder
    counters: Counters
    rng: random.Random
    times: ReaderTiming = ReaderTiming()
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep
