"""Validation of records against the state that they apply to."""

from waxwingford.records._messages import AttemptEnded, Claim, JobSpec
from waxwingford.records._state import (
    NOT_SUSPECTED,
    TaskStage,
    TaskState,
)

#: Distinct servers on which a task fails before it is marked as failed.
MAX_FAILED_SERVERS = 4
#: Failed attempts, on any servers, before a task is marked as failed.
MAX_FAILED_ATTEMPTS = 12
#: Maximum number of tasks per job; bounds the memory that one record takes.
MAX_TASKS_PER_JOB = 50_000
#: Valid outcomes of an attempt.
ATTEMPT_OUTCOMES = frozenset(
    ('done', 'failed', 'checkpointed', 'stopped', 'absent', 'lapsed'),
)


def validate_job(spec: JobSpec) -> str:
    """Validate a job specification.

    :returns: reason why it is invalid; empty if it is valid.
    """
    if not spec.job_id.startswith(f'{spec.member}.'):
        return f'job_id {spec.job_id!r} must start with {spec.member!r} and "."'
    if '/' in spec.job_id:
        return f'job_id {spec.job_id!r} must not contain "/"'
    if not 1 <= spec.task_count <= MAX_TASKS_PER_JOB:
        return f'task_count must be 1 to {MAX_TASKS_PER_JOB}'
    if min(spec.resources) < 0 or max(spec.resources) == 0:
        return 'resources must not be negative, nor all zero'
    if spec.lost_after_ms < 0:
        return 'lost_after_ms must not be negative'
    return ''


def validate_claim(task: TaskState | None, claim: Claim) -> str:
    """Validate a claim against the state of its task.

    A task becomes pending again only when the stream records the end of its
    attempt, so a valid claim cannot overlap with an earlier attempt.

    :param task: claimed task; None if it is unknown.
    :returns: reason why it is invalid; empty if it is valid.
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


def validate_end(task: TaskState | None, record: AttemptEnded) -> str:
    """Validate the end of an attempt.

    A ``lapsed`` outcome must refer to the current suspicion.  One that is
    delayed and refers to an earlier, refuted suspicion would end an attempt
    that may still be running.

    :param task: task with that attempt claimed on that server, if any.
    :param record: end of the attempt.
    :returns: reason why it is invalid; empty if it is valid.
    """
    if task is None:
        return 'attempt is not claimed there, or is over'
    if record.how not in ATTEMPT_OUTCOMES:
        return f'how must be one of {sorted(ATTEMPT_OUTCOMES)}'
    if record.how != 'lapsed':
        return ''
    if task.suspected_offset == NOT_SUSPECTED:
        return 'attempt is not suspected'
    if task.suspected_offset != record.suspected_offset:
        return f'suspicion stands at {task.suspected_offset}'
    return ''


def next_stage(task: TaskState, how: str) -> TaskStage:
    """Determine the stage of a task after an attempt has ended.

    :param task: the task; a failure must already be recorded.
    :param how: outcome of the attempt.
    """
    if how == 'done':
        return TaskStage.done
    if task.job.cancelled:
        return TaskStage.cancelled
    retries_exhausted = (
        len(task.failed_on) >= MAX_FAILED_SERVERS
        or task.failures >= MAX_FAILED_ATTEMPTS
    )
    if how == 'failed' and retries_exhausted:
        return TaskStage.failed
    return TaskStage.pending


def record_failure(task: TaskState) -> None:
    """Record a failed attempt of a task.

    :param task: task whose ``server_id`` is that of the failed attempt.
    """
    task.failures += 1
    if task.server_id not in task.failed_on:
        task.failed_on += (task.server_id,)
