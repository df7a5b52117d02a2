"""Local copy of a topic, compacted to the newest record of each key."""

import dataclasses

import msgspec

from waxwingford.shard._log_port import (
    NewestPage,
    RecordsExpired,
    RecordsRead,
    SharedLog,
    StoredRecord,
    StoreOutcomeUnknown,
    StoreRefused,
)


class CaughtUp(msgspec.Struct, frozen=True):
    """The copy has advanced; ``Mirror.behind`` tells whether to the end.

    :ivar changed: records applied since the previous call.
    """

    changed: tuple[StoredRecord, ...]


CatchUpOutcome = CaughtUp | StoreRefused | StoreOutcomeUnknown


@dataclasses.dataclass(slots=True)
class _Pages:
    """Pages of newest records read so far.

    :ivar first_end: offset at which the topic ended at the first page.
    :ivar after_key: last key of these pages.
    :ivar complete: whether no further key follows.
    :ivar count: number of pages.
    """

    records: list[StoredRecord] = dataclasses.field(default_factory=list)
    first_end: int | None = None
    after_key: str = ''
    complete: bool = False
    count: int = 0

    def add(self, page: NewestPage) -> None:
        """Add the next page."""
        self.count += 1
        if self.first_end is None:
            self.first_end = page.end
        self.records.extend(page.records)
        self.complete = not (page.more and page.records)
        if page.records:
            self.after_key = page.records[-1].key


class Mirror:
    """Loads a topic page by page in key order, then follows it by offset.

    Pages of newest records are no snapshot: a key may change between two of
    them. So the topic is followed from where it ended at the first page, and
    for each key the record with the highest offset wins. This also allows a
    load that failed at one page to resume there.

    :ivar payload_by_key: the copy.
    :ivar payload_bytes: size of the copy without its keys, in bytes.
    :ivar behind: whether the topic extends beyond what the last read returned.
    """

    def __init__(self, log: SharedLog, topic: str) -> None:
        self.payload_by_key: dict[str, bytes] = {}
        self.payload_bytes = 0
        self.next_offset = 0
        self.pages_read = 0
        self.behind = False
        self._log = log
        self._topic = topic
        self._offset_by_key: dict[str, int] = {}
        self._loaded = False
        self._pages = _Pages()
        #: Records applied but not yet returned by a call.
        self._undelivered: tuple[StoredRecord, ...] = ()

    async def catch_up(self, wait_ms: int = 0) -> CatchUpOutcome:
        """Load the topic on the first call, then read the records after it.

        One call may return only part of the new records, see ``behind``.

        :param wait_ms: long poll: time that the store may wait for a record.
        """
        if not self._loaded:
            return await self._load()
        outcome = await self._log.read(self._topic, self.next_offset, wait_ms)
        match outcome:
            case RecordsRead((), next_offset, end) if next_offset < end:
                return StoreOutcomeUnknown('no record in the answer')
            case RecordsRead(records, next_offset, end):
                self._apply(records)
                self.next_offset = next_offset
                self.behind = next_offset < end
                return self._deliver(records)
            case RecordsExpired():
                # Fell behind by more than the retention of the topic.
                self._loaded = False
                return await self._load()
            case _:
                return outcome

    async def read_to_end(self) -> CatchUpOutcome:
        """Read until the end of the topic.

        The store limits the number of records per read, so that a single read
        may miss stored records.

        :returns: all changes, or why the end was not reached; records read
            before the failure stay in the copy.
        """
        changed: list[StoredRecord] = []
        while True:
            read = await self.catch_up()
            if not isinstance(read, CaughtUp):
                return read
            changed.extend(read.changed)
            if not self.behind:
                return CaughtUp(tuple(changed))

    def offset_of(self, key: str) -> int:
        """Find the newest record of a key.

        :returns: offset of the record, -1 if there is none.
        """
        return self._offset_by_key.get(key, -1)

    def follow_from(self, offset: int) -> None:
        """Follow the topic without loading earlier records."""
        self.next_offset = offset
        self._loaded = True

    async def _load(self) -> CatchUpOutcome:
        resumed = self._pages.first_end is not None
        while not self._pages.complete:
            pages = self._pages
            page = await self._log.read_newest(self._topic, pages.after_key)
            if not isinstance(page, NewestPage):
                return page
            pages.add(page)
            self.pages_read += 1
        records = self._apply_pages()
        if resumed:
            # The first pages were read before this call: read what has been
            # appended since.
            self._undelivered = records
            return await self.catch_up()
        return self._deliver(records)

    def _apply_pages(self) -> tuple[StoredRecord, ...]:
        records = self._pages.records
        end = self._pages.first_end or 0
        keys = {record.key for record in records}
        deleted = tuple(
            StoredRecord(end, key, None)
            for key in self.payload_by_key
            if key not in keys
        )
        self._apply(deleted)
        self._apply(tuple(records))
        self.next_offset = end
        self._loaded = True
        # Keys of earlier pages may have changed while later ones were read.
        self.behind = self._pages.count > 1
        self._pages = _Pages()
        return (*deleted, *records)

    def _deliver(self, records: tuple[StoredRecord, ...]) -> CaughtUp:
        changed = (*self._undelivered, *records)
        self._undelivered = ()
        return CaughtUp(changed)

    def _apply(self, records: tuple[StoredRecord, ...]) -> None:
        for record in records:
            if record.offset < self._offset_by_key.get(record.key, -1):
                continue
            former = self.payload_by_key.pop(record.key, b'')
            self.payload_bytes -= len(former)
            if record.payload is None:
                self._offset_by_key.pop(record.key, None)
            else:
                self._offset_by_key[record.key] = record.offset
                self.payload_by_key[record.key] = record.payload
                self.payload_bytes += len(record.payload)
