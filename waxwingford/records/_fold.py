"""The fold of a failure domain's stream: the first valid record wins.

Every daemon applies the same entries in offset order and so reaches the same
state.  Nothing here reads a clock or depends on who folds.
"""

import collections

from waxwingford.kernel import Invariant, require
from waxwingford.ports import TaskKey
from waxwingford.records._index import (
    FinishedJobs,
    TaskIndex,
    remember_writer,
)
from waxwingford.records._messages import (
    AttemptAlive,
    AttemptEnded,
    AttemptSuspected,
    Claim,
    JobAccepted,
    JobCancelled,
    Record,
    RecordGroup,
    ServerLost,
    SnapshotTaken,
    TasksClaimed,
)
from waxwingford.records._rules import (
    count_failure,
    ended_stage,
    refuse_claim,
    refuse_end,
    refuse_job,
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
    """State of one failure domain's batch work at an offset.

    :ivar next_offset: first offset that is not applied yet.
    :ivar jobs_by_id: jobs that are not finished.
    :ivar finished: bounded memory of finished jobs.
    :ivar index: pending tasks and attempts by server.
    :ivar failing_by_server: attempts that failed at a server since one was
        last done there.
    :ivar snapshot_offset: first offset not covered by the newest snapshot.
    :ivar sequence_by_writer: sequence of the last group of each writer.
    """

    def __init__(self) -> None:
        """Start at the beginning of a stream."""
        self.next_offset = 0
        self.snapshot_offset = 0
        self.jobs_by_id: dict[str, JobState] = {}
        self.finished = FinishedJobs()
        self.index = TaskIndex()
        self.failing_by_server: collections.Counter[str] = collections.Counter()
        self.sequence_by_writer: dict[str, int] = {}

    def task(self, task_id: str) -> TaskState | None:
        """Look a task up.

        :param task_id: ``<job id>/<index>``.
        :returns: the task, or nothing if its job is finished or unknown.
        """
        job_id, _, index = task_id.rpartition('/')
        job = self.jobs_by_id.get(job_id)
        if job is None or not index.isdecimal():
            return None
        number = int(index)
        return job.tasks[number] if number < len(job.tasks) else None

    def claimed(self, key: TaskKey, server_id: str) -> TaskState | None:
        """Look up an attempt that is claimed at a server and not over.

        :param key: which attempt.
        :param server_id: where.
        :returns: its task, or nothing.
        """
        task = self.index.attempts_by_server.get(server_id, {}).get(key.task_id)
        return (
            task if task is not None and task.attempt == key.attempt else None
        )

    def skip(self, offset: int) -> None:
        """Pass over an entry that is no group of records.

        :param offset: of the entry.
        """
        self.next_offset = max(self.next_offset, offset + 1)

    def apply(self, offset: int, group: RecordGroup) -> list[Verdict]:
        """Fold one entry.

        A group that its writer appended twice, since an acknowledgement was
        lost, may land long after its first copy; it is told by writer and
        sequence and changes nothing.

        :param offset: offset of the entry; one already applied is passed over.
        :param group: its records.
        :returns: verdicts in the order of the records.
        """
        if offset < self.next_offset:
            return []
        self.next_offset = offset + 1
        if group.sequence <= self.sequence_by_writer.get(group.writer, -1):
            return [Invalid(record, 'repeated') for record in group.records]
        remember_writer(self.sequence_by_writer, group)
        return [
            verdict
            for record in group.records
            for verdict in self._apply_record(offset, record)
        ]

    def _apply_record(self, offset: int, record: Record) -> list[Verdict]:
        match record:
            case TasksClaimed():
                return self._claim(offset, record)
            case AttemptSuspected():
                return self._mark(record, offset)
            case AttemptAlive():
                return self._mark(record, NOT_SUSPECTED)
        return [self._apply_whole(offset, record)]

    def _apply_whole(self, offset: int, record: Record) -> Verdict:
        match record:
            case AttemptEnded():
                return self._end(record)
            case JobAccepted():
                return self._accept(offset, record)
            case JobCancelled():
                return self._cancel(record)
            case ServerLost():
                return self._lose(record)
            case SnapshotTaken():
                return self._note_snapshot(record)

    def _accept(self, offset: int, record: JobAccepted) -> Verdict:
        spec = record.job
        reason = refuse_job(spec)
        if spec.job_id in self.jobs_by_id or spec.job_id in self.finished:
            reason = 'duplicate'
        if reason:
            return Invalid(record, reason)
        job = new_job(spec, offset)
        self.jobs_by_id[spec.job_id] = job
        for task in job.tasks:
            self.index.add(task)
        return Valid(record)

    def _cancel(self, record: JobCancelled) -> Verdict:
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
                self._move(task, TaskStage.cancelled)
        return Valid(record)

    def _claim(self, offset: int, record: TasksClaimed) -> list[Verdict]:
        taken: list[TaskKey] = []
        verdicts: list[Verdict] = []
        for claim in record.claims:
            task = self.task(claim.key.task_id)
            reason = refuse_claim(task, claim)
            if reason or task is None:
                verdicts.append(Invalid(record, reason, (claim.key,)))
                continue
            self._take(task, offset, record, claim)
            taken.append(claim.key)
        if taken:
            verdicts.append(Valid(record, tuple(taken)))
        return verdicts

    def _take(
        self, task: TaskState, offset: int, record: TasksClaimed, claim: Claim
    ) -> None:
        require(
            task.stage == TaskStage.pending
            and claim.key.attempt == task.attempt + 1,
            Invariant.single_run,
            f'{claim.key} claimed while {task.key} is {task.stage.name}',
        )
        require(
            claim.resume_from == task.checkpoint,
            Invariant.resume_once,
            f'{claim.key} from {claim.resume_from}, not {task.checkpoint}',
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

    def _end(self, record: AttemptEnded) -> Verdict:
        task = self.claimed(record.key, record.server_id)
        reason = refuse_end(task, record)
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
                count_failure(task)
                self.failing_by_server[task.server_id] += 1
            case 'done':
                self.failing_by_server.pop(task.server_id, None)
        self._move(task, ended_stage(task, record.how))
        return Valid(record, (record.key,))

    def _mark(
        self, record: AttemptSuspected | AttemptAlive, offset: int
    ) -> list[Verdict]:
        marked: list[TaskKey] = []
        refused: list[TaskKey] = []
        for key in record.keys:
            task = self.task(key.task_id)
            open_now = (
                task is not None
                and task.stage == TaskStage.claimed
                and task.attempt == key.attempt
                and task.job.spec.lost_after_ms > 0
            )
            # A second suspicion must not move the offset of the first one:
            # who waits counts from that.
            changes = open_now and (task.suspected_offset == NOT_SUSPECTED) != (
                offset == NOT_SUSPECTED
            )
            if changes:
                task.suspected_offset = offset
            (marked if changes else refused).append(key)
        return [
            verdict
            for verdict in (
                Valid(record, tuple(marked)),
                Invalid(record, 'nothing to mark', tuple(refused)),
            )
            if verdict.keys
        ]

    def _lose(self, record: ServerLost) -> Verdict:
        lost = [
            task
            for task in self.index.attempts_by_server.get(
                record.server_id, {}
            ).values()
            if task.boot_id == record.boot_id
        ]
        if not lost:
            return Invalid(record, 'no attempt there')
        for task in lost:
            task.detail = 'server declared lost'
            self._move(task, ended_stage(task, 'absent'))
        return Valid(record, tuple(task.key for task in lost))

    def _note_snapshot(self, record: SnapshotTaken) -> Verdict:
        if record.covers_offset <= self.snapshot_offset:
            return Invalid(record, 'a newer one stands')
        self.snapshot_offset = record.covers_offset
        return Valid(record)

    def _move(self, task: TaskState, stage: TaskStage) -> None:
        self.index.remove(task)
        task.stage = stage
        self.index.add(task)
        if stage in TERMINAL_STAGES:
            task.job.open_count -= 1
            if task.job.open_count == 0:
                self.jobs_by_id.pop(task.job.spec.job_id)
                self.finished.add(task.job)
