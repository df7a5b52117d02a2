"""Brings jobs and cancellings from the intake into the owner's engine."""

import asyncio
from collections.abc import Callable, Iterable

from waxwingford.scheduling import Engine, decode_spec
from waxwingford.shard._intake import (
    CANCEL_PREFIX,
    INTAKE_TOPIC,
    JOB_PREFIX,
)
from waxwingford.shard._log_port import SharedLog, StoredRecord
from waxwingford.shard._mirror import CatchUp, CaughtUp, Mirror
from waxwingford.shard._times import MS_IN_S, steady_ms

#: Longest wait of a read, in ms; a connection that went silent is noticed soon
#: after.
INTAKE_WAIT_MS = 1000
#: Pause after a read that failed, in seconds.
FAILED_PAUSE_S = 0.1
#: An owner that takes over and reads no page of the intake for so long, in ms,
#: gives the shard up: as long as the others wait at most for one that is silent,
#: for one that doesn't act is worth no more. One lost page fits in, which takes 3 s.
PAGE_WITHIN_MS = 4000


class IntakeReader:
    """Follows the intake."""

    def __init__(self, log: SharedLog) -> None:
        """Read from a store.

        :param log: the store.
        """
        self._log = log
        self._mirror = Mirror(log, INTAKE_TOPIC)

    async def restore(self, over: asyncio.Event) -> bool:
        """Read everything, however long it takes while pages come.

        A successor would have to begin at the first page.

        :param over: set when the owner has stopped.
        :returns: whether all was read.
        """
        until_ms = steady_ms() + PAGE_WITHIN_MS
        while not over.is_set() and steady_ms() < until_ms:
            pages = self._mirror.page_count
            if await self._caught_up(until_ms - steady_ms()):
                return True
            if self._mirror.page_count > pages:
                until_ms = steady_ms() + PAGE_WITHIN_MS
            else:
                await asyncio.sleep(FAILED_PAUSE_S)
        return False

    async def _caught_up(self, left_ms: int) -> bool:
        try:
            read = await asyncio.wait_for(
                self._mirror.catch_up(), left_ms / MS_IN_S
            )
        except TimeoutError:
            return False
        return isinstance(read, CaughtUp)

    def hand_over(self, engine: Engine) -> None:
        """Give an engine everything that was read.

        :param engine: new.
        """
        _apply(
            engine,
            (
                StoredRecord(0, key, raw)
                for key, raw in self._mirror.payload_by_key.items()
            ),
        )

    async def follow(self, engine: Engine, stir: Callable[[], None]) -> None:
        """Give an engine what comes, for ever.

        :param engine: takes jobs and cancellings.
        :param stir: called after each.
        """
        while True:
            read = await self._mirror.catch_up(INTAKE_WAIT_MS)
            if not isinstance(read, CaughtUp):
                await asyncio.sleep(FAILED_PAUSE_S)
            elif read.changed:
                _apply(engine, read.changed)
                stir()

    async def peek(self, engine: Engine) -> bool:
        """Read to the end now, beside the reader that waits.

        It takes nothing from that one: jobs that are known are skipped.

        :param engine: takes jobs and cancellings.
        :returns: whether the end was read.
        """
        mirror = Mirror(self._log, INTAKE_TOPIC)
        mirror.follow_from(self._mirror.next_offset)
        read: CatchUp = await mirror.reach_end()
        if isinstance(read, CaughtUp):
            _apply(engine, read.changed)
            return True
        return False


def _apply(engine: Engine, records: Iterable[StoredRecord]) -> None:
    now_ms = steady_ms()
    for record in records:
        if record.payload is None:
            continue
        if record.key.startswith(JOB_PREFIX):
            try:
                engine.submit(decode_spec(record.payload), now_ms)
            except ValueError as error:
                engine.book.notes.add_unreadable(record.key, error)
        elif record.key.startswith(CANCEL_PREFIX):
            engine.cancel(record.key.removeprefix(CANCEL_PREFIX))
