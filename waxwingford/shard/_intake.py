"""Intake of a shard: jobs and cancellations, which any daemon may append.

Appends are idempotent, as each row is keyed by its job, and are retried when
their outcome is unknown.
"""

import asyncio
import itertools

import msgspec

from waxwingford.scheduling import SpecFault, decode_spec
from waxwingford.shard._log_port import (
    Appended,
    AppendOutcome,
    AppendRejected,
    KeyedRecord,
    SharedLog,
    StoreOutcomeUnknown,
)

INTAKE_TOPIC = 'intake'
JOB_PREFIX = 'job/'
CANCEL_PREFIX = 'cancel/'
RETRY_DELAY_S = 0.05
MAX_ROWS_PER_APPEND = 64
#: Refusals by the store after which the caller is told: it may retry at once
#: through another daemon, which the store may accept.
MAX_REFUSALS = 3
#: Payload of a cancellation, whose key says which job is cancelled.
_CANCEL_PAYLOAD = b'1'


class Stored(msgspec.Struct, frozen=True):
    """The row is stored durably."""


class NotStored(msgspec.Struct, frozen=True):
    """The row is not stored and will not be.

    :ivar retry_after_s: time in seconds after which the caller should try again.
    """

    reason: str
    retry_after_s: int = 1


class RefusedByOwner(NotStored, frozen=True):
    """The owner has no memory for the row, which isn't stored without it then."""


class JobInvalid(msgspec.Struct, frozen=True):
    """The job can't be scheduled, so it is not stored."""

    fault: SpecFault


class RowRejected(msgspec.Struct, frozen=True):
    """The row can't be stored, now or later.

    :ivar reason: size or error of the store, with what is expected.
    """

    reason: str


class MayBeStored(msgspec.Struct, frozen=True):
    """The row may or may not be stored."""

    reason: str


IntakeOutcome = Stored | NotStored | RowRejected | MayBeStored


class JobRow(msgspec.Struct, frozen=True):
    """A job to append to the intake.

    :ivar raw: job spec, encoded by ``encode_spec``.
    """

    raw: bytes


class CancelRow(msgspec.Struct, frozen=True):
    """A cancellation to append to the intake."""

    job_id: str


IntakeRow = JobRow | CancelRow


class _PendingRow(msgspec.Struct, eq=False):
    record: KeyedRecord
    deadline_s: float
    future: asyncio.Future[IntakeOutcome]
    attempts: int = 0
    unknown_reason: str = ''


