"""Simulated submitters of short jobs that retry refused submissions."""

import itertools
import random

from waxwingford.batch import JobOutcomeUnknown, JobRefused, SubmissionOutcome
from waxwingford.ports import Resources
from waxwingford.records import JobSpec
from waxwingford_bench.storms.surroundings import StormSurroundings

#: New jobs are not created while this many submitters wait for an answer.
MAX_SUBMITTERS = 100
_TASKS_PER_JOB = 4
_RUN_MS = (45_000, 75_000)
_MEAN_RUN_MS = 60_000
_LOST_AFTER_MS = 30_000
#: Half of the servers' capacity is in use with four tasks per server, so that
#: a backlog drains.
_TASK_RESOURCES = Resources(3000, 6000)
_REPLY_TIMEOUT_MS = 10_000
_RECONNECT_MS = 1000


class Submitters:
    """Submits jobs at a rate that keeps four tasks running per server.

    :ivar pending_job_by_submission: jobs without a reply, by submission id.
    :ivar is_open: whether new jobs are created.
    """

    def __init__(self, domain: StormSurroundings, servers: int) -> None:
        """Schedule the creation of jobs.

        :param domain: failure domain to submit to.
        :param servers: number of backend servers.
        """
        self.pending_job_by_submission: dict[int, JobSpec] = {}
        self.is_open = True
        self.accepted = 0
        self._domain = domain
        self._retrying = 0
        self._rng = random.Random(domain.random.random())
        self._number = itertools.count()
        every_ms = _MEAN_RUN_MS // servers
        domain.time.every(every_ms, 5000, self._add_job)

    @property
    def active(self) -> int:
        """Number of submitters without a final answer.

        :returns: submitters that wait for a reply or for their next retry.
        """
        return len(self.pending_job_by_submission) + self._retrying

    def handle_reply(
        self, submission_id: int, outcome: SubmissionOutcome
    ) -> None:
        """Handle a reply; retry a refused job after the delay in the reply.

        :param submission_id: id of the submission.
        :param outcome: the reply.
        """
        job = self.pending_job_by_submission.pop(submission_id, None)
        if job is None:
            return
        match outcome:
            case (
                JobRefused(retry_after_ms=retry_after_ms)
                | JobOutcomeUnknown(retry_after_ms=retry_after_ms)
            ):
                self._retry_later(job, retry_after_ms)
            case _:
                self.accepted += 1

    def _add_job(self) -> None:
        if not self.is_open or self.active >= MAX_SUBMITTERS:
            return
        run_ms = self._rng.randrange(*_RUN_MS)
        job = JobSpec(
            f'qadri.j{next(self._number)}',
            'qadri',
            'nightly',
            'archive_rebuild',
            _TASKS_PER_JOB,
            _TASK_RESOURCES,
            run_ms,
            lost_after_ms=_LOST_AFTER_MS,
            payload=f'{{"run_ms":{run_ms}}}',
        )
        self._domain.time.at(self._rng.randrange(1000), lambda: self._send(job))

    def _retry_later(self, job: JobSpec, after_ms: int) -> None:
        self._retrying += 1
        # Processing time of the client.
        delay_ms = after_ms + self._rng.randrange(1, 20)
        self._domain.time.at(delay_ms, lambda: self._retry(job))

    def _retry(self, job: JobSpec) -> None:
        self._retrying -= 1
        self._domain.meter.count_retry('submission', self._domain.now_ms)
        self._send(job)

    def _send(self, job: JobSpec) -> None:
        daemons = self._domain.daemon_by_id
        daemon_id = self._rng.choice(list(daemons))
        if daemons[daemon_id].controller is None:
            self._retry_later(job, _RECONNECT_MS)
            return
        submission_id = self._domain.register_submission(job)
        self.pending_job_by_submission[submission_id] = job
        self._domain.send_submission(daemon_id, submission_id, job)
        self._domain.time.at(
            _REPLY_TIMEOUT_MS, lambda: self._time_out(submission_id)
        )

    def _time_out(self, submission_id: int) -> None:
        job = self.pending_job_by_submission.pop(submission_id, None)
        if job is not None:
            self._retry_later(job, _RECONNECT_MS)
