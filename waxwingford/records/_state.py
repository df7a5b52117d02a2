"""Jobs, tasks and attempts that a failure domain's stream folds into."""

import dataclasses
import enum

from waxwingford.ports import Resources, TaskKey
from waxwingford.records._messages import JobSpec

#: Suspicion offset of an attempt that nobody suspects.
NOT_SUSPECTED = -1


class TaskStage(enum.IntEnum):
    """Where a task is in its life; values are written into snapshots."""

    pending = 0
    claimed = 1
    done = 2
    failed = 3
    cancelled = 4


#: Stages that a task never leaves.
TERMINAL_STAGES = frozenset(
    (TaskStage.done, TaskStage.failed, TaskStage.cancelled),
)


@dataclasses.dataclass(slots=True, eq=False)
class TaskState:
    """One task and its newest attempt.

    :ivar task_id: ``<job id>/<index>``.
    :ivar job: the job that it belongs to.
    :ivar stage: where it is in its life.
    :ivar attempt: number of the newest claimed attempt, 0 before the first.
    :ivar server_id: where the newest attempt was claimed.
    :ivar boot_id: boot of that server.
    :ivar epoch: control lease epoch of the claim.
    :ivar holder: who claimed.
    :ivar claim_offset: offset of the claim in the stream.
    :ivar suspected_offset: offset of the open suspicion of this attempt, or
        ``NOT_SUSPECTED``.
    :ivar checkpoint: newest checkpoint reference, empty for none.
    :ivar checkpoint_server: where that checkpoint was taken.
    :ivar failed_on: distinct servers on which attempts failed, in order.
    :ivar failures: failed attempts in all.
    :ivar ran_ms: run time of all ended attempts, in milliseconds.
    :ivar detail: result or last reason, for people.
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
    def key(self) -> TaskKey:
        """Name the newest attempt.

        :returns: task id and attempt number.
        """
        return TaskKey(self.task_id, self.attempt)

    @property
    def next_key(self) -> TaskKey:
        """Name the attempt that may be claimed next.

        :returns: task id and attempt number.
        """
        return TaskKey(self.task_id, self.attempt + 1)

    @property
    def resources(self) -> Resources:
        """Declared size.

        :returns: resources of one task of the job.
        """
        return self.job.spec.resources


@dataclasses.dataclass(slots=True, eq=False)
class JobState:
    """An accepted job that is not finished.

    :ivar spec: as accepted.
    :ivar accepted_offset: where it was accepted.
    :ivar cancelled: the member gave it up.
    :ivar open_count: tasks that are not in a terminal stage.
    :ivar tasks: all tasks by index.
    """

    spec: JobSpec
    accepted_offset: int
    cancelled: bool = False
    open_count: int = 0
    tasks: list[TaskState] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class FinishedJob:
    """What is kept for a while of a job that is finished.

    :ivar job_id: which job.
    :ivar member: its owner.
    :ivar done: tasks that finished their work.
    :ivar failed: tasks given up after failures.
    :ivar cancelled: tasks that the member gave up.
    :ivar reasons: some reasons of failed tasks, for people.
    """

    job_id: str
    member: str
    done: int
    failed: int
    cancelled: int
    reasons: tuple[str, ...] = ()


def new_job(spec: JobSpec, offset: int) -> JobState:
    """Build the state of a job just accepted.

    :param spec: the job.
    :param offset: where it was accepted.
    :returns: the job with all its tasks pending.
    """
    job = JobState(spec, offset, open_count=spec.task_count)
    job.tasks = [
        TaskState(f'{spec.job_id}/{index}', job)
        for index in range(spec.task_count)
    ]
    return job


def team_key(spec: JobSpec) -> str:
    """Name a team over all members.

    :param spec: a job of the team.
    :returns: ``<member>/<team>``.
    """
    return f'{spec.member}/{spec.team}'
