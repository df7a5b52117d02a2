"""Answers from the store itself while no owner can be asked."""

import asyncio

from waxwingford.scheduling import (
    ENDED_PREFIX,
    JobPhase,
    decode_end,
    decode_spec,
)
from waxwingford.shard._intake import (
    CANCEL_PREFIX,
    INTAKE_TOPIC,
    JOB_PREFIX,
)
from waxwingford.shard._journal import JOURNAL_TOPIC
from waxwingford.shard._log_port import SharedLog
from waxwingford.shard._mirror import CaughtUp, Mirror
from waxwingford.shard._peers import (
    JobAnswer,
    JobKnown,
    JobNotKnown,
    NotAnswered,
)


class StoreView:
    """Copies of the intake and the journal, read when they are asked for."""

    def __init__(self, log: SharedLog) -> None:
        """Read nothing yet.

        :param log: the store.
        """
        self._intake = Mirror(log, INTAKE_TOPIC)
        self._journal = Mirror(log, JOURNAL_TOPIC)
        self._lock = asyncio.Lock()

    async def phase(self, job_id: str) -> JobAnswer:
        """Say how far a job is.

        :param job_id: which.
        :returns: the answer.
        """
        if not await self._catch_up():
            return NotAnswered('neither the owner nor the store can be asked')
        rows = self._journal.payload_by_key
        ended = rows.get(ENDED_PREFIX + job_id)
        if ended is not None:
            return _ended_as(ended)
        stored = self._intake.payload_by_key
        if JOB_PREFIX + job_id not in stored:
            return JobNotKnown()
        if CANCEL_PREFIX + job_id in stored:
            return JobKnown(JobPhase.cancelled)
        begun = any(key.startswith(f'{job_id}.') for key in rows)
        phase = JobPhase.running if begun else JobPhase.queued
        return JobKnown(phase)

    async def pending(self, queue: str) -> int | None:
        """Count the jobs of a queue that have not begun.

        :param queue: which.
        :returns: the count, ``None`` if the store can't be asked.
        """
        if not await self._catch_up():
            return None
        stored = self._intake.payload_by_key
        begun = (
            key.partition('.')[0].removeprefix(ENDED_PREFIX)
            for key in self._journal.payload_by_key
        )
        cancelled = (
            key.removeprefix(CANCEL_PREFIX)
            for key in stored
            if key.startswith(CANCEL_PREFIX)
        )
        settled = {*begun, *cancelled}
        waiting = (
            raw
            for key, raw in stored.items()
            if key.startswith(JOB_PREFIX)
            and key.removeprefix(JOB_PREFIX) not in settled
        )
        return sum(_queue_of(raw) == queue for raw in waiting)

    async def _catch_up(self) -> bool:
        async with self._lock:
            # The intake last: a job that the journal names is in it then.
            for mirror in (self._journal, self._intake):
                if not isinstance(await mirror.reach_end(), CaughtUp):
                    return False
        return True


def _ended_as(raw: bytes) -> JobAnswer:
    try:
        return JobKnown(decode_end(raw))
    except ValueError as error:
        return NotAnswered(f'its end can not be read: {error}')


def _queue_of(raw: bytes) -> str:
    """Read the queue of a job.

    :param raw: its record in the intake.
    :returns: the name, empty if the record can't be read; its owner tells of it.
    """
    try:
        return decode_spec(raw).queue
    except ValueError:
        return ''
