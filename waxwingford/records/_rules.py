"""When a record of the stream is valid."""

from waxwingford.records._messages import AttemptEnded, Claim, JobSpec
from waxwingford.records._state import (
    NOT_SUSPECTED,
    TaskStage,
    TaskState,
)

#: A task that failed on so many distinct servers is given up.
FAILED_SERVERS_LIMIT = 4
#: A task that failed so often is given up, also if on few servers.
FAILED_ATTEMPTS_LIMIT = 12
#: Tasks in one job at most; bounds what one record can make daemons hold.
TASKS_IN_JOB_LIMIT = 50_000
#: Ways in which an attempt may end.
ENDINGS = frozenset(
    ('done', 'failed', 'checkpointed', 'stopped', 'absent', 'lapsed'),
)


def refuse_job(spec: JobSpec) -> str:
    """Check a job for itself.

    :param spec: the job.
    :returns: why it is not valid; empty if it is.
    """
    if not spec.job_id.startswith(f'{spec.member}.'):
        return f'job_id {spec.job_id!r} must start with {spec.member!r} and "."'
    if '/' in spec.job_id:
        return f'job_id {spec.job_id!r} must not contain "/"'
    if not 1 <= spec.task_count <= TASKS_IN_JOB_LIMIT:
        return f'task_count must be 1 to {TASKS_IN_JOB_LIMIT}'
    if min(spec.resources) < 0 or max(spec.resources) == 0:
        return 'resources must not be negative, nor all zero'
    if spec.lost_after_ms < 0:
        return 'lost_after_ms must not be negative'
    return ''


def refuse_claim(task: TaskState | None, claim: Claim) -> str:
    """Check one claim.

    A pending task has no attempt that is not proved over: only the end of an
    attempt in the stream makes its task pending again.

    :param task: what the claim is about.
    :param claim: the claim.
    :returns: why it is not valid; empty if it is.
    """
    if task is None:
        return 'no such task, or its job is finished'
    if task.job.cancelled:
        return 'job cancelled'
    if task.stage != TaskStage.pending:
        return f'task is {task.stage.name}'
    if claim.key.attempt != task.attempt + 1:
        return f'attempt must be {task.attempt + 1}'
    if claim.resume_from != task.checkpoint:
        return f'resume_from must be {task.checkpoint!r}'
    return ''


def refuse_end(task: TaskState | None, record: AttemptEnded) -> str:
    """Check the end of an attempt.

    A ``lapsed`` names the suspicion that it rests on.  Without that, one that
    was appended after an earlier suspicion, and landed late, would close an
    attempt whose holder objected since and was then suspected once more: the
    attempt would still run while another one is claimed.

    :param task: task claimed at that server under that attempt, if any.
    :param record: the end.
    :returns: why it is not valid; empty if it is.
    """
    if task is None:
        return 'attempt is not claimed there, or is over'
    if record.how not in ENDINGS:
        return f'how must be one of {sorted(ENDINGS)}'
    if record.how != 'lapsed':
        return ''
    if task.suspected_offset == NOT_SUSPECTED:
        return 'attempt is not suspected'
    if task.suspected_offset != record.suspected_offset:
        return f'suspicion stands at {task.suspected_offset}'
    return ''


def ended_stage(task: TaskState, how: str) -> TaskStage:
    """Say where a task goes when its attempt ends.

    :param task: the task, with the failure already counted.
    :param how: how the attempt ended.
    :returns: its next stage.
    """
    if how == 'done':
        return TaskStage.done
    if task.job.cancelled:
        return TaskStage.cancelled
    gone_too_far = (
        len(task.failed_on) >= FAILED_SERVERS_LIMIT
        or task.failures >= FAILED_ATTEMPTS_LIMIT
    )
    if how == 'failed' and gone_too_far:
        return TaskStage.failed
    return TaskStage.pending


def count_failure(task: TaskState) -> None:
    """Count a failed attempt of a task.

    :param task: the task, still at the server where it failed.
    """
    task.failures += 1
    if task.server_id not in task.failed_on:
        task.failed_on += (task.server_id,)
