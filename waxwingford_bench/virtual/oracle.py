"""Invariant checks based on server state, independent of daemon state."""

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
    AttemptKey,
    AttemptPhase,
    AttemptReport,
    Resources,
    StartTask,
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
    """An invariant of the batch layer was violated."""


class Oracle:
    """Records the history of all servers and checks invariants.

    :ivar outcome_by_id: reply to each submission, by submission id.
    :ivar accepted: jobs that were acknowledged as accepted, by job id.
    :ivar starts: number of started attempts.
    :ivar evictions: number of checkpointed attempts forgotten by a server.
    :ivar done: completed attempt by task id, unless its result was lost.
    """

    def __init__(self) -> None:
        """Create an empty history."""
        self.outcome_by_id: dict[int, SubmissionOutcome] = {}
        self.accepted: dict[str, JobSpec] = {}
        self.starts = 0
        self.evictions = 0
        self.done: dict[str, AttemptKey] = {}
        self._job_by_submission: dict[int, JobSpec] = {}
        self._server_by_attempt: dict[AttemptKey, str] = {}
        self._attempt_by_reference: dict[str, AttemptKey] = {}
        self._min_resume_attempt: dict[str, int] = {}
        self._exempt_attempts: set[AttemptKey] = set()

    def note_submitted(self, submission_id: int, job: JobSpec) -> None:
        """Record a submission.

        :param submission_id: id of the submission.
        :param job: submitted job.
        """
        self._job_by_submission[submission_id] = job

    def note_reply(
        self, submission_id: int, outcome: SubmissionOutcome
    ) -> None:
        """Record the reply to a submission.

        :param submission_id: id of the submission.
        :param outcome: reply.
        :raises Violation: if the submission was replied to before.
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
        """Record that a server started an attempt.

        :param server_id: id of the server.
        :param start: command that started it.
        :param now_ms: virtual time, in milliseconds.
        :raises Violation: if the attempt was started before, its task is
            done, or it resumes from an unknown or outdated checkpoint.
        """
        key = start.key
        self.starts += 1
        if key in self._server_by_attempt:
            raise Violation(f'{key} started twice, again at {server_id}')
        self._server_by_attempt[key] = server_id
        done = self.done.get(key.task_id)
        if done is not None and done not in self._exempt_attempts:
            raise Violation(f'{key} started after {done} was done')
        self._check_resume(start)

    def note_ended(self, server_id: str, report: AttemptReport) -> None:
        """Record that an attempt ended.

        :param server_id: id of the server.
        :param report: state of the attempt.
        """
        match report.phase:
            case AttemptPhase.done:
                self.done[report.key.task_id] = report.key
            case AttemptPhase.checkpointed:
                self._attempt_by_reference[report.detail] = report.key

    def _check_resume(self, start: StartTask) -> None:
        task_id = start.key.task_id
        resumed = self._attempt_by_reference.get(start.resume_from)
        if start.resume_from and (
            resumed is None or resumed.task_id != task_id
        ):
            raise Violation(
                f'{start.key}: unknown checkpoint {start.resume_from}'
            )
        # A task must not resume from a checkpoint older than its last resume
        # or than one that a server was told to forget.
        min_attempt = self._min_resume_attempt.get(task_id, 0)
        attempt = resumed.attempt if resumed else 0
        if attempt < min_attempt:
            raise Violation(
                f'{start.key} resumes from {attempt}, expected {min_attempt}'
            )
        self._min_resume_attempt[task_id] = attempt

    def note_forgotten(self, report: AttemptReport) -> None:
        """Record that a server forgot an ended attempt.

        A checkpoint that is forgotten must be used from now on.

        :param report: last state of the attempt.
        """
        counts = report.key not in self._exempt_attempts
        if counts and report.phase is AttemptPhase.checkpointed:
            self.evictions += 1
            task_id, attempt = report.key
            min_attempt = self._min_resume_attempt.get(task_id, 0)
            self._min_resume_attempt[task_id] = max(min_attempt, attempt)

    def note_died(
        self, server_id: str, reports: Iterable[AttemptReport]
    ) -> None:
        """Record that a server crashed and lost its attempts.

        :param server_id: id of the server.
        :param reports: attempts that it knew.
        """
        self._exempt_attempts.update(report.key for report in reports)
        for report in reports:
            done = self.done.get(report.key.task_id)
            if done == report.key:
                self.done.pop(report.key.task_id)

    def note_verdict(self, verdict: Verdict) -> None:
        """Record the verdict on an appended record.

        An attempt that lapsed under its job's settings is exempt from checks:
        its checkpoint or result may be superseded.

        :param verdict: verdict of the fold on the record.
        """
        record = verdict.record
        is_lapse = isinstance(record, AttemptEnded) and record.how == 'lapsed'
        if is_lapse and isinstance(verdict, Valid):
            self._exempt_attempts.add(record.key)
            if self.done.get(record.key.task_id) == record.key:
                self.done.pop(record.key.task_id)

    def _check_refusals(self, state: DomainState) -> None:
        # A job is never appended if all its submissions were refused or
        # rejected; a submission without a reply may have been appended.
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
                raise Violation(
                    f'{job_id} was refused but is in the domain state'
                )

    def check(self, servers: Iterable, now_ms: int) -> None:
        """Check that no task runs twice and no VM is over-committed.

        :param servers: all servers.
        :param now_ms: virtual time, in milliseconds.
        :raises Violation: if a check fails.
        """
        server_ids_by_task: dict[str, list[str]] = collections.defaultdict(list)
        for server in servers:
            running = server.running()
            for start in running:
                server_id = server.vm.server_id
                server_ids_by_task[start.key.task_id].append(server_id)
            _check_capacity(server, running, now_ms)
        for task_id, server_ids in server_ids_by_task.items():
            if len(server_ids) > 1:
                raise Violation(f'{task_id} runs at {server_ids} at {now_ms}')

    def check_finished(self, state: DomainState) -> None:
        """Check that no accepted job is lost and all jobs are finished.

        :param state: state folded from the whole stream.
        :raises Violation: if a job is lost, unfinished, or present though
            refused.
        """
        lost = [
            job_id
            for job_id in self.accepted
            if job_id not in state.finished and job_id not in state.jobs_by_id
        ]
        if lost:
            raise Violation(f'accepted jobs are missing: {lost}')
        self._check_refusals(state)
        if state.jobs_by_id:
            tasks = [
                f'{task.key} {task.stage.name} at {task.server_id}'
                for job in state.jobs_by_id.values()
                for task in job.tasks
                if task.stage <= 1
            ]
            raise Violation(f'unfinished tasks: {tasks[:10]}')


def _check_capacity(server, running: list[StartTask], now_ms: int) -> None:
    used = functools.reduce(
        add_resources,
        (start.resources for start in running),
        Resources(0, 0, 0),
    )
    if not fits_resources(used, server.vm.resources):
        raise Violation(f'{server.vm.server_id}: {used} runs at {now_ms}')
