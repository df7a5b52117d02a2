"""Remembers jobs that attempts of this daemon may still store."""

import asyncio
import collections
from collections.abc import Awaitable

from waxwingford.shard._intake import (
    IntakeOutcome,
    MayBeStored,
    NotStored,
    RefusedByOwner,
    RowRejected,
)

#: Time for which a job is remembered after an attempt, in seconds. The store may apply
#: an append seconds after its answer was due.
REMEMBERED_S = 15
#: Jobs that are remembered at most, those of the newest attempts.
MAX_REMEMBERED = 20_000


class OpenAttempts:
    """Jobs with attempts that are in flight, or that may have stored them."""

    def __init__(self) -> None:
        self._in_flight: collections.Counter[str] = collections.Counter()
        #: In the order of the times, so that the first ones are forgotten first.
        self._until_s_by_job: dict[str, float] = {}

    async def track(
        self, job_id: str, attempt: Awaitable[IntakeOutcome]
    ) -> IntakeOutcome:
        """Make an attempt to store a job, and remember it.

        Stored jobs are remembered too, as a question to the store may have been
        answered before their append.

        :returns: outcome of the attempt. If the job isn't stored by it, an earlier one
            may still do so.
        """
        earlier = self.may_be_stored(job_id)
        self._in_flight[job_id] += 1
        outcome: IntakeOutcome | None = None
        try:
            outcome = await attempt
        finally:
            self._finish(job_id, outcome)
        refused = isinstance(outcome, RefusedByOwner)
        if earlier and isinstance(outcome, NotStored) and not refused:
            return MayBeStored('an earlier attempt may have stored the job')
        return outcome

    def may_be_stored(self, job_id: str) -> bool:
        """Whether an attempt of this daemon may have stored a job, or may do so."""
        now_s = asyncio.get_running_loop().time()
        recent = self._until_s_by_job.get(job_id, now_s) > now_s
        return recent or job_id in self._in_flight

    def _finish(self, job_id: str, outcome: IntakeOutcome | None) -> None:
        self._in_flight[job_id] -= 1
        if not self._in_flight[job_id]:
            del self._in_flight[job_id]
        # Without an outcome the caller has given up, but not the store.
        if not isinstance(outcome, NotStored | RowRejected):
            self._remember(job_id)

    def _remember(self, job_id: str) -> None:
        now_s = asyncio.get_running_loop().time()
        jobs = self._until_s_by_job
        jobs.pop(job_id, None)
        jobs[job_id] = now_s + REMEMBERED_S
        while len(jobs) > MAX_REMEMBERED or jobs[next(iter(jobs))] <= now_s:
            del jobs[next(iter(jobs))]
