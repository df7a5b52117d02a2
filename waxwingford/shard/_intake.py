"""Intake of a shard: jobs and cancellings, appended by any daemon.

Appends here are idempotent, as each names its job, so one whose outcome is
unknown is repeated until it is acknowledged.
"""

import asyncio
import dataclasses
import itertools

from waxwingford.scheduling import decode_spec
from waxwingford.shard._log_port import (
    Appended,
    KeyedRecord,
    SharedLog,
    StoreUnknown,
)

INTAKE_TOPIC = 'intake'
JOB_PREFIX = 'job/'
CANCEL_PREFIX = 'cancel/'
#: Pause between two tries, in seconds.
RETRY_PAUSE_S = 0.05
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


class Intake:
    """Appends to the intake of a shard."""

    def __init__(self, log: SharedLog) -> None:
        """Use a store.

        :param log: the store.
        """
        self._log = log

    async def store(self, row: IntakeRow, until_s: float) -> IntakeOutcome:
        """Store a job or a cancelling.

        :param row: what to store.
        :param until_s: loop time at which the caller gives up.
        :returns: whether it is stored.
        """
        record = _record(row)
        if not self._log.answering:
            # To try would leave the outcome open, and a caller can only come
            # back at once if nothing was tried.
            return NotStored('the store does not answer')
        loop = asyncio.get_running_loop()
        unknown: list[str] = []
        for tries in itertools.count(1):
            outcome = await self._log.append(INTAKE_TOPIC, (record,))
            match outcome:
                case Appended():
                    break
                case StoreUnknown(reason):
                    unknown.append(reason)
            late = loop.time() + RETRY_PAUSE_S >= until_s
            given_up = late if unknown else late or tries >= MOST_REFUSALS
            if given_up:
                return _given_up(unknown, str(outcome))
            await asyncio.sleep(RETRY_PAUSE_S)
        return Stored()


def _record(row: IntakeRow) -> KeyedRecord:
    match row:
        case JobRow(raw):
            return KeyedRecord(JOB_PREFIX + decode_spec(raw).job_id, raw)
        case CancelRow(job_id):
            return KeyedRecord(CANCEL_PREFIX + job_id, _CANCELLED)


def _given_up(unknown: list[str], refused: str) -> IntakeOutcome:
    # One try of unknown outcome is enough to leave all open: it may still be
    # carried out, and "not stored" must be true.
    return MayBeStored(unknown[-1]) if unknown else NotStored(refused)
