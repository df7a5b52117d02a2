"""Core of the append-only log's stand-in: pure, time is passed in.

:class:`LogCore` keeps streams and carries out faults; :class:`FakeLog` puts
it behind :class:`waxwingford.ports.LogPort` for tests in virtual time.
"""

import bisect
import collections
import dataclasses
import enum
import random
from typing import NamedTuple

from waxwingford.kernel import Clock
from waxwingford.ports import (
    Appended,
    AppendOutcome,
    AppendRefused,
    AppendUnknown,
    LogEntry,
    LogRead,
    LogUnavailable,
    ReadOutcome,
)

_MAX_PAYLOAD_BYTES = 1 << 20
_RATE_WINDOW_MS = 1000
_OUTAGE_RETRY_MS = 500
_TOO_LARGE_RETRY_MS = 60_000

#: Reasons of refusals; the process maps them to HTTP statuses.
RATE_CAP = 'append rate cap'
TOO_LARGE = 'payload above 1 MiB'
OUT_OF_SERVICE = 'log is out of service'


class LogLimits(NamedTuple):
    """What the log keeps and accepts.

    :ivar appends_per_second: appends over all streams in any second.
    :ivar retain_entries: entries kept by stream.
    :ivar retain_ms: age at which entries are dropped, in milliseconds.
    """

    appends_per_second: int = 400
    retain_entries: int = 1_000_000
    retain_ms: int = 24 * 3600 * 1000


DEFAULT_LIMITS = LogLimits()


class Outage(enum.StrEnum):
    """Whether the log serves."""

    none = 'none'
    refuse = 'refuse'
    hang = 'hang'


@dataclasses.dataclass(slots=True)
class LogFaults:
    """Switches of the log's faults.

    :ivar outage: kind of outage.
    :ivar slow_ms: delay before each answer, in milliseconds.
    :ivar lost_share: share of appends whose answer is lost afterwards.
    """

    outage: Outage = Outage.none
    slow_ms: int = 0
    lost_share: float = 0


@dataclasses.dataclass(slots=True)
class _Stream:
    """Retained entries; ``first`` is the offset of ``payloads[0]``."""

    first: int = 0
    payloads: list[bytes] = dataclasses.field(default_factory=list)
    appended_ms: list[int] = dataclasses.field(default_factory=list)


