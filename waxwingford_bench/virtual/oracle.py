"""Checks what truly runs, without looking at what the daemons believe."""

import collections
import functools
from collections.abc import Iterable

from waxwingford.batch import (
    JobAcceptedOutcome,
    JobRefused,
    JobRejected,
    SubmissionOutcome,
)
from waxwingford.ports import (
    Resources,
    StartTask,
    TaskKey,
    TaskPhase,
    TaskReport,
    add_resources,
    fits_resources,
)
from waxwingford.records import (
    AttemptEnded,
    DomainState,
    JobSpec,
    Valid,
    Verdict,
)


class Violation(AssertionError):
    """Something ran that must not run."""


class Oracle:
    """Keeps a true history over all servers.

    :ivar outcome_by_id: replies to submissions.
    :ivar accepted: jobs that were answered as accepted.
    :ivar starts: attempts started, in all.
    :ivar done: tasks truly done at a server that did not die with it.
    """

    def __init__(self) -> None:
        """Start with an empty history."""
        self.outcome_by_id: dict[int, SubmissionOutcome] = {}
        self.accepted: dict[str, JobSpec] = {}
        self.starts = 0
        self.evictions = 0
        self.done: dict[str, TaskKey] = {}
        self._job_by_submission: dict[int, JobSpec] = {}
        self._started_at: dict[TaskKey, str] = {}
        self._attempt_by_reference: dict[str, TaskKey] = {}
        self._least_resume: dict[str, int] = {}
        self._excused: set[TaskKey] = set()

    def note_submitted(self, submission_id: int, job: JobSpec) -> None:
        """Remember what a submission is about.

        :param submission_id: its id.
        :param job: the job.
        """
        self._job_by_submission[submission_id] = job

    def note_reply(
        self, submission_id: int, outcome: SubmissionOutcome
    ) -> None:
        """Take a reply; each submission gets one at most.

        :param submission_id: which.
        :param outcome: the reply.
        """
        if submission_id in self.outcome_by_id:
            raise Violation(f'two replies to submission {submission_id}')
        self.outcome_by_id[submission_id] = outcome
        job = self._job_by_submission.get(submission_id)
        if job is None:
            return
        if isinstance(outcome, JobAcceptedOutcome):
            self.accepted[job.job_id] = job

    def note_start(self, server_id: str, start: StartTask, now_ms: int) -> None:
        """A server started an attempt.

        :param server_id: where.
        :param start: the command.
        :param now_ms: virtual time.
        """
        key = start.key
        self.starts += 1
        if key in self._started_at:
            raise Violation(f'{key} started twice, again at {server_id}')
        self._started_at[key] = server_id
        done = self.done.get(key.task_id)
        if done is not None and done not in self._excused:
            raise Violation(f'{key} started after {done} was done')
        self._check_resume(start)

    def note_ended(self, server_id: str, report: TaskReport) -> None:
        """A server keeps an ended attempt.

        :param server_id: where.
        :param report: its state.
        """
        match report.phase:
            case TaskPhase.done:
                self.done[report.key.task_id] = report.key
            case TaskPhase.checkpointed:
                self._attempt_by_reference[report.detail] = report.key

    def _check_resume(self, start: StartTask) -> None:
        task_id = start.key.task_id
        resumed = self._attempt_by_reference.get(start.resume_from)
        if start.resume_from and (
            resumed is None or resumed.task_id != task_id
        ):
            raise Violation(f'{start.key}: no checkpoint {start.resume_from}')
        # A checkpoint that the server was told to forget counts from then on,
        # and so does one from which the task was resumed before.
        least = self._least_resume.get(task_id, 0)
        attempt = resumed.attempt if resumed else 0
        if attempt < least:
            raise Violation(f'{start.key} from {attempt}, not from {least}')
        self._least_resume[task_id] = attempt

    def note_forgotten(self, report: TaskReport) -> None:
        """An ended attempt was forgotten: its end must count from now on.

        :param report: its last state.
        """
        counts = report.key not in self._excused
        if counts and report.phase is TaskPhase.checkpointed:
            self.evictions += 1
            task_id, attempt = report.key
            least = self._least_resume.get(task_id, 0)
            self._least_resume[task_id] = max(least, attempt)

    def note_died(self, server_id: str, reports: Iterable[TaskReport]) -> None:
        """A server lost all that it knew.

        :param server_id: which.
        :param reports: what it knew.
        """
        self._excused.update(report.key for report in reports)
        for report in reports:
            done = self.done.get(report.key.task_id)
            if done == report.key:
                self.done.pop(report.key.task_id)

    def note_verdict(self, verdict: Verdict) -> None:
        """Hear what the fold makes of a record.

        An attempt that was declared lapsed, by the job's own wish, no longer
        counts: its checkpoint or result may come too late.

        :param verdict: of a record that landed.
        """
        record = verdict.record
        is_lapse = isinstance(record, AttemptEnded) and record.how == 'lapsed'
        if is_lapse and isinstance(verdict, Valid):
            self._excused.add(record.key)
            if self.done.get(record.key.task_id) == record.key:
                self.done.pop(record.key.task_id)

    def _check_refusals(self, state: DomainState) -> None:
        # A job of which every submission was refused or rejected was never
        # appended; one without a reply may have been.
        not_refused = {
            job.job_id
            for submission_id, job in self._job_by_submission.items()
            if not isinstance(
                self.outcome_by_id.get(submission_id),
                JobRefused | JobRejected,
            )
        }
        refused = {job.job_id for job in self._job_by_submission.values()}
        for job_id in refused - not_refused:
            if job_id in state.jobs_by_id or job_id in state.finished:
                raise Violation(f'{job_id} was refused and is there')

    def check(self, servers: Iterable, now_ms: int) -> None:
        """Check what runs now.

        :param servers: all servers.
        :param now_ms: virtual time.
        """
        places_by_task: dict[str, list[str]] = collections.defaultdict(list)
        for server in servers:
            running = server.running()
            for start in running:
                place = server.vm.server_id
                places_by_task[start.key.task_id].append(place)
            _check_capacity(server, running, now_ms)
        for task_id, places in places_by_task.items():
            if len(places) > 1:
                raise Violation(f'{task_id} runs at {places} at {now_ms}')

    def check_finished(self, state: DomainState) -> None:
        """Check that nothing accepted is lost and everything finished.

        :param state: fold of the stream, read to its head.
        """
        lost = [
            job_id
            for job_id in self.accepted
            if job_id not in state.finished and job_id not in state.jobs_by_id
        ]
        if lost:
            raise Violation(f'accepted and lost: {lost}')
        self._check_refusals(state)
        if state.jobs_by_id:
            tasks = [
                f'{task.key} {task.stage.name} at {task.server_id}'
                for job in state.jobs_by_id.values()
                for task in job.tasks
                if task.stage <= 1
            ]
            raise Violation(f'not finished: {tasks[:10]}')


def _check_capacity(server, running: list[StartTask], now_ms: int) -> None:
    used = functools.reduce(
        add_resources,
        (start.resources for start in running),
        Resources(0, 0, 0),
    )
    if not fits_resources(used, server.vm.resources):
        raise Violation(f'{server.vm.server_id}: {used} runs at {now_ms}')
