"""Stores what an engine decides, batch by batch, then acts on it."""

import asyncio
from collections.abc import Callable, Iterator

from waxwingford.scheduling import Engine
from waxwingford.shard._fleet import Fleet
from waxwingford.shard._journal import Deposed, EpochWriter
from waxwingford.shard._log_port import KeyedRecord

#: Bytes of rows in one append: half of what the platform takes.
MOST_APPEND_BYTES = 1_000_000


class Committer:
    """One append at a time; what comes meanwhile goes into the next."""

    def __init__(
        self, engine: Engine, writer: EpochWriter, fleet: Fleet
    ) -> None:
        """Prepare.

        :param engine: decides.
        :param writer: of the journal, under the owner's epoch.
        :param fleet: acts.
        """
        self._engine = engine
        self._writer = writer
        self._fleet = fleet
        self._wanted = asyncio.Event()

    def wake(self) -> None:
        """Store soon, if there is something to store."""
        if self._engine.book.dirty:
            self._wanted.set()

    async def run(self, stir: Callable[[], None]) -> None:
        """Store batches until the owner is deposed.

        :param stir: called after each batch.
        """
        while True:
            await self._wanted.wait()
            self._wanted.clear()
            batch = self._engine.take_batch()
            rows = tuple(
                KeyedRecord(key, raw)
                for key, raw in batch.payload_by_key.items()
            )
            for part in _parts(rows):
                if isinstance(await self._writer.append(part), Deposed):
                    return
            self._fleet.act_on(batch, self._engine.stored(batch))
            stir()


def _parts(
    rows: tuple[KeyedRecord, ...],
) -> Iterator[tuple[KeyedRecord, ...]]:
    """Split rows into appends that the store takes.

    :param rows: of one batch; acted on only when all are stored.
    :returns: rows of each append.
    """
    part: list[KeyedRecord] = []
    held_bytes = 0
    for row in rows:
        row_bytes = len(row.key) + len(row.payload or b'')
        if part and held_bytes + row_bytes > MOST_APPEND_BYTES:
            yield tuple(part)
            part, held_bytes = [], 0
        part.append(row)
        held_bytes += row_bytes
    if part:
        yield tuple(part)
