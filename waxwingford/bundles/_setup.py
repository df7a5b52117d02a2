"""What a bundle reader works with, and whether it is ready."""

import asyncio
import dataclasses
import random
from collections.abc import Awaitable, Callable, Mapping
from typing import NamedTuple, Protocol

from waxwingford.bundles._peers import PeerBundles
from waxwingford.bundles._verdicts import BundleInForce
from waxwingford.kernel import Clock
from waxwingford.ports import LogPort


@dataclasses.dataclass(frozen=True, slots=True)
class Ready:
    """A bundle is in force here."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotReady:
    """No bundle is in force here, and none may be guessed.

    :ivar reason: for operators.
    """

    reason: str


class Note(Protocol):
    """Writes an event, as ``timeline.TimeLine.note`` does."""

    def __call__(self, kind: str, subject: str, detail: str = '') -> object:
        """Write it.

        :param kind: what happened.
        :param subject: what it is about.
        :param detail: for people.
        :returns: anything.
        """
        ...


class Counters(Protocol):
    """Part of the metrics that the reader writes to."""

    def count(self, name: str, by: int = 1, **labels: str) -> None:
        """Add to a counter.

        :param name: which.
        :param by: how much.
        :param labels: label values by name.
        """
        ...

    def gauge(self, name: str, level: float, **labels: str) -> None:
        """Set a gauge.

        :param name: which.
        :param level: present level.
        :param labels: label values by name.
        """
        ...


class ReaderTimes(NamedTuple):
    """Times of the reader, in milliseconds.

    :ivar long_poll_ms: the log may hold a read for so long.
    :ivar backoff_ms: first pause after a failed read; it doubles.
    :ivar backoff_max_ms: longest pause, also between questions to peers.
    """

    long_poll_ms: int = 10_000
    backoff_ms: int = 250
    backoff_max_ms: int = 4000


class ReaderSetup(NamedTuple):
    """What a reader works with.

    :ivar log: the platform's log.
    :ivar peers: way to all configured peers.
    :ivar clock: for the times of restatements.
    :ivar key_by_member: pinned public keys, base64.
    :ivar domain_daemons: other configured daemons of the failure domain.
    :ivar on_in_force: hears of each bundle that takes force here.
    :ivar note: writes to the time line.
    :ivar counters: metrics.
    :ivar rng: jitter.
    :ivar times: times.
    :ivar sleep: waits for seconds.
    """

    log: LogPort
    peers: PeerBundles
    clock: Clock
    key_by_member: Mapping[str, str]
    domain_daemons: frozenset[str]
    on_in_force: Callable[[BundleInForce], None]
    note: Note
    counters: Counters
    rng: random.Random
    times: ReaderTimes = ReaderTimes()
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep
