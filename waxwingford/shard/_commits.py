"""Stores decisions of the engine in batches, then carries them out."""

import asyncio
import collections
import itertools
from collections.abc import Callable, Iterator

import logbook

from waxwingford.scheduling import Batch, Engine
from waxwingford.shard._journal import Deposed, EpochWriter
from waxwingford.shard._log_port import AppendRejected, KeyedRecord
from waxwingford.shard._server_drivers import ServerDrivers

#: Most bytes of rows in one append: longer ones delay those of the next batch.
MAX_APPEND_BYTES = 1_000_000

_log = logbook.Logger('shard')


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
        # Batches that are being stored. They are kept if that fails, as their
        # decisions have been made.
        self._batches: list[Batch] = []

    def wake(self) -> None:
        """Request a batch if the engine has decisions to store."""
        if self._engine.state.dirty:
            self._requested.set()

    async def run(self, request_decision: Callable[[], None]) -> None:
        """Store batches until the owner is deposed.

        :param request_decision: called after each stored batch.
        """
        while True:
            if not self._batches:
                await self._requested.wait()
                self._requested.clear()
                self._batches.append(self._engine.take_batch())
            if not await self._store_all():
                return
            batches = self._batches
            self._batches = []
            for batch in batches:
                self._fleet.send_starts(batch, self._engine.stored(batch))
            request_decision()

    async def _store_all(self) -> bool:
        """Store a batch, and the ends of jobs whose rows are rejected.

        The batch is carried out once these ends are stored, because it may
        acknowledge ends of tasks that are in a rejected row.

        :returns: whether the owner has not been deposed.
        """
        while True:
            rejected = await self._store(self._batches[-1])
            if rejected is None:
                return False
            if not rejected:
                return True
            self._engine.reject_rows(rejected)
            self._batches.append(self._engine.take_batch())

    async def _store(self, batch: Batch) -> list[str] | None:
        """Append the rows of a batch.

        :returns: keys of rows that the store never accepts, ``None`` if the
            owner was deposed.
        """
        rows = itertools.starmap(KeyedRecord, batch.payload_by_key.items())
        max_bytes = min(MAX_APPEND_BYTES, self._writer.limits.append_bytes)
        parts = collections.deque(_split(tuple(rows), max_bytes))
        rejected: list[str] = []
        while parts:
            part = parts.popleft()
            # The parts of a longer one are tried by themselves.
            single = len(part) == 1
            append = (
                self._writer.append_confirmed if single else self._writer.append
            )
            match await append(part):
                case Deposed():
                    return None
                case AppendRejected(reason) if single:
                    _log.error(
                        'row rejected',
                        extra={'record': part[0].key, 'reason': reason},
                    )
                    rejected.append(part[0].key)
                case AppendRejected():
                    middle = len(part) // 2
                    parts.extendleft((part[middle:], part[:middle]))
        return rejected


def _split(
    rows: tuple[KeyedRecord, ...], max_bytes: int
) -> Iterator[tuple[KeyedRecord, ...]]:
    """Split the rows of a batch by the size limit of an append.

    :param rows: rows of one batch, which is carried out once all are stored.
    :param max_bytes: largest sum of sizes; a row that exceeds it is by itself.
    """
    part: list[KeyedRecord] = []
    part_bytes = 0
    for row in rows:
        if part and part_bytes + row.size > max_bytes:
            yield tuple(part)
            part, part_bytes = [], 0
        part.append(row)
        part_bytes += row.size
    if part:
        yield tuple(part)
