"""Deterministic fold of a failure domain's stream into its state.

Every daemon applies the same entries in offset order and must reach the same
state, so the fold must not depend on the clock or on the daemon.
"""

import collections

from waxwingford.kernel import Invariant, check_invariant
from waxwingford.ports import AttemptKey
from waxwingford.records._index import (
    FinishedJobs,
    TaskIndex,
    record_sequence,
)
from waxwingford.records._messages import (
    AttemptEnded,
    AttemptSuspected,
    Claim,
    JobAccepted,
    JobCancelled,
    Record,
    RecordGroup,
    ServerLost,
    SnapshotTaken,
    SuspicionRefuted,
    TasksClaimed,
)
from waxwingford.records._rules import (
    next_stage,
    record_failure,
    validate_claim,
    validate_end,
    validate_job,
)
from waxwingford.records._state import (
    NOT_SUSPECTED,
    TERMINAL_STAGES,
    JobState,
    TaskStage,
    TaskState,
    new_job,
)
from waxwingford.records._verdicts import Invalid, Valid, Verdict


class DomainState:
    """State of a failure domain's batch work at an offset of its stream.

    :ivar next_offset: offset of the next entry to apply.
    :ivar jobs_by_id: unfinished jobs by id.
    :ivar finished: bounded history of finished jobs.
    :ivar failing_by_server: failed attempts per server since the last attempt
        that was done there.
    :ivar snapshot_offset: first offset not covered by the latest snapshot.
    :ivar sequence_by_writer: last applied sequence number of each writer.
    """

    def __init__(self) -> None:
        self.next_offset = 0
        self.snapshot_offset = 0
        self.jobs_by_id: dict[str, JobState] = {}
        self.finished = FinishedJobs()
        self.index = TaskIndex()
        self.failing_by_server: collections.Counter[str] = collections.Counter()
        self.sequence_by_writer: dict[str, int] = {}

    def task(self, task_id: str) -> TaskState | None:
        """Look up a task of an unfinished job.

        :param task_id: ``<job id>/<index>``.
        :returns: the task; None if its job is finished or unknown, or if it has
            no such index.
        """
        job_id, _, index = task_id.rpartition('/')
        job = self.jobs_by_id.get(job_id)
        if job is None or not index.isdecimal():
            return None
        number = int(index)
        return job.tasks[number] if number < len(job.tasks) else None

    def claimed(self, key: AttemptKey, server_id: str) -> TaskState | None:
        """Look up the task of an attempt that is claimed on a server.

        :returns: the task; None if the attempt has ended or is not claimed on
            this server.
        """
        task = self.index.attempts_by_server.get(server_id, {}).get(key.task_id)
        return (
            task if task is not None and task.attempt == key.attempt else None
        )

    def skip(self, offset: int) -> None:
        """Skip an entry that cannot be decoded as a record group."""
        self.next_offset = max(self.next_offset, offset + 1)

    def apply(self, offset: int, group: RecordGroup) -> list[Verdict]:
        """Apply one entry of the stream.

        A group appended again after a lost acknowledgement is recognised by
        its writer and sequence, and ignored.

        :param offset: offset of the entry; entries already applied are ignored.
        :returns: verdicts in the order of the records; empty if the entry was
            already applied.
        """
        if offset < self.next_offset:
            return []
        self.next_offset = offset + 1
        if group.sequence <= self.sequence_by_writer.get(group.writer, -1):
            return [Invalid(record, 'repeated') for record in group.records]
        record_sequence(self.sequence_by_writer, group)
        return [
            verdict
            for record in group.records
            for verdict in self._apply_record(offset, record)
        ]

    def _apply_record(self, offset: int, record: Record) -> list[Verdict]:
        match record:
            case TasksClaimed():
                return self._claim_tasks(offset, record)
            case AttemptSuspected():
                return self._update_suspicion(record, offset)
            case SuspicionRefuted():
                return self._update_suspicion(record, NOT_SUSPECTED)
        return [self._apply_single(offset, record)]

    def _apply_single(self, offset: int, record: Record) -> Verdict:
        match record:
            case AttemptEnded():
                return self._end_attempt(record)
            case JobAccepted():
                return self._accept_job(offset, record)
            case JobCancelled():
                return self._cancel_job(record)
            case ServerLost():
                return self._lose_server(record)
            case SnapshotTaken():
                return self._record_snapshot(record)

    def _accept_job(self, offset: int, record: JobAccepted) -> Verdict:
        spec = record.job
        reason = validate_job(spec)
        if spec.job_id in self.jobs_by_id or spec.job_id in self.finished:
            reason = 'duplicate'
        if reason:
            return Invalid(record, reason)
        job = new_job(spec, offset)
        self.jobs_by_id[spec.job_id] = job
        for task in job.tasks:
            self.index.add(task)
        return Valid(record)

    def _cancel_job(self, record: JobCancelled) -> Verdict:
        job = self.jobs_by_id.get(record.job_id)
        if job is None:
            return Invalid(record, 'no such job')
        if job.spec.member != record.member:
            return Invalid(record, 'job of another member')
        if job.cancelled:
            return Invalid(record, 'already cancelled')
        job.cancelled = True
        for task in job.tasks:
            if task.stage == TaskStage.pending:
                self._set_stage(task, TaskStage.cancelled)
        return Valid(record)

    def _claim_tasks(self, offset: int, record: TasksClaimed) -> list[Verdict]:
        claimed_keys: list[AttemptKey] = []
        verdicts: list[Verdict] = []
        for claim in record.claims:
            task = self.task(claim.key.task_id)
            reason = validate_claim(task, claim)
            if reason or task is None:
                verdicts.append(Invalid(record, reason, (claim.key,)))
                continue
            self._take(task, offset, record, claim)
            claimed_keys.append(claim.key)
        if claimed_keys:
            verdicts.append(Valid(record, tuple(claimed_keys)))
        return verdicts

    def _take(
        self, task: TaskState, offset: int, record: TasksClaimed, claim: Claim
    ) -> None:
        check_invariant(
            task.stage == TaskStage.pending
            and claim.key.attempt == task.attempt + 1,
            Invariant.single_run,
            f'{claim.key} claimed while {task.key} is {task.stage.name}',
        )
        check_invariant(
            claim.resume_from == task.checkpoint,
            Invariant.resume_once,
            f'{claim.key} resumes from {claim.resume_from}, but the latest '
            f'checkpoint is {task.checkpoint}',
        )
        self.index.remove(task)
        task.stage = TaskStage.claimed
        task.attempt = claim.key.attempt
        task.server_id = record.server_id
        task.boot_id = record.boot_id
        task.epoch = record.epoch
        task.holder = record.holder
        task.claim_offset = offset
        task.suspected_offset = NOT_SUSPECTED
        self.index.add(task)

    def _end_attempt(self, record: AttemptEnded) -> Verdict:
        task = self.claimed(record.key, record.server_id)
        reason = validate_end(task, record)
        if reason or task is None:
            return Invalid(record, reason, (record.key,))
        task.ran_ms += record.ran_ms
        task.detail = record.detail
        task.suspected_offset = NOT_SUSPECTED
        match record.how:
            case 'checkpointed':
                task.checkpoint = record.detail
                task.checkpoint_server = record.server_id
            case 'failed':
                record_failure(task)
                self.failing_by_server[task.server_id] += 1
            case 'done':
                self.failing_by_server.pop(task.server_id, None)
        self._set_stage(task, next_stage(task, record.how))
        return Valid(record, (record.key,))

    def _update_suspicion(
        self, record: AttemptSuspected | SuspicionRefuted, offset: int
    ) -> list[Verdict]:
        changed_keys: list[AttemptKey] = []
        refused_keys: list[AttemptKey] = []
        for key in record.keys:
            task = self.task(key.task_id)
            can_be_suspected = (
                task is not None
                and task.stage == TaskStage.claimed
                and task.attempt == key.attempt
                and task.job.spec.lost_after_ms > 0
            )
            # A repeated suspicion must not change the offset: the wait for the
            # attempt to lapse counts from the first one.
            changes = can_be_suspected and (
                task.suspected_offset == NOT_SUSPECTED
            ) != (offset == NOT_SUSPECTED)
            if changes:
                task.suspected_offset = offset
            (changed_keys if changes else refused_keys).append(key)
        return [
            verdict
            for verdict in (
                Valid(record, tuple(changed_keys)),
                Invalid(record, 'suspicion unchanged', tuple(refused_keys)),
            )
            if verdict.keys
        ]

    def _lose_server(self, record: ServerLost) -> Verdict:
        lost = [
            task
            for task in self.index.attempts_by_server.get(
                record.server_id, {}
            ).values()
            if task.boot_id == record.boot_id
        ]
        if not lost:
            return Invalid(record, 'no attempt claimed on that boot')
        for task in lost:
            task.detail = 'server declared lost'
            self._set_stage(task, next_stage(task, 'absent'))
        return Valid(record, tuple(task.key for task in lost))

    def _record_snapshot(self, record: SnapshotTaken) -> Verdict:
        if record.covers_offset <= self.snapshot_offset:
            return Invalid(record, 'not newer than the latest snapshot')
        self.snapshot_offset = record.covers_offset
        return Valid(record)

    def _set_stage(self, task: TaskState, stage: TaskStage) -> None:
        self.index.remove(task)
        task.stage = stage
        self.index.add(task)
        if stage in TERMINAL_STAGES:
            task.job.open_count -= 1
            if task.job.open_count == 0:
                self.jobs_by_id.pop(task.job.spec.job_id)
                self.finished.add(task.job)
