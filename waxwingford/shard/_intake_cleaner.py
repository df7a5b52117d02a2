"""Deletes rows of ended jobs from the intake, to bound its size."""

import asyncio

from waxwingford.scheduling import Engine
from waxwingford.shard._intake import (
    CANCEL_PREFIX,
    INTAKE_TOPIC,
    JOB_PREFIX,
)
from waxwingford.shard._log_port import Appended, KeyedRecord, SharedLog

#: Interval between two rounds, in seconds. A job is deleted in the second round
#: after its end at the earliest, as callers may submit it again for some seconds,
#: which would restore its row.
SWEEP_INTERVAL_S = 30
#: Largest number of jobs deleted in one append.
MAX_DELETED_JOBS = 500


class IntakeCleaner:
    """Deletes jobs, and their cancellations, once the journal has their end."""

    def __init__(self, log: SharedLog, engine: Engine) -> None:
        self._log = log
        self._engine = engine
        self._deleted: set[str] = set()

    async def run(self) -> None:
        """Delete rows of ended jobs until cancelled."""
        ended: set[str] = set()
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            removable = [
                job_id for job_id in ended if self._is_removable(job_id)
            ]
            await self._delete(removable[:MAX_DELETED_JOBS])
            ended = self._engine.state.final_phase_by_job.keys() - self._deleted

    def _is_removable(self, job_id: str) -> bool:
        # A successor needs the spec to stop runs that are left on servers.
        return job_id not in self._engine.state.job_by_id

    async def _delete(self, job_ids: list[str]) -> None:
        rows = tuple(
            KeyedRecord(prefix + job_id, None)
            for job_id in job_ids
            for prefix in (JOB_PREFIX, CANCEL_PREFIX)
        )
        if not rows:
            return
        if isinstance(await self._log.append(INTAKE_TOPIC, rows), Appended):
            self._deleted.update(job_ids)
