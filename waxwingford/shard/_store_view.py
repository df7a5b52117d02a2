"""Answers queries from the store while the owner can't be reached."""

import asyncio

from waxwingford.scheduling import (
    ENDED_PREFIX,
    JobPhase,
    decode_end,
    decode_spec,
    tells_begun,
)
from waxwingford.shard._intake import (
    CANCEL_PREFIX,
    INTAKE_TOPIC,
    JOB_PREFIX,
)
from waxwingford.shard._job_answers import (
    JobAnswer,
    JobKnown,
    JobNotKnown,
    NotAnswered,
)
from waxwingford.shard._journal import JOURNAL_TOPIC
from waxwingford.shard._log_port import SharedLog
from waxwingford.shard._mirror import CaughtUp, Mirror

#: Errors of decoders; the last one is raised for rows that are nested deeply.
_DECODING_ERRORS = (ValueError, RecursionError)


class StoreView:
    """Local copies of the intake and the journal, updated before each query."""

    def __init__(self, log: SharedLog) -> None:
        self._intake = Mirror(log, INTAKE_TOPIC)
        self._journal = Mirror(log, JOURNAL_TOPIC)
        self._lock = asyncio.Lock()
        self._begun_job_ids: set[str] = set()

    async def phase(self, job_id: str) -> JobAnswer:
        """Look up the phase of a job.

        :returns: phase by the stored records, or why it can't be determined.
        """
        if not await self._catch_up():
            return NotAnswered('neither the owner nor the store answers')
        rows = self._journal.payload_by_key
        ended = rows.get(ENDED_PREFIX + job_id)
        if ended is not None:
            return _final_phase(ended)
        stored = self._intake.payload_by_key
        if JOB_PREFIX + job_id not in stored:
            return JobNotKnown()
        if CANCEL_PREFIX + job_id in stored:
            return JobKnown(JobPhase.cancelled)
        begun = any(
            _is_begun(key, row)
            for key, row in rows.items()
            if key.startswith(f'{job_id}.')
        )
        return JobKnown(JobPhase.running if begun else JobPhase.queued)

    def has_end(self, job_id: str) -> bool:
        """Whether the end of a job was stored as of the last query."""
        return ENDED_PREFIX + job_id in self._journal.payload_by_key

    async def is_stored(self, job_id: str, until_s: float) -> bool | None:
        """Look up whether the intake has a job, without reading the journal.

        :param until_s: loop time from which on no further read is begun. The timeout of
            the log bounds a read that was begun.
        :returns: whether it has, ``None`` if it can't be read in time.
        """
        loop = asyncio.get_running_loop()
        async with self._lock:
            while loop.time() < until_s:
                if not isinstance(await self._intake.catch_up(), CaughtUp):
                    return None
                if not self._intake.behind:
                    return JOB_PREFIX + job_id in self._intake.payload_by_key
        return None

    async def pending(self, queue: str) -> int | None:
        """Count the jobs of a queue that have not begun.

        :returns: number of jobs, ``None`` if the store can't be read.
        """
        if not await self._catch_up():
            return None
        stored = self._intake.payload_by_key
        self._find_begun()
        cancelled = (
            key.removeprefix(CANCEL_PREFIX)
            for key in stored
            if key.startswith(CANCEL_PREFIX)
        )
        not_waiting = {*self._begun_job_ids, *cancelled}
        waiting = (
            raw
            for key, raw in stored.items()
            if key.startswith(JOB_PREFIX)
            and key.removeprefix(JOB_PREFIX) not in not_waiting
        )
        return sum(_queue_of(raw) == queue for raw in waiting)

    def _find_begun(self) -> None:
        """Update the jobs that have begun or ended, by the journal."""
        rows = self._journal.payload_by_key
        job_ids = {_job_id(key) for key in rows}
        self._begun_job_ids &= job_ids
        # Most rows are of jobs that are known to have begun: decoding them again
        # with each question would delay what else this daemon serves.
        begun = {
            _job_id(key)
            for key, raw in rows.items()
            if _job_id(key) not in self._begun_job_ids and _is_begun(key, raw)
        }
        self._begun_job_ids |= begun

    async def _catch_up(self) -> bool:
        async with self._lock:
            # The intake last, so that it has every job that the journal names.
            for mirror in (self._journal, self._intake):
                if not isinstance(await mirror.read_to_end(), CaughtUp):
                    return False
        return True


def _job_id(key: str) -> str:
    """Return the job of a row of the journal."""
    return key.partition('.')[0].removeprefix(ENDED_PREFIX)


def _is_begun(key: str, raw: bytes) -> bool:
    if key.startswith(ENDED_PREFIX):
        return True
    try:
        return tells_begun(raw)
    except _DECODING_ERRORS:
        # As its owner does, which starts no more tasks of such a job.
        return True


def _final_phase(raw: bytes) -> JobAnswer:
    try:
        return JobKnown(decode_end(raw))
    except _DECODING_ERRORS as error:
        return NotAnswered(f'record of the ended job is unreadable: {error}')


def _queue_of(raw: bytes) -> str:
    """Decode the queue of a job.

    :param raw: record of the job in the intake.
    :returns: name of the queue, empty if the record is unreadable, which the
        owner logs.
    """
    try:
        return decode_spec(raw).queue
    except _DECODING_ERRORS:
        return ''
