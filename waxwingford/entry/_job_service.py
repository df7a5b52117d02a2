"""Interfaces that the job routes depend on."""

from collections.abc import Callable, Mapping
from typing import Protocol

from waxwingford.batch import JobView, SubmissionOutcome
from waxwingford.bundles import Unverified, Verified
from waxwingford.records import JobSpec

#: Verifies the signature over headers, method, path with query, and body.
SignatureVerifier = Callable[
    [Mapping[str, str], str, str, bytes], Verified | Unverified
]


class JobService(Protocol):
    """Manages jobs; a member has access to its own jobs only."""

    async def submit(self, job: JobSpec) -> SubmissionOutcome:
        """Submit a job; repeated submissions have the same outcome."""
        ...

    async def cancel(self, job_id: str, member: str) -> SubmissionOutcome:
        """Cancel a job.

        :param member: member that signed the request.
        """
        ...

    def evict(self, task_id: str) -> bool:
        """Request the eviction of a task.

        :returns: whether the eviction was requested; False if the task does
            not run on a backend server whose lease this daemon holds.
        """
        ...

    def jobs(self, member: str) -> list[JobView]:
        """List the jobs of a member.

        :returns: views of the jobs, without individual tasks.
        """
        ...

    def job(self, job_id: str, member: str) -> JobView | None:
        """Look up a job.

        :param member: member that signed the request.
        :returns: view of the job; None if the member has no such job.
        """
        ...
