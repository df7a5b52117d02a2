"""Stores decisions of the engine in batches, then carries them out."""

import asyncio
import itertools
from collections.abc import Callable, Iterator

from waxwingford.scheduling import Batch, Engine
from waxwingford.shard._journal import Deposed, EpochWriter
from waxwingford.shard._log_port import KeyedRecord
from waxwingford.shard._server_drivers import ServerDrivers

#: Most bytes of rows in one append, half of the platform's limit.
MAX_APPEND_BYTES = 1_000_000


class Committer:
    """Stores one batch at a time; later decisions go into the next batch."""

    def __init__(
        self, engine: Engine, writer: EpochWriter, fleet: ServerDrivers
    ) -> None:
        """Create a committer without pending work.

        :param writer: writer of the journal under the owner's epoch.
        :param fleet: carries out stored decisions.
        """
        self._engine = engine
        self._writer = writer
        self._fleet = fleet
        self._requested = asyncio.Event()
        # Batch that is being stored. It is kept if that fails, as its decisions
        # have been made.
        self._batch: Batch | None = None

    def wake(self) -> None:
        """Request a batch if the engine has decisions to store."""
        if self._engine.state.dirty:
            self._requested.set()

    async def run(self, request_decision: Callable[[], None]) -> None:
        """Store batches until the owner is deposed.

        :param request_decision: called after each stored batch.
        """
        while True:
            if self._batch is None:
                await self._requested.wait()
                self._requested.clear()
                self._batch = self._engine.take_batch()
            if not await self._store(self._batch):
                return
            batch = self._batch
            self._batch = None
            self._fleet.send_starts(batch, self._engine.stored(batch))
            request_decision()

    async def _store(self, batch: Batch) -> bool:
        """Append the rows of a batch.

        :returns: whether the owner has not been deposed.
        """
        rows = itertools.starmap(KeyedRecord, batch.payload_by_key.items())
        for part in _split(tuple(rows)):
            if isinstance(await self._writer.append(part), Deposed):
                return False
        return True


def _split(
    rows: tuple[KeyedRecord, ...],
) -> Iterator[tuple[KeyedRecord, ...]]:
    """Split the rows of a batch by the size limit of an append.

    :param rows: rows of one batch, which is carried out once all are stored.
    """
    part: list[KeyedRecord] = []
    part_bytes = 0
    for row in rows:
        row_bytes = len(row.key) + len(row.payload or b'')
        if part and part_bytes + row_bytes > MAX_APPEND_BYTES:
            yield tuple(part)
            part, part_bytes = [], 0
        part.append(row)
        part_bytes += row_bytes
    if part:
        yield tuple(part)
