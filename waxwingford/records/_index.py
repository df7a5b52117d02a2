"""Indexes of a failure domain's tasks and its bounded history."""

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

#: Finished jobs whose summaries are stored for queries.
MAX_FINISHED_JOBS = 2000
#: Older finished jobs whose id hashes are stored, so that a job that is
#: submitted again is rejected as a duplicate.
MAX_TOMBSTONES = 65_536
#: Writers whose last sequence number is stored; every incarnation of a daemon
#: is a writer of its own.
MAX_WRITERS = 1024
_MAX_REASONS = 8
_NO_RESOURCES = Resources(0, 0, 0)


def job_hash(job_id: str) -> int:
    """Hash a job id for the tombstones of finished jobs.

    :returns: 64-bit hash.
    """
    return xxhash.xxh3_64_intdigest(job_id.encode())


class TaskIndex:
    """Indexes of pending and claimed tasks.

    :ivar pending_by_id: pending tasks by task id.
    :ivar attempts_by_server: claimed tasks by server id, then by task id.
    :ivar used_by_team: resources of claimed tasks by ``<member>/<team>``.
    """

    def __init__(self) -> None:
        self.pending_by_id: dict[str, TaskState] = {}
        self.attempts_by_server: dict[str, dict[str, TaskState]] = {}
        self.used_by_team: dict[str, Resources] = {}
        self._newly_pending: list[TaskState] = []

    def add(self, task: TaskState) -> None:
        """Add a task under its current stage.

        :param task: task to add; terminal stages are not indexed.
        """
        if task.stage == TaskStage.pending:
            self.pending_by_id[task.task_id] = task
            self._newly_pending.append(task)
        elif task.stage == TaskStage.claimed:
            attempts = self.attempts_by_server.setdefault(task.server_id, {})
            attempts[task.task_id] = task
            self._add_usage(task.job.spec, task.resources)

    def remove(self, task: TaskState) -> None:
        """Remove a task; must be called before its stage changes."""
        if task.stage == TaskStage.pending:
            self.pending_by_id.pop(task.task_id, None)
        elif task.stage == TaskStage.claimed:
            attempts = self.attempts_by_server[task.server_id]
            attempts.pop(task.task_id)
            if not attempts:
                self.attempts_by_server.pop(task.server_id)
            self._add_usage(
                task.job.spec,
                subtract_resources(_NO_RESOURCES, task.resources),
            )

    def take_newly_pending(self) -> list[TaskState]:
        """Return and clear the tasks that became pending since the last call.

        :returns: tasks, some of which may no longer be pending.
        """
        taken = self._newly_pending
        self._newly_pending = []
        return taken

    def _add_usage(self, spec: JobSpec, delta: Resources) -> None:
        team = team_key(spec)
        used = add_resources(self.used_by_team.get(team, _NO_RESOURCES), delta)
        if used == _NO_RESOURCES:
            self.used_by_team.pop(team, None)
        else:
            self.used_by_team[team] = used


class FinishedJobs:
    """Bounded history of finished jobs: summaries, then only id hashes.

    :ivar summary_by_id: summaries of the latest finished jobs by id, oldest
        first.
    :ivar tombstones: id hashes of older jobs, oldest first.
    """

    def __init__(self) -> None:
        self.summary_by_id: dict[str, FinishedJob] = {}
        self.tombstones: dict[int, None] = {}

    def __contains__(self, job_id: str) -> bool:
        """Check whether a job is in the history.

        :returns: True unless the job is unfinished, unknown or older than the
            history.
        """
        return (
            job_id in self.summary_by_id or job_hash(job_id) in self.tombstones
        )

    def add(self, job: JobState) -> None:
        """Add a finished job and evict the oldest entries beyond the limits.

        :param job: job whose tasks have all reached a terminal stage.
        """
        counts = collections.Counter(task.stage for task in job.tasks)
        reasons = (
            f'{task.task_id}: {task.detail}'
            for task in job.tasks
            if task.stage == TaskStage.failed
        )
        self.summary_by_id[job.spec.job_id] = FinishedJob(
            job.spec.job_id,
            job.spec.member,
            counts[TaskStage.done],
            counts[TaskStage.failed],
            counts[TaskStage.cancelled],
            tuple(itertools.islice(reasons, _MAX_REASONS)),
        )
        if len(self.summary_by_id) > MAX_FINISHED_JOBS:
            oldest = next(iter(self.summary_by_id))
            self.summary_by_id.pop(oldest)
            self.tombstones[job_hash(oldest)] = None
        if len(self.tombstones) > MAX_TOMBSTONES:
            self.tombstones.pop(next(iter(self.tombstones)))


def record_sequence(
    sequence_by_writer: dict[str, int], group: RecordGroup
) -> None:
    """Record the sequence number of a writer's latest group.

    :param sequence_by_writer: sequence numbers, least recent writer first;
        modified in place, and the oldest is evicted beyond the limit.
    :param group: group that was applied.
    """
    sequence_by_writer.pop(group.writer, None)
    sequence_by_writer[group.writer] = group.sequence
    if len(sequence_by_writer) > MAX_WRITERS:
        sequence_by_writer.pop(next(iter(sequence_by_writer)))
