"""Indexes over a domain's tasks, kept up by each change."""

import collections
import itertools

import xxhash

from waxwingford.ports import Resources, add_resources, subtract_resources
from waxwingford.records._messages import JobSpec, RecordGroup
from waxwingford.records._state import (
    FinishedJob,
    JobState,
    TaskStage,
    TaskState,
    team_key,
)

#: Finished jobs kept with their counts, so that members can ask for them.
FINISHED_KEPT = 2000
#: Ids of finished jobs remembered after that, as 64-bit hashes, so that a job
#: submitted again is not run again.  This count is the bound: at five finished
#: jobs a second it covers three and a half hours.  Re-appended groups are told
#: by writer and sequence instead, so they are not under this bound.
TOMBSTONES_KEPT = 65_536
#: Writers whose last sequence is remembered; one writer is one incarnation of
#: one daemon, so this covers days of restarts of a failure domain.
WRITERS_KEPT = 1024
_REASONS_KEPT = 8
_NOTHING = Resources(0, 0, 0)


def job_hash(job_id: str) -> int:
    """Hash a job id for the memory of finished jobs.

    :param job_id: the id.
    :returns: 64 bits.
    """
    return xxhash.xxh3_64_intdigest(job_id.encode())


class TaskIndex:
    """Where tasks are: pending ones, and claimed ones by server and team.

    :ivar pending_by_id: tasks that wait for a claim.
    :ivar attempts_by_server: claimed tasks by server, then by task id.
    :ivar used_by_team: resources of claimed tasks by ``<member>/<team>``.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.pending_by_id: dict[str, TaskState] = {}
        self.attempts_by_server: dict[str, dict[str, TaskState]] = {}
        self.used_by_team: dict[str, Resources] = {}
        self._newly_pending: list[TaskState] = []

    def add(self, task: TaskState) -> None:
        """Enter a task under its present stage.

        :param task: the task.
        """
        if task.stage == TaskStage.pending:
            self.pending_by_id[task.task_id] = task
            self._newly_pending.append(task)
        elif task.stage == TaskStage.claimed:
            attempts = self.attempts_by_server.setdefault(task.server_id, {})
            attempts[task.task_id] = task
            self._count(task.job.spec, task.resources)

    def remove(self, task: TaskState) -> None:
        """Take a task out, before its stage changes.

        :param task: the task.
        """
        if task.stage == TaskStage.pending:
            self.pending_by_id.pop(task.task_id, None)
        elif task.stage == TaskStage.claimed:
            attempts = self.attempts_by_server[task.server_id]
            attempts.pop(task.task_id)
            if not attempts:
                self.attempts_by_server.pop(task.server_id)
            self._count(
                task.job.spec,
                subtract_resources(_NOTHING, task.resources),
            )

    def take_newly_pending(self) -> list[TaskState]:
        """Hand out the tasks that became pending since the last call.

        :returns: tasks, some of which may no longer be pending.
        """
        taken = self._newly_pending
        self._newly_pending = []
        return taken

    def _count(self, spec: JobSpec, change: Resources) -> None:
        team = team_key(spec)
        used = add_resources(self.used_by_team.get(team, _NOTHING), change)
        if used == _NOTHING:
            self.used_by_team.pop(team, None)
        else:
            self.used_by_team[team] = used


class FinishedJobs:
    """Bounded memory of finished jobs: counts first, then only hashed ids.

    :ivar kept_by_id: newest finished jobs.
    :ivar tombstones: hashes of the ids of older ones, oldest first.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.kept_by_id: dict[str, FinishedJob] = {}
        self.tombstones: dict[int, None] = {}

    def __contains__(self, job_id: str) -> bool:
        """Tell whether a job is known to be finished.

        :param job_id: which job.
        :returns: true as long as the memory reaches back to it.
        """
        return job_id in self.kept_by_id or job_hash(job_id) in self.tombstones

    def add(self, job: JobState) -> None:
        """Remember a job whose tasks have all ended.

        :param job: the job.
        """
        counts = collections.Counter(task.stage for task in job.tasks)
        reasons = (
            f'{task.task_id}: {task.detail}'
            for task in job.tasks
            if task.stage == TaskStage.failed
        )
        self.kept_by_id[job.spec.job_id] = FinishedJob(
            job.spec.job_id,
            job.spec.member,
            counts[TaskStage.done],
            counts[TaskStage.failed],
            counts[TaskStage.cancelled],
            tuple(itertools.islice(reasons, _REASONS_KEPT)),
        )
        if len(self.kept_by_id) > FINISHED_KEPT:
            oldest = next(iter(self.kept_by_id))
            self.kept_by_id.pop(oldest)
            self.tombstones[job_hash(oldest)] = None
        if len(self.tombstones) > TOMBSTONES_KEPT:
            self.tombstones.pop(next(iter(self.tombstones)))


def remember_writer(
    sequence_by_writer: dict[str, int], group: RecordGroup
) -> None:
    """Remember the newest group of a writer, newest writer last.

    :param sequence_by_writer: changed in place, bounded.
    :param group: the group.
    """
    sequence_by_writer.pop(group.writer, None)
    sequence_by_writer[group.writer] = group.sequence
    if len(sequence_by_writer) > WRITERS_KEPT:
        sequence_by_writer.pop(next(iter(sequence_by_writer)))
