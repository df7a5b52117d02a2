"""Local copy of a topic that keeps the newest record of each key."""

import dataclasses

from waxwingford.shard._log_port import (
    NewestPage,
    RecordsExpired,
    RecordsRead,
    SharedLog,
    StoredRecord,
    StoreRefused,
    StoreUnknown,
)


@dataclasses.dataclass(frozen=True, slots=True)
class CaughtUp:
    """The copy is newer than before; how new tells ``Mirror.behind``.

    :ivar changed: records that were new, in offset order.
    """

    changed: tuple[StoredRecord, ...]


CatchUp = CaughtUp | StoreRefused | StoreUnknown


class Mirror:
    """Reads a topic once by key, then follows it.

    Pages of newest records are no snapshot: a key may change between two of
    them. So the topic is followed from where it ended at the first page, and
    for each key the record with the higher offset wins.

    :ivar payload_by_key: newest record of each key.
    :ivar next_offset: where to read on.
    :ivar behind: whether the topic went on beyond what the last read returned.
    """

    def __init__(self, log: SharedLog, topic: str) -> None:
        """Follow a topic.

        :param log: the store.
        :param topic: which.
        """
        self.payload_by_key: dict[str, bytes] = {}
        self.next_offset = 0
        self.behind = False
        self._log = log
        self._topic = topic
        self._offset_by_key: dict[str, int] = {}
        self._restored = False

    async def catch_up(self, wait_ms: int = 0) -> CatchUp:
        """Read what is new; everything, if nothing was read before.

        Of what is new one read returns a part at most, see ``behind``.

        :param wait_ms: how long the store may wait for a record.
        :returns: what changed, or why nothing is known.
        """
        if not self._restored:
            return await self._restore()
        outcome = await self._log.read(self._topic, self.next_offset, wait_ms)
        match outcome:
            case RecordsRead(records, next_offset, end):
                self._apply(records)
                self.next_offset = next_offset
                self.behind = next_offset < end
                return CaughtUp(records)
            case RecordsExpired():
                # Left behind for longer than records are kept.
                self._restored = False
                return await self._restore()
            case _:
                return outcome

    async def reach_end(self) -> CatchUp:
        """Read on to where the topic ends.

        One read returns so many records at most. Who takes the first for all
        denies what is stored behind them.

        :returns: all that changed, or why the end wasn't reached; what was read
            until then stays in the copy.
        """
        changed: list[StoredRecord] = []
        while True:
            read = await self.catch_up()
            if not isinstance(read, CaughtUp):
                return read
            changed.extend(read.changed)
            if not self.behind:
                return CaughtUp(tuple(changed))

    def follow_from(self, offset: int) -> None:
        """Follow without reading what came before.

        :param offset: first offset wanted.
        """
        self.next_offset = offset
        self._restored = True

    async def _restore(self) -> CatchUp:
        after_key = ''
        records: list[StoredRecord] = []
        first_end: int | None = None
        while True:
            page = await self._log.newest(self._topic, after_key)
            if not isinstance(page, NewestPage):
                return page
            first_end = page.end if first_end is None else first_end
            records.extend(page.records)
            if not page.more or not page.records:
                break
            after_key = page.records[-1].key
        keys = {record.key for record in records}
        dropped = tuple(
            StoredRecord(first_end, key, None)
            for key in self.payload_by_key
            if key not in keys
        )
        self._apply(dropped)
        self._apply(tuple(records))
        self.next_offset = first_end
        self._restored = True
        self.behind = False
        return CaughtUp((*dropped, *records))

    def _apply(self, records: tuple[StoredRecord, ...]) -> None:
        for record in records:
            if record.offset < self._offset_by_key.get(record.key, -1):
                continue
            self._offset_by_key[record.key] = record.offset
            if record.payload is None:
                self.payload_by_key.pop(record.key, None)
            else:
                self.payload_by_key[record.key] = record.payload
