"""Deletes what is stored of jobs that have ended, to bound its size."""

import asyncio
from collections.abc import Iterable
from typing import NamedTuple

from waxwingford.scheduling import Engine
from waxwingford.shard._intake import (
    CANCEL_PREFIX,
    INTAKE_TOPIC,
    JOB_PREFIX,
)
from waxwingford.shard._intake_reader import IntakeReader
from waxwingford.shard._log_port import Appended, KeyedRecord, SharedLog

#: Interval between two rounds, in seconds.
SWEEP_INTERVAL_S = 30
#: Time in seconds for which the row of an ended job stays in the intake: callers
#: may submit the job again for some seconds, which would restore its row.
INTAKE_RETENTION_S = 30
#: Time in seconds for which the phase of an ended job is kept. Callers may ask for
#: it for 120 s, and a row that is stored late comes within seconds.
END_RETENTION_S = 600
#: Longest time in seconds since the intake was read to its end for its copy to count.
MAX_COPY_AGE_S = 5
#: Largest number of records deleted in one append.
MAX_DELETED = 1000


class _Seen(NamedTuple):
    # Loop time in seconds since which a job is seen as ended or unknown, and offset of
    # its latest cancellation.
    since_s: float
    cancel_offset: int


class Cleaner:
    """Deletes rows of ended jobs from the intake, and later their ends.

    The end of a job goes last, as a successor that reads its row in the intake
    without it would run the job again. Ages count from when this owner learned of
    the end, so that no step of a clock shortens them, and anew from each cancellation.
    """

    def __init__(
        self, log: SharedLog, engine: Engine, intake: IntakeReader
    ) -> None:
        self._log = log
        self._engine = engine
        self._intake = intake
        self._seen_by_job: dict[str, _Seen] = {}

    async def run(self) -> None:
        """Delete rows until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now_s = asyncio.get_running_loop().time()
            stored = self._stored_jobs()
            self._request_removal()
            self._note_seen(stored, now_s)
            await self._clean_intake(stored, now_s)
            if self._intake.read_within(MAX_COPY_AGE_S):
                self._engine.state.past.forget(self._forgettable(now_s))

    def _request_removal(self) -> None:
        """Have ended jobs removed, also while no other batch is stored."""
        state = self._engine.state
        if any(job.ended is not None for job in state.job_by_id.values()):
            state.past.removal_due = True

    def _stored_jobs(self) -> set[str]:
        """List the jobs with a row or a cancellation in the intake."""
        return {
            key.removeprefix(prefix)
            for key in self._intake.payload_by_key
            for prefix in (JOB_PREFIX, CANCEL_PREFIX)
            if key.startswith(prefix)
        }

    def _note_seen(self, stored: set[str], now_s: float) -> None:
        state = self._engine.state
        past = state.past
        jobs = {*past.phase_by_job, *past.cancelled_early, *stored}
        # A successor needs the spec of a job to stop runs that are left on servers.
        over = (job_id for job_id in jobs if job_id not in state.job_by_id)
        self._seen_by_job = {
            job_id: self._see(job_id, now_s) for job_id in over
        }

    def _see(self, job_id: str, now_s: float) -> _Seen:
        cancel_offset = self._intake.offset_of(CANCEL_PREFIX + job_id)
        seen = self._seen_by_job.get(job_id)
        if seen is None or cancel_offset > seen.cancel_offset:
            return _Seen(now_s, cancel_offset)
        return seen

    async def _clean_intake(self, stored: set[str], now_s: float) -> None:
        old = self._seen_before(now_s - INTAKE_RETENTION_S)
        ended = old & self._engine.state.past.phase_by_job.keys()
        # A cancellation may be stored before its job.
        cancelled = ended | self._seen_before(now_s - END_RETENTION_S)
        keys = [
            *(JOB_PREFIX + job_id for job_id in sorted(stored & ended)),
            *(CANCEL_PREFIX + job_id for job_id in sorted(stored & cancelled)),
        ]
        keys = [key for key in keys if key in self._intake.payload_by_key]
        while keys and await self._delete(keys[:MAX_DELETED]):
            del keys[:MAX_DELETED]

    async def _delete(self, keys: Iterable[str]) -> bool:
        rows = tuple(KeyedRecord(key, None) for key in keys)
        return isinstance(await self._log.append(INTAKE_TOPIC, rows), Appended)

    def _forgettable(self, now_s: float) -> set[str]:
        """List jobs that are old enough and have no row in the intake."""
        old = self._seen_before(now_s - END_RETENTION_S)
        return old - self._stored_jobs()

    def _seen_before(self, time_s: float) -> set[str]:
        return {
            job_id
            for job_id, seen in self._seen_by_job.items()
            if seen.since_s <= time_s
        }
