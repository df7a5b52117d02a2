"""What an owner reports about its load, and which jobs are refused for it."""

from typing import NamedTuple, Self

from waxwingford.scheduling import JobSpec

#: Longest counts of jobs by queue in a heartbeat, in bytes.
MAX_PENDING_BYTES = 16_000
#: Bytes of a count and of the length of its queue's name, at most.
_COUNT_BYTES = 8


class RetryAfter(NamedTuple):
    """Times after which callers may submit jobs again, 0 for at once.

    :ivar urgent_s: time in seconds for jobs without best-effort tasks.
    :ivar best_effort_s: time in seconds for jobs with best-effort tasks.
    """

    urgent_s: int = 0
    best_effort_s: int = 0

    def of(self, spec: JobSpec) -> int:
        """Return the time for a job, in seconds."""
        best_effort = any(step.best_effort for step in spec.steps)
        return self.best_effort_s if best_effort else self.urgent_s


class LoadReport(NamedTuple):
    """Fields of a heartbeat about jobs, see ``OwnerRecord``."""

    pending_by_queue: dict[str, int] | None = None
    urgent_retry_s: int = 0
    best_effort_retry_s: int = 0

    def bounded(self) -> Self:
        """Leave the counts out if they are too long for a heartbeat.

        Other daemons ask the owner for them then.
        """
        counts = self.pending_by_queue or {}
        size = sum(len(queue.encode()) + _COUNT_BYTES for queue in counts)
        fits = size <= MAX_PENDING_BYTES
        return self if fits else self._replace(pending_by_queue=None)

    @property
    def retry_after(self) -> RetryAfter:
        """Classes of jobs that are refused."""
        return RetryAfter(self.urgent_retry_s, self.best_effort_retry_s)