class LogCore:
    """Streams with offsets from 0, retention, a rate cap and faults.

    :ivar faults: switches, changed in place.
    """

    def __init__(
        self,
        limits: LogLimits = DEFAULT_LIMITS,
        seed: int = 0,
    ) -> None:
        """Start without streams.

        :param limits: retention and rate cap.
        :param seed: of the choice whose acknowledgement is lost.
        """
        self.faults = LogFaults()
        self._limits = limits
        self._random = random.Random(seed)
        self._stream_by_name: dict[str, _Stream] = {}
        self._recent_ms: collections.deque[int] = collections.deque()

    def append(self, stream: str, payload: bytes, now_ms: int) -> AppendOutcome:
        """Append one entry, subject to the faults.

        :param stream: its name.
        :param payload: at most 1 MiB.
        :param now_ms: monotonic time.
        :returns: tagged outcome, as the client is to see it.
        """
        match self.faults.outage:
            case Outage.refuse:
                return AppendRefused(OUT_OF_SERVICE, _OUTAGE_RETRY_MS)
            case Outage.hang:
                return AppendUnknown('log does not answer')
        refused = self._check_limits(payload, now_ms)
        if refused is not None:
            return refused
        stored = self._stream_by_name.setdefault(stream, _Stream())
        self._recent_ms.append(now_ms)
        stored.payloads.append(payload)
        stored.appended_ms.append(now_ms)
        offset = stored.first + len(stored.payloads) - 1
        self._apply_retention(stored, now_ms)
        if self._random.random() < self.faults.lost_share:
            return AppendUnknown('acknowledgement was lost')
        return Appended(offset)

    def read(
        self, stream: str, from_offset: int, limit: int, now_ms: int
    ) -> ReadOutcome:
        """Read entries forward, without waiting.

        :param stream: its name.
        :param from_offset: first offset wanted.
        :param limit: entries at most.
        :param now_ms: monotonic time.
        :returns: tagged outcome.
        """
        if self.faults.outage is not Outage.none:
            return LogUnavailable(OUT_OF_SERVICE)
        stored = self._stream_by_name.get(stream, _Stream())
        self._apply_retention(stored, now_ms)
        start = max(from_offset - stored.first, 0)
        chosen = stored.payloads[start : start + max(limit, 0)]
        first = stored.first + start
        return LogRead(
            tuple(_number_entries(first, chosen)),
            next_offset=stored.first + len(stored.payloads),
            oldest_offset=stored.first,
        )

    def truncate(self, stream: str, before_offset: int) -> None:
        """Drop entries early, as a short retention would.

        :param stream: its name.
        :param before_offset: first offset that stays.
        """
        stored = self._stream_by_name.get(stream)
        if stored is not None:
            _drop_oldest(stored, before_offset - stored.first)

    def _check_limits(
        self, payload: bytes, now_ms: int
    ) -> AppendRefused | None:
        if len(payload) > _MAX_PAYLOAD_BYTES:
            return AppendRefused(TOO_LARGE, _TOO_LARGE_RETRY_MS)
        recent = self._recent_ms
        while recent and recent[0] <= now_ms - _RATE_WINDOW_MS:
            recent.popleft()
        if len(recent) < self._limits.appends_per_second:
            return None
        return AppendRefused(RATE_CAP, recent[0] + _RATE_WINDOW_MS - now_ms)

    def _apply_retention(self, stored: _Stream, now_ms: int) -> None:
        by_age = bisect.bisect_left(
            stored.appended_ms, now_ms - self._limits.retain_ms
        )
        by_count = len(stored.payloads) - self._limits.retain_entries
        _drop_oldest(stored, max(by_age, by_count))


def _number_entries(first: int, payloads: list[bytes]) -> list[LogEntry]:
    """Number payloads.

    :param first: offset of the first.
    :param payloads: in offset order.
    :returns: entries.
    """
    return [
        LogEntry(offset, payload)
        for offset, payload in enumerate(payloads, first)
    ]


def _drop_oldest(stored: _Stream, count: int) -> None:
    """Forget the oldest entries of a stream.

    :param stored: the stream.
    :param count: how many; nothing happens if not positive.
    """
    dropped = min(max(count, 0), len(stored.payloads))
    if dropped:
        stored.first += dropped
        stored.payloads = stored.payloads[dropped:]
        stored.appended_ms = stored.appended_ms[dropped:]


class FakeLog:
    """A log port over a core, without network and without waiting.

    :ivar core: the core, shared by all ports of one test.
    """

    def __init__(self, core: LogCore, clock: Clock) -> None:
        """Bind a core to a clock.

        :param core: streams and faults.
        :param clock: source of time.
        """
        self.core = core
        self._clock = clock

    async def append(self, stream: str, payload: bytes) -> AppendOutcome:
        """Append one entry.

        :param stream: its name.
        :param payload: at most 1 MiB.
        :returns: tagged outcome.
        """
        return self.core.append(stream, payload, self._clock.monotonic_ms())

    async def read(
        self,
        stream: str,
        from_offset: int,
        limit: int,
        wait_ms: int = 0,
    ) -> ReadOutcome:
        """Read what is there; never waits.

        :param stream: its name.
        :param from_offset: first offset wanted.
        :param limit: entries at most.
        :param wait_ms: ignored, virtual time does not pass here.
        :returns: tagged outcome.
        """
        return self.core.read(
            stream, from_offset, limit, self._clock.monotonic_ms()
        )
