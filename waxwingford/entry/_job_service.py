"""What the routes of jobs need: a dispatcher of jobs, and a check of operators."""

from collections.abc import Callable, Mapping
from typing import Protocol

from waxwingford.batch import JobView, SubmissionOutcome
from waxwingford.bundles import Unverified, Verified
from waxwingford.records import JobSpec

#: Checks who signed: headers, method, path with query, body.
OperatorCheck = Callable[
    [Mapping[str, str], str, str, bytes], Verified | Unverified
]


class JobService(Protocol):
    """Takes jobs of members; ids of other members' jobs are unknown to it."""

    async def submit(self, job: JobSpec) -> SubmissionOutcome:
        """Submit a job; the same one again gives the same outcome.

        :param job: the job.
        :returns: tagged outcome.
        """
        ...

    async def cancel(self, job_id: str, member: str) -> SubmissionOutcome:
        """Give a job up.

        :param job_id: which job.
        :param member: who asks.
        :returns: tagged outcome.
        """
        ...

    def evict(self, task_id: str) -> bool:
        """Ask for the eviction of a task.

        :param task_id: which task.
        :returns: whether it runs on a server held here, and so was asked.
        """
        ...

    def jobs(self, member: str) -> list[JobView]:
        """List a member's jobs.

        :param member: whose.
        :returns: views without single tasks.
        """
        ...

    def job(self, job_id: str, member: str) -> JobView | None:
        """Look a job up.

        :param job_id: which job.
        :param member: who asks.
        :returns: its view; nothing if this member has no such job.
        """
        ...
