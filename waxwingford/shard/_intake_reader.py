"""Passes jobs and cancellations from the intake to the owner's engine."""

import asyncio
import math
from collections.abc import Callable, Iterable, Iterator, Mapping

import logbook

from waxwingford.scheduling import Engine, decode_spec
from waxwingford.shard._clocks import MS_PER_S, monotonic_ms
from waxwingford.shard._intake import (
    CANCEL_PREFIX,
    INTAKE_TOPIC,
    JOB_PREFIX,
)
from waxwingford.shard._log_port import SharedLog, StoredRecord
from waxwingford.shard._mirror import CatchUpOutcome, CaughtUp, Mirror
from waxwingford.shard._turns import run_in_turns

#: Longest time that the store may hold a read, in ms. It bounds the time to
#: detect a dead connection.
INTAKE_WAIT_MS = 1000
RETRY_DELAY_S = 0.1
#: Tasks as which a record of the intake counts while a new owner reads it.
TASKS_OF_RECORD = 32
#: A new owner that reads no page of the intake within this time, in ms, resigns.
#: It is as long as standbys wait for a silent owner, and allows for one lost page.
PAGE_TIMEOUT_MS = 4000

_log = logbook.Logger('shard')


class IntakeReader:
    """Reads the intake and follows what is appended to it."""

    def __init__(self, log: SharedLog) -> None:
        self._log = log
        self._mirror = Mirror(log, INTAKE_TOPIC)
        self._read_s = -math.inf

    @property
    def payload_by_key(self) -> Mapping[str, bytes]:
        """Copy of the intake, as far as it was followed."""
        return self._mirror.payload_by_key

    @property
    def copy_bytes(self) -> int:
        """Size of that copy, in bytes."""
        return self._mirror.payload_bytes

    def offset_of(self, key: str) -> int:
        """Find the newest row of a key in that copy.

        :returns: offset of the row, -1 if there is none.
        """
        return self._mirror.offset_of(key)

    def read_within(self, span_s: float) -> bool:
        """Tell whether the copy was complete not long ago.

        :param span_s: longest time since then, in seconds.
        """
        return asyncio.get_running_loop().time() - self._read_s <= span_s

    async def restore(self, stopped: asyncio.Event) -> bool:
        """Read the whole intake, for as long as pages keep arriving.

        There is no limit in total, as a successor would have to start over.

        :param stopped: set when the owner has stopped.
        :returns: whether the whole intake was read.
        """
        deadline_ms = monotonic_ms() + PAGE_TIMEOUT_MS
        while not stopped.is_set() and monotonic_ms() < deadline_ms:
            pages = self._mirror.pages_read
            if await self._catch_up(deadline_ms - monotonic_ms()):
                return True
            if self._mirror.pages_read > pages:
                deadline_ms = monotonic_ms() + PAGE_TIMEOUT_MS
            else:
                await asyncio.sleep(RETRY_DELAY_S)
        return False

    async def _catch_up(self, timeout_ms: int) -> bool:
        try:
            read = await asyncio.wait_for(
                self._mirror.catch_up(), timeout_ms / MS_PER_S
            )
        except TimeoutError:
            return False
        return isinstance(read, CaughtUp)

    async def apply_to(self, engine: Engine, now_ms: int, wall_ms: int) -> None:
        """Apply all rows that were read, and then those that the engine restored.

        :param engine: new engine, which nobody uses meanwhile.
        :param now_ms: monotonic time of the takeover, in ms.
        :param wall_ms: its Unix time, in ms.
        """
        await run_in_turns(self._apply_rows(engine))
        await run_in_turns(engine.inherit_in_parts(now_ms, wall_ms))

    def _apply_rows(self, engine: Engine) -> Iterator[int]:
        for key, payload in list(self._mirror.payload_by_key.items()):
            record = StoredRecord(0, key, payload)
            apply_records(engine, [record], monotonic_ms())
            yield TASKS_OF_RECORD

    async def follow(
        self, engine: Engine, on_change: Callable[[], None]
    ) -> None:
        """Apply new rows to an engine until cancelled.

        :param on_change: called after each read that returned rows.
        """
        while True:
            read = await self._mirror.catch_up(INTAKE_WAIT_MS)
            if not isinstance(read, CaughtUp):
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            if not self._mirror.behind:
                self._read_s = asyncio.get_running_loop().time()
            if read.changed:
                apply_records(engine, read.changed, monotonic_ms())
                on_change()

    async def read_to_end(self, engine: Engine) -> bool:
        """Read to the end of the intake without waiting for new rows.

        It is independent of ``follow``, which reads the same rows again; the
        engine skips jobs that it knows.

        :returns: whether the end was reached.
        """
        mirror = Mirror(self._log, INTAKE_TOPIC)
        mirror.follow_from(self._mirror.next_offset)
        read: CatchUpOutcome = await mirror.read_to_end()
        if isinstance(read, CaughtUp):
            apply_records(engine, read.changed, monotonic_ms())
            return True
        return False


def apply_records(
    engine: Engine, records: Iterable[StoredRecord], now_ms: int
) -> None:
    """Apply records of the intake to an engine.

    :param now_ms: current monotonic time, in ms.
    """
    for record in records:
        if record.payload is None:
            continue
        if record.key.startswith(JOB_PREFIX):
            _apply_job(engine, record.key, record.payload, now_ms)
        elif record.key.startswith(CANCEL_PREFIX):
            _apply_cancellation(engine, record.key)


def _apply_cancellation(engine: Engine, key: str) -> None:
    try:
        engine.cancel(key.removeprefix(CANCEL_PREFIX))
    except Exception as error:
        _log.error('record not applied', extra={'record': key}, exc_info=error)


def _apply_job(engine: Engine, key: str, raw: bytes, now_ms: int) -> None:
    """Submit a stored job, or set it aside.

    No record may end an owner: each of its successors would end at it as well.
    """
    job_id = key.removeprefix(JOB_PREFIX)
    try:
        engine.submit(decode_spec(raw), now_ms)
    except ValueError as error:
        engine.set_aside(job_id, key, error)
    except Exception as error:
        _log.error('record not applied', extra={'record': key}, exc_info=error)
        engine.set_aside(job_id, key, error)
