"""Drops what the intake no longer needs, so that the store doesn't fill up."""

import asyncio

from waxwingford.scheduling import Engine
from waxwingford.shard._intake import (
    CANCEL_PREFIX,
    INTAKE_TOPIC,
    JOB_PREFIX,
)
from waxwingford.shard._log_port import Appended, KeyedRecord, SharedLog

#: Time between two rounds, in seconds. A job that ended since the round before
#: last is dropped: callers may submit it again seconds after it was accepted,
#: and each time its row would come back.
SWEEP_EVERY_S = 30
#: Jobs dropped in one append.
MOST_DROPPED = 500


class Sweeper:
    """Drops jobs and cancellings of jobs whose end is stored in the journal."""

    def __init__(self, log: SharedLog, engine: Engine) -> None:
        """Prepare.

        :param log: the store.
        :param engine: knows which jobs have ended.
        """
        self._log = log
        self._engine = engine
        self._swept: set[str] = set()

    async def run(self) -> None:
        """Sweep for ever."""
        ended: set[str] = set()
        while True:
            await asyncio.sleep(SWEEP_EVERY_S)
            due = [job_id for job_id in ended if self._is_over(job_id)]
            await self._drop(due[:MOST_DROPPED])
            ended = self._engine.book.end_by_job.keys() - self._swept

    def _is_over(self, job_id: str) -> bool:
        # While runs of it are left on servers its spec is still needed by a
        # successor that stops them.
        return job_id not in self._engine.book.job_by_id

    async def _drop(self, job_ids: list[str]) -> None:
        rows = tuple(
            KeyedRecord(prefix + job_id, None)
            for job_id in job_ids
            for prefix in (JOB_PREFIX, CANCEL_PREFIX)
        )
        if not rows:
            return
        if isinstance(await self._log.append(INTAKE_TOPIC, rows), Appended):
            self._swept.update(job_ids)
