"""What an owner reports about its load, and which jobs are refused for it."""

from typing import NamedTuple

from waxwingford.scheduling import JobSpec


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

    @property
    def retry_after(self) -> RetryAfter:
        """Classes of jobs that are refused."""
        return RetryAfter(self.urgent_retry_s, self.best_effort_retry_s)
