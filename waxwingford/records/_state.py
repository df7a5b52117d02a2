"""State of the jobs, tasks and attempts in a failure domain's stream."""

import dataclasses
import enum

from waxwingford.ports import AttemptKey, Resources
from waxwingford.records._messages import JobSpec

#: ``suspected_offset`` of an attempt that is not suspected.
NOT_SUSPECTED = -1


class TaskStage(enum.IntEnum):
    """Stage of a task's life cycle; the values are stored in snapshots."""

    pending = 0
    claimed = 1
    done = 2
    failed = 3
    cancelled = 4


#: Stages from which there is no transition.
TERMINAL_STAGES = frozenset(
    (TaskStage.done, TaskStage.failed, TaskStage.cancelled),
)


@dataclasses.dataclass(slots=True, eq=False)
class TaskState:
    """A task and its latest attempt.

    :ivar task_id: ``<job id>/<index>``.
    :ivar attempt: number of the latest claimed attempt; 0 before the first.
    :ivar server_id: server on which the latest attempt was claimed.
    :ivar boot_id: boot of that server.
    :ivar epoch: epoch of the control lease under which it was claimed.
    :ivar holder: ``<daemon>#<incarnation>`` that claimed it.
    :ivar claim_offset: offset of the claim in the stream; -1 before the first.
    :ivar suspected_offset: offset of the current suspicion of the attempt, or
        ``NOT_SUSPECTED``.
    :ivar checkpoint: reference to the latest checkpoint, empty for none.
    :ivar checkpoint_server: server that wrote that checkpoint.
    :ivar failed_on: distinct servers on which attempts failed, in order of the
        first failure.
    :ivar failures: total number of failed attempts.
    :ivar ran_ms: total run time of ended attempts, in milliseconds.
    :ivar detail: result or reason of the latest end of an attempt.
    """

    task_id: str
    job: 'JobState'
    stage: TaskStage = TaskStage.pending
    attempt: int = 0
    server_id: str = ''
    boot_id: str = ''
    epoch: int = 0
    holder: str = ''
    claim_offset: int = -1
    suspected_offset: int = NOT_SUSPECTED
    checkpoint: str = ''
    checkpoint_server: str = ''
    failed_on: tuple[str, ...] = ()
    failures: int = 0
    ran_ms: int = 0
    detail: str = ''

    @property
    def key(self) -> AttemptKey:
        """Identifier of the latest attempt."""
        return AttemptKey(self.task_id, self.attempt)

    @property
    def next_key(self) -> AttemptKey:
        """Identifier of the next attempt."""
        return AttemptKey(self.task_id, self.attempt + 1)

    @property
    def resources(self) -> Resources:
        """Declared size of the task."""
        return self.job.spec.resources


@dataclasses.dataclass(slots=True, eq=False)
class JobState:
    """An accepted, unfinished job.

    :ivar accepted_offset: offset of the record that accepted it.
    :ivar open_count: number of tasks that are not in a terminal stage.
    :ivar tasks: tasks in the order of their indices.
    """

    spec: JobSpec
    accepted_offset: int
    cancelled: bool = False
    open_count: int = 0
    tasks: list[TaskState] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class FinishedJob:
    """Summary of a finished job.

    :ivar done: number of tasks that completed.
    :ivar failed: number of tasks that failed.
    :ivar cancelled: number of tasks that were cancelled.
    :ivar reasons: reasons of the first few failed tasks.
    """

    job_id: str
    member: str
    done: int
    failed: int
    cancelled: int
    reasons: tuple[str, ...] = ()


def new_job(spec: JobSpec, offset: int) -> JobState:
    """Create the state of a newly accepted job.

    :param offset: offset of the record that accepted it.
    :returns: the job, with all its tasks pending.
    """
    job = JobState(spec, offset, open_count=spec.task_count)
    job.tasks = [
        TaskState(f'{spec.job_id}/{index}', job)
        for index in range(spec.task_count)
    ]
    return job


def team_key(spec: JobSpec) -> str:
    """Build the key of a job's team, which is unique across members.

    :returns: ``<member>/<team>``.
    """
    return f'{spec.member}/{spec.team}'
