"""What a shared log promises: topics, fenced appends, newest record by key.

An append whose answer is lost may have been carried out, or may be carried
out seconds later; only a repeat under the same sequence number, or a read,
settles it.
"""

import dataclasses
from typing import NamedTuple, Protocol


class KeyedRecord(NamedTuple):
    """A record of a topic that keeps the newest record of each key.

    :ivar key: what the record is about.
    :ivar payload: content; ``None`` drops the key.
    """

    key: str
    payload: bytes | None


class StoredRecord(NamedTuple):
    """A record as it was read.

    :ivar offset: place in the topic.
    :ivar key: what the record is about.
    :ivar payload: content; ``None`` if the key was dropped.
    """

    offset: int
    key: str
    payload: bytes | None


class Fence(NamedTuple):
    """Conditions under which an append counts.

    :ivar epoch: a lower one than the topic has seen is refused.
    :ivar sequence: number of this append under the epoch; a repeat of it is
        answered as the first time and appends nothing.
    :ivar at_offset: where the topic must end, ``None`` for anywhere.
    """

    epoch: int
    sequence: int
    at_offset: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """The records are stored.

    :ivar end: offset after the last of them.
    """

    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class AppendFenced:
    """Not appended: a higher epoch has been seen."""


@dataclasses.dataclass(frozen=True, slots=True)
class AppendOutOfOrder:
    """Not appended now: the sequence number is not the next one.

    :ivar expected: the next one.
    """

    expected: int


@dataclasses.dataclass(frozen=True, slots=True)
class AppendElsewhere:
    """Not appended: the topic does not end at the wanted offset.

    :ivar end: where it ends.
    """

    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreRefused:
    """Nothing was done.

    :ivar reason: as the store gave it.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreUnknown:
    """No whole answer came: done, not done, or done later.

    :ivar reason: what happened to the call.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class RecordsRead:
    """Records from the wanted offset on.

    :ivar records: in offset order.
    :ivar next_offset: where to read on.
    :ivar end: where the topic ended.
    """

    records: tuple[StoredRecord, ...]
    next_offset: int
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecordsExpired:
    """The wanted records are no longer kept.

    :ivar first: oldest offset that is.
    """

    first: int


@dataclasses.dataclass(frozen=True, slots=True)
class NewestPage:
    """Part of the newest records; several pages are no snapshot.

    :ivar records: one for each key.
    :ivar more: whether further keys follow.
    :ivar end: where the topic ended when this page was read.
    """

    records: tuple[StoredRecord, ...]
    more: bool
    end: int


AppendOutcome = (
    Appended
    | AppendFenced
    | AppendOutOfOrder
    | AppendElsewhere
    | StoreRefused
    | StoreUnknown
)
ReadOutcome = RecordsRead | RecordsExpired | StoreRefused | StoreUnknown
NewestOutcome = NewestPage | StoreRefused | StoreUnknown


class SharedLog(Protocol):
    """Topics of keyed records, one partition each.

    :ivar answering: whether the store has answered one of the newest calls.
    """

    answering: bool

    async def append(
        self,
        topic: str,
        records: tuple[KeyedRecord, ...],
        fence: Fence | None = None,
    ) -> AppendOutcome:
        """Append all records or none.

        :param topic: where.
        :param records: what.
        :param fence: conditions, ``None`` for an append that always counts.
        :returns: what is known of it.
        """
        ...

    async def read(
        self, topic: str, from_offset: int, wait_ms: int
    ) -> ReadOutcome:
        """Read records.

        :param topic: where.
        :param from_offset: first offset wanted.
        :param wait_ms: how long the store may wait for a record.
        :returns: the records, or why there are none.
        """
        ...

    async def newest(self, topic: str, after_key: str) -> NewestOutcome:
        """Read a page of the newest records by key.

        :param topic: where.
        :param after_key: last key of the page before, empty for the first.
        :returns: the page, or why there is none.
        """
        ...
