"""Interface to the append-only log of the platform."""

import dataclasses
from typing import NamedTuple, Protocol


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """The entry was appended.

    :ivar offset: offset of the entry in the stream.
    """

    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRefused:
    """The entry was not appended, for example because of a rate limit.

    :ivar reason: human-readable cause.
    :ivar retry_after_ms: minimum delay before a retry, in milliseconds.
    """

    reason: str
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class AppendOutcomeUnknown:
    """The outcome is unknown: the entry may or may not have been appended.

    :ivar reason: human-readable cause.
    """

    reason: str


class LogEntry(NamedTuple):
    """Entry of a stream.

    :ivar offset: position in the stream; consecutive entries differ by one.
    :ivar payload: bytes as appended.
    """

    offset: int
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class LogRead:
    """Result of a read.

    :ivar entries: entries in offset order, possibly none.
    :ivar next_offset: offset of the next append.
    :ivar oldest_offset: lowest retained offset.
    """

    entries: tuple[LogEntry, ...]
    next_offset: int
    oldest_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class LogUnavailable:
    """The log could not be read.

    :ivar reason: human-readable cause.
    """

    reason: str


AppendOutcome = Appended | AppendRefused | AppendOutcomeUnknown
ReadOutcome = LogRead | LogUnavailable


class LogPort(Protocol):
    """Appends to and reads from the streams of the log."""

    async def append(self, stream: str, payload: bytes) -> AppendOutcome:
        """Append one entry, which may hold a group of records.

        :param stream: name of the stream, for example ``domain/gulberg`` or
            ``config``.
        :param payload: content of the entry, at most 1 MiB.
        :returns: whether the entry was appended, refused, or may have been
            appended.
        """
        ...

    async def read(
        self,
        stream: str,
        from_offset: int,
        limit: int,
        wait_ms: int = 0,
    ) -> ReadOutcome:
        """Read entries in offset order.

        :param stream: name of the stream; an unknown stream is empty.
        :param from_offset: offset of the first entry.  Below the oldest
            retained offset, reading starts at the oldest retained entry;
            ``oldest_offset`` of the result shows the gap.
        :param limit: maximum number of entries.
        :param wait_ms: maximum time to wait for new entries, in milliseconds.
        """
        ...
