"""Port to the shared log: topics, fenced appends, newest record of each key.

An append that got no answer may have been applied, or may be applied seconds
later. Only a retry with the same sequence number, or a read, resolves it.
"""

from typing import NamedTuple, Protocol

import msgspec

#: Bytes of the lengths of a record and of its key.
_LENGTHS_BYTES = 5


class LogLimits(NamedTuple):
    """Sizes that the store accepts.

    :ivar record_bytes: largest size of a record, see ``KeyedRecord.size``.
    :ivar append_bytes: largest sum of the sizes of the records of an append.
    """

    record_bytes: int
    append_bytes: int


class KeyedRecord(NamedTuple):
    """A record to append to a topic that is compacted by key.

    :ivar key: key of which the topic keeps the newest record.
    :ivar payload: content; ``None`` is a tombstone that deletes the key.
    """

    key: str
    payload: bytes | None

    @property
    def size(self) -> int:
        """Size in bytes of the key, the content and their lengths."""
        key = self.key.encode(errors='replace')
        return _LENGTHS_BYTES + len(key) + len(self.payload or b'')


class StoredRecord(NamedTuple):
    """A record as read from a topic.

    :ivar offset: position in the topic.
    :ivar payload: content; ``None`` if the key was deleted.
    """

    offset: int
    key: str
    payload: bytes | None


class Fence(NamedTuple):
    """Conditions under which the store accepts an append.

    :ivar epoch: epoch of the writer; refused if the topic has seen a higher
        one.
    :ivar sequence: number of this append within the epoch; a retry with the
        same number gets the first answer again and appends nothing.
    :ivar expected_end: offset at which the topic must end, ``None`` for any.
    """

    epoch: int
    sequence: int
    expected_end: int | None = None


class Appended(msgspec.Struct, frozen=True):
    """The records are stored.

    :ivar end: offset after the last appended record.
    """

    end: int


class AppendFenced(msgspec.Struct, frozen=True):
    """Not appended: the topic has seen a higher epoch."""


class AppendOutOfOrder(msgspec.Struct, frozen=True):
    """Not appended: the sequence number is not the next one.

    :ivar expected: the sequence number that the store expects next.
    """

    expected: int


class AppendEndMismatch(msgspec.Struct, frozen=True):
    """Not appended: the topic does not end at the required offset.

    :ivar end: offset at which the topic ends.
    """

    end: int


class AppendRejected(msgspec.Struct, frozen=True):
    """Not appended, and the same records may never be.

    :ivar reason: error text of the store.
    :ivar final: whether the fault is known to lie with the records, by their sizes or
        keys. Otherwise only the store says so, and may say it of any append.
    """

    reason: str
    final: bool = False


class StoreRefused(msgspec.Struct, frozen=True):
    """The store refused the call for now and changed nothing.

    :ivar reason: error text of the store.
    """

    reason: str


class StoreOutcomeUnknown(msgspec.Struct, frozen=True):
    """The call got no complete answer and may have been or may be applied.

    :ivar reason: error that ended the call.
    """

    reason: str


class RecordsRead(msgspec.Struct, frozen=True):
    """Records from the requested offset on.

    :ivar records: the records in offset order.
    :ivar end: offset at which the topic ended.
    """

    records: tuple[StoredRecord, ...]
    next_offset: int
    end: int


class RecordsExpired(msgspec.Struct, frozen=True):
    """The requested records are past their retention.

    :ivar first: oldest offset that is retained.
    """

    first: int


class NewestPage(msgspec.Struct, frozen=True):
    """A page of the newest records; several pages form no snapshot.

    :ivar records: newest record of each key of the page, in key order.
    :ivar more: whether further keys follow.
    :ivar end: offset at which the topic ended when this page was read.
    """

    records: tuple[StoredRecord, ...]
    more: bool
    end: int


AppendOutcome = (
    Appended
    | AppendFenced
    | AppendOutOfOrder
    | AppendEndMismatch
    | AppendRejected
    | StoreRefused
    | StoreOutcomeUnknown
)
ReadOutcome = RecordsRead | RecordsExpired | StoreRefused | StoreOutcomeUnknown
NewestOutcome = NewestPage | StoreRefused | StoreOutcomeUnknown


class SharedLog(Protocol):
    """Topics of keyed records, one partition each.

    :ivar responsive: whether the store has answered one of the latest calls.
    :ivar limits: sizes that it accepts.
    """

    responsive: bool
    limits: LogLimits

    async def append(
        self,
        topic: str,
        records: tuple[KeyedRecord, ...],
        fence: Fence | None = None,
    ) -> AppendOutcome:
        """Append records atomically.

        :param fence: conditions, ``None`` for an unconditional append.
        """
        ...

    async def read(
        self, topic: str, from_offset: int, wait_ms: int
    ) -> ReadOutcome:
        """Read records in offset order.

        :param wait_ms: long poll: time that the store may wait for a record.
        """
        ...

    async def read_newest(self, topic: str, after_key: str) -> NewestOutcome:
        """Read a page of the newest records in key order.

        :param after_key: last key of the previous page, empty for the first.
        """
        ...
