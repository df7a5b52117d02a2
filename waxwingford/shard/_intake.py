"""Intake of a shard: jobs and cancellings, appended by any daemon.

Appends here are idempotent, as each names its job, so one whose outcome is
unknown is repeated until it is acknowledged.
"""

import asyncio
import dataclasses
import itertools

from waxwingford.scheduling import JobSpec, encode_spec
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


class Intake:
    """Appends to the intake of a shard."""

    def __init__(self, log: SharedLog) -> None:
        """Use a store.

        :param log: the store.
        """
        self._log = log

    async def submit(self, spec: JobSpec, until_s: float) -> IntakeOutcome:
        """Store a job.

        :param spec: as submitted.
        :param until_s: loop time at which the caller gives up.
        :returns: whether it is stored.
        """
        row = KeyedRecord(JOB_PREFIX + spec.job_id, encode_spec(spec))
        return await self._append(row, until_s)

    async def cancel(self, job_id: str, until_s: float) -> IntakeOutcome:
        """Store the cancelling of a job.

        :param job_id: which.
        :param until_s: loop time at which the caller gives up.
        :returns: whether it is stored.
        """
        row = KeyedRecord(CANCEL_PREFIX + job_id, _CANCELLED)
        return await self._append(row, until_s)

    async def _append(self, row: KeyedRecord, until_s: float) -> IntakeOutcome:
        loop = asyncio.get_running_loop()
        unknown: list[str] = []
        for tries in itertools.count(1):
            outcome = await self._log.append(INTAKE_TOPIC, (row,))
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


def _given_up(unknown: list[str], refused: str) -> IntakeOutcome:
    # One try of unknown outcome is enough to leave all open: it may still be
    # carried out, and "not stored" must be true.
    return MayBeStored(unknown[-1]) if unknown else NotStored(refused)
