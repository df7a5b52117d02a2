"""Jobs that have ended, as long as their callers may ask for them."""

from collections.abc import Iterable

from waxwingford.scheduling._rows import ENDED_PREFIX
from waxwingford.scheduling._state import JobPhase
from waxwingford.scheduling._unread_jobs import UnreadJobs


class PastJobs:
    """Final phases of jobs, and cancellations that came before their jobs.

    :ivar phase_by_job: stored final phases of ended jobs.
    :ivar cancelled_early: cancelled jobs that aren't known yet.
    :ivar unread: jobs without any state, as their records can't be read.
    :ivar removal_due: whether a batch is due that removes ended jobs, though nothing
        else has to be stored.
    """

    def __init__(self) -> None:
        self.phase_by_job: dict[str, JobPhase] = {}
        self.cancelled_early: set[str] = set()
        self.unread = UnreadJobs()
        self.removal_due = False
        self._obsolete_keys: set[str] = set()

    @property
    def dirty(self) -> bool:
        """Whether rows are to be deleted from the store."""
        return self.removal_due or bool(self._obsolete_keys)

    def forget(self, job_ids: Iterable[str]) -> None:
        """Forget jobs, whose final phases are deleted with the next batch."""
        ids = set(job_ids)
        self.cancelled_early -= ids
        for job_id in self.phase_by_job.keys() & ids:
            del self.phase_by_job[job_id]
            self._obsolete_keys.add(ENDED_PREFIX + job_id)

    def delete_row(self, key: str) -> None:
        """Delete a row of a job that is over with the next batch."""
        self._obsolete_keys.add(key)

    def take_obsolete(self) -> list[str]:
        """Remove and return the keys of rows that are to be deleted."""
        self.removal_due = False
        keys = sorted(self._obsolete_keys)
        self._obsolete_keys.clear()
        return keys
