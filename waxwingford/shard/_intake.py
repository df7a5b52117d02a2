"""Intake of a shard: jobs and cancellings, appended by any daemon.

Appends here are idempotent, as each names its job, so one whose outcome is
unknown is repeated until it is acknowledged.
"""

import asyncio
import dataclasses

from waxwingford.scheduling import decode_spec
from waxwingford.shard._log_port import (
    Appended,
    AppendOutcome,
    KeyedRecord,
    SharedLog,
    StoreUnknown,
)

INTAKE_TOPIC = 'intake'
JOB_PREFIX = 'job/'
CANCEL_PREFIX = 'cancel/'
#: Pause between two tries, in seconds.
RETRY_PAUSE_S = 0.05
#: Jobs and cancellings in one append, some hundred KB at most.
MOST_ROWS = 64
#: A refusal by the store is passed on after this many tries: a caller that is
#: told at once goes to another daemon, which the store may serve.
MOST_REFUSALS = 3
#: Content of a cancelling: its key says all.
_CANCELLED = b'1'


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """It is stored for good."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotStored:
    """It is not stored and never will be.

    :ivar reason: why.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class MayBeStored:
    """Nobody can say yet whether it is stored.

    :ivar reason: why.
    """

    reason: str


IntakeOutcome = Stored | NotStored | MayBeStored


@dataclasses.dataclass(frozen=True, slots=True)
class JobRow:
    """A job for the intake.

    :ivar raw: as ``encode_spec`` wrote it.
    """

    raw: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class CancelRow:
    """A cancelling for the intake.

    :ivar job_id: which job.
    """

    job_id: str


IntakeRow = JobRow | CancelRow


@dataclasses.dataclass(slots=True, eq=False)
class _Entry:
    record: KeyedRecord
    until_s: float
    stored: asyncio.Future[IntakeOutcome]
    tries: int = 0
    unknown: str = ''


class Intake:
    """Appends to the intake of a shard, one append at a time.

    What comes while an append is under way goes into the next: a slow store
    takes hundreds of ms for each append, one after the other, and refuses when
    more than 2 s of them wait.
    """

    def __init__(self, log: SharedLog) -> None:
        """Use a store.

        :param log: the store.
        """
        self._log = log
        self._waiting: list[_Entry] = []
        self._flusher: asyncio.Task[None] | None = None

    async def store(self, row: IntakeRow, until_s: float) -> IntakeOutcome:
        """Store a job or a cancelling.

        :param row: what to store.
        :param until_s: loop time at which the caller gives up.
        :returns: whether it is stored.
        """
        if not self._log.answering:
            # To try would leave the outcome open, and a caller can only come
            # back at once if nothing was tried.
            return NotStored('the store does not answer')
        loop = asyncio.get_running_loop()
        entry = _Entry(_record(row), until_s, loop.create_future())
        self._waiting.append(entry)
        if self._flusher is None or self._flusher.done():
            self._flusher = asyncio.create_task(self._flush())
        left_s = until_s - loop.time()
        try:
            return await asyncio.wait_for(
                asyncio.shield(entry.stored), max(0, left_s)
            )
        except TimeoutError:
            return self._late(entry)

    def _late(self, entry: _Entry) -> IntakeOutcome:
        if entry in self._waiting:
            self._waiting.remove(entry)
            return _given_up(entry, 'not tried in time')
        return MayBeStored('its append is under way')

    async def _flush(self) -> None:
        while self._waiting:
            batch = self._waiting[:MOST_ROWS]
            del self._waiting[:MOST_ROWS]
            rows = tuple(entry.record for entry in batch)
            outcome = await self._log.append(INTAKE_TOPIC, rows)
            if isinstance(outcome, Appended):
                for entry in batch:
                    _resolve(entry, Stored())
                continue
            self._waiting = self._open_entries(batch, outcome) + self._waiting
            await asyncio.sleep(RETRY_PAUSE_S)

    def _open_entries(
        self, batch: list[_Entry], outcome: AppendOutcome
    ) -> list[_Entry]:
        """Note a failed try; settle what is not tried again.

        :param batch: what was tried.
        :param outcome: of the append.
        :returns: what is tried again.
        """
        again: list[_Entry] = []
        retry_s = asyncio.get_running_loop().time() + RETRY_PAUSE_S
        for entry in batch:
            entry.tries += 1
            if isinstance(outcome, StoreUnknown):
                entry.unknown = outcome.reason
            refused = entry.tries >= MOST_REFUSALS and not entry.unknown
            if refused or retry_s >= entry.until_s:
                _resolve(entry, _given_up(entry, str(outcome)))
            else:
                again.append(entry)
        return again


def _resolve(entry: _Entry, outcome: IntakeOutcome) -> None:
    if not entry.stored.done():
        entry.stored.set_result(outcome)


def _record(row: IntakeRow) -> KeyedRecord:
    match row:
        case JobRow(raw):
            return KeyedRecord(JOB_PREFIX + decode_spec(raw).job_id, raw)
        case CancelRow(job_id):
            return KeyedRecord(CANCEL_PREFIX + job_id, _CANCELLED)


def _given_up(entry: _Entry, refused: str) -> IntakeOutcome:
    # One try of unknown outcome is enough to leave all open: it may still be
    # carried out, and "not stored" must be true.
    return MayBeStored(entry.unknown) if entry.unknown else NotStored(refused)
