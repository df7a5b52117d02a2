"""Submitters of short jobs, who come back as they were told."""

import itertools
import random

from waxwingford.batch import JobRefused, JobUnknown, SubmissionOutcome
from waxwingford.ports import Resources
from waxwingford.records import JobSpec
from waxwingford_bench.storms.surroundings import StormSurroundings

#: Submitters at once at most; more jobs wait with their members.
MOST_AT_ONCE = 100
_TASKS_IN_JOB = 4
_RUN_MS = (45_000, 75_000)
_MEAN_RUN_MS = 60_000
_LOST_AFTER_MS = 30_000
#: Twice what four tasks a server need, so that a backlog can be worked off.
_SIZE = Resources(3000, 6000)
_ANSWER_MS = 10_000
_CONNECT_MS = 1000


class Submitters:
    """Keep four tasks running for each server.

    :ivar open_by_id: jobs by submission that has no reply yet.
    :ivar is_open: whether new jobs arrive.
    """

    def __init__(self, domain: StormSurroundings, servers: int) -> None:
        """Begin.

        :param domain: whom to submit to.
        :param servers: how many there are.
        """
        self.open_by_id: dict[int, JobSpec] = {}
        self.is_open = True
        self.accepted = 0
        self._domain = domain
        self._retrying = 0
        self._rng = random.Random(domain.random.random())
        self._number = itertools.count()
        every_ms = _MEAN_RUN_MS // servers
        domain.time.every(every_ms, 5000, self._arrive)

    @property
    def at_once(self) -> int:
        """Count submitters without a final answer.

        :returns: how many.
        """
        return len(self.open_by_id) + self._retrying

    def take(self, submission_id: int, outcome: SubmissionOutcome) -> None:
        """Take a reply; come back after the time that it names.

        :param submission_id: which submission.
        :param outcome: the reply.
        """
        job = self.open_by_id.pop(submission_id, None)
        if job is None:
            return
        match outcome:
            case (
                JobRefused(retry_after_ms=retry_after_ms)
                | JobUnknown(retry_after_ms=retry_after_ms)
            ):
                self._come_back(job, retry_after_ms)
            case _:
                self.accepted += 1

    def _arrive(self) -> None:
        if not self.is_open or self.at_once >= MOST_AT_ONCE:
            return
        run_ms = self._rng.randrange(*_RUN_MS)
        job = JobSpec(
            f'qadri.j{next(self._number)}',
            'qadri',
            'nightly',
            'archive_rebuild',
            _TASKS_IN_JOB,
            _SIZE,
            run_ms,
            lost_after_ms=_LOST_AFTER_MS,
            payload=f'{{"run_ms":{run_ms}}}',
        )
        # Arrivals are random within their interval.
        self._domain.time.at(self._rng.randrange(1000), lambda: self._send(job))

    def _come_back(self, job: JobSpec, after_ms: int) -> None:
        self._retrying += 1
        # A client needs some time of its own.
        delay_ms = after_ms + self._rng.randrange(1, 20)
        self._domain.time.at(delay_ms, lambda: self._again(job))

    def _again(self, job: JobSpec) -> None:
        self._retrying -= 1
        self._domain.meter.note_retry('submission', self._domain.now_ms)
        self._send(job)

    def _send(self, job: JobSpec) -> None:
        daemons = self._domain.daemon_by_id
        daemon_id = self._rng.choice(list(daemons))
        if daemons[daemon_id].controller is None:
            self._come_back(job, _CONNECT_MS)
            return
        submission_id = self._domain.next_submission(job)
        self.open_by_id[submission_id] = job
        self._domain.deliver(daemon_id, submission_id, job)
        self._domain.time.at(_ANSWER_MS, lambda: self._give_up(submission_id))

    def _give_up(self, submission_id: int) -> None:
        job = self.open_by_id.pop(submission_id, None)
        if job is not None:
            self._come_back(job, _CONNECT_MS)