class Intake:
    """Appends rows to the intake of a shard, one append at a time.

    Rows that arrive during an append are batched into the next one, as a slow
    store serializes appends and refuses them when its queue grows.
    """

    def __init__(self, log: SharedLog) -> None:
        self._log = log
        self._waiting: list[_PendingRow] = []
        self._flush_task: asyncio.Task[None] | None = None

    async def store(self, row: IntakeRow, deadline_s: float) -> IntakeOutcome:
        """Store a job or a cancellation.

        :param deadline_s: loop time at which the caller's request times out.
        """
        if not self._log.responsive:
            # An attempt could end with an unknown outcome. Without one the
            # caller may safely retry at once.
            return NotStored('the store does not answer')
        try:
            record = _record(row)
        except ValueError as error:
            # From a daemon of another version, which has checked it differently.
            return NotStored(f'job not read: {error}')
        rejection = self.check_size(record)
        if rejection is not None:
            return rejection
        loop = asyncio.get_running_loop()
        entry = _PendingRow(record, deadline_s, loop.create_future())
        self._waiting.append(entry)
        if self._flush_task is None or self._flush_task.done():
            self._flush_task = asyncio.create_task(self._flush())
        left_s = deadline_s - loop.time()
        try:
            return await asyncio.wait_for(
                asyncio.shield(entry.future), max(0, left_s)
            )
        except TimeoutError:
            return self._timed_out(entry)

    def check_size(self, record: KeyedRecord) -> RowRejected | None:
        """Check whether the store accepts a record of this size.

        :returns: why it doesn't, ``None`` if it does.
        """
        limits = self._log.limits
        max_bytes = min(limits.record_bytes, limits.append_bytes)
        if record.size <= max_bytes:
            return None
        return RowRejected(
            f'{record.size} bytes to store, expected at most {max_bytes}'
        )

    def _timed_out(self, entry: _PendingRow) -> IntakeOutcome:
        if entry in self._waiting:
            self._waiting.remove(entry)
            return _outcome_without_retry(entry, 'timed out before the append')
        return MayBeStored('timed out during the append')

    async def _flush(self) -> None:
        while self._waiting:
            await self._append(self._take_batch())

    def _take_batch(self) -> list[_PendingRow]:
        """Remove and return waiting rows that fit into one append."""
        sizes = (entry.record.size for entry in self._waiting)
        totals = itertools.accumulate(sizes)
        max_bytes = self._log.limits.append_bytes
        fitting = itertools.takewhile(lambda total: total <= max_bytes, totals)
        count = min(MAX_ROWS_PER_APPEND, sum(1 for _ in fitting))
        batch = self._waiting[: max(1, count)]
        del self._waiting[: len(batch)]
        return batch

    async def _append(self, batch: list[_PendingRow]) -> None:
        rows = tuple(entry.record for entry in batch)
        outcome = await self._log.append(INTAKE_TOPIC, rows)
        match outcome:
            case Appended():
                for entry in batch:
                    _resolve(entry, Stored())
            case AppendRejected(reason, final) if len(batch) == 1:
                # Only the store says so, which may say it of any row.
                doubtful = _outcome_without_retry(batch[0], reason)
                _resolve(batch[0], RowRejected(reason) if final else doubtful)
            case AppendRejected():
                # One of them may be at fault; the others must not wait for it.
                middle = len(batch) // 2
                await self._append(batch[:middle])
                await self._append(batch[middle:])
            case _:
                to_retry = self._entries_to_retry(batch, outcome)
                self._waiting = to_retry + self._waiting
                await asyncio.sleep(RETRY_DELAY_S)

    def _entries_to_retry(
        self, batch: list[_PendingRow], outcome: AppendOutcome
    ) -> list[_PendingRow]:
        """Record a failed attempt and resolve rows that are not retried."""
        to_retry: list[_PendingRow] = []
        retry_at_s = asyncio.get_running_loop().time() + RETRY_DELAY_S
        for entry in batch:
            entry.attempts += 1
            if isinstance(outcome, StoreOutcomeUnknown):
                entry.unknown_reason = outcome.reason
            refused = (
                entry.attempts >= MAX_REFUSALS and not entry.unknown_reason
            )
            if refused or retry_at_s >= entry.deadline_s:
                _resolve(entry, _outcome_without_retry(entry, str(outcome)))
            else:
                to_retry.append(entry)
        return to_retry


def _resolve(entry: _PendingRow, outcome: IntakeOutcome) -> None:
    if not entry.future.done():
        entry.future.set_result(outcome)


def job_record(job_id: str, raw: bytes) -> KeyedRecord:
    """Make the record of a job.

    :param raw: job spec, encoded by ``encode_spec``.
    """
    return KeyedRecord(JOB_PREFIX + job_id, raw)


def _record(row: IntakeRow) -> KeyedRecord:
    match row:
        case JobRow(raw):
            return job_record(decode_spec(raw).job_id, raw)
        case CancelRow(job_id):
            return KeyedRecord(CANCEL_PREFIX + job_id, _CANCEL_PAYLOAD)


def _outcome_without_retry(entry: _PendingRow, refusal: str) -> IntakeOutcome:
    # After one attempt of unknown outcome the row may still be stored, even if
    # all later attempts are refused.
    return (
        MayBeStored(entry.unknown_reason)
        if entry.unknown_reason
        else NotStored(refusal)
    )
