"""Views of jobs for their members."""

from collections.abc import Callable
from typing import NamedTuple

from waxwingford.batch._fleet import Fleet
from waxwingford.ports import Resources, fits_resources, subtract_resources
from waxwingford.records import (
    DomainState,
    FinishedJob,
    JobSpec,
    JobState,
    TaskStage,
)

_NO_RESOURCES = Resources(0, 0, 0)
_MAX_TASKS_SHOWN = 200
_DIMENSIONS = ('processors_milli', 'memory_mb', 'accelerators')


class TaskView(NamedTuple):
    """One task as shown to its member.

    :ivar stage: name of its stage.
    :ivar attempt: number of its newest attempt.
    :ivar server_id: id of the server of that attempt; empty before the first.
    :ivar detail: result, or reason of the last end of an attempt.
    :ivar waits_for: why it is pending; empty if it is not.
    """

    task_id: str
    stage: str
    attempt: int
    server_id: str
    detail: str
    waits_for: str


class JobView(NamedTuple):
    """One job as shown to its member.

    :ivar member: member that owns it.
    :ivar state: ``open``, ``cancelling`` or ``finished``.
    :ivar count_by_stage: number of tasks by name of their stage.
    :ivar tasks: views of tasks; empty in listings and for finished jobs.
    :ivar reasons: some reasons why tasks failed.
    """

    job_id: str
    member: str
    state: str
    count_by_stage: dict[str, int]
    tasks: tuple[TaskView, ...] = ()
    reasons: tuple[str, ...] = ()


def view_finished(job: FinishedJob) -> JobView:
    """Build the view of a finished job."""
    counts = {
        'done': job.done,
        'failed': job.failed,
        'cancelled': job.cancelled,
    }
    return JobView(
        job.job_id, job.member, 'finished', counts, reasons=job.reasons
    )


def view_job(job: JobState, tasks: tuple[TaskView, ...] = ()) -> JobView:
    """Build the view of a job that is not finished.

    :param tasks: views of tasks to include.
    """
    counts = {stage.name: 0 for stage in TaskStage}
    for task in job.tasks:
        counts[task.stage.name] += 1
    state = 'cancelling' if job.cancelled else 'open'
    return JobView(job.spec.job_id, job.spec.member, state, counts, tasks)


def list_jobs(state: DomainState, member: str) -> list[JobView]:
    """List a member's jobs.

    :param state: state replayed from the domain's stream.
    :returns: views without their tasks; finished jobs last.
    """
    return [
        *(
            view_job(job)
            for job in state.jobs_by_id.values()
            if job.spec.member == member
        ),
        *(
            view_finished(job)
            for job in state.finished.summary_by_id.values()
            if job.member == member
        ),
    ]


def find_job(
    state: DomainState,
    job_id: str,
    member: str,
    explain: Callable[[str], str],
) -> JobView | None:
    """Return the view of one job.

    :param state: state replayed from the domain's stream.
    :param member: member that makes the request.
    :param explain: explains why a task is pending, by its id.
    :returns: the view with its first tasks; None if the member has no such
        job.
    """
    job = state.jobs_by_id.get(job_id)
    if job is None:
        finished = state.finished.summary_by_id.get(job_id)
        if finished is None or finished.member != member:
            return None
        return view_finished(finished)
    if job.spec.member != member:
        return None
    tasks = tuple(
        TaskView(
            task.task_id,
            task.stage.name,
            task.attempt,
            task.server_id,
            task.detail,
            explain(task.task_id),
        )
        for task in job.tasks[:_MAX_TASKS_SHOWN]
    )
    return view_job(job, tasks)


def oversize_reason(spec: JobSpec, fleet: Fleet) -> str:
    """Explain why the tasks of a job fit on no listed server.

    :returns: the dimensions that are too large and the largest server; empty
        if a task may fit or no server is listed.
    """
    rooms = [
        subtract_resources(
            server.vm.resources,
            fleet.reserved_by_service.get(server.vm.service, _NO_RESOURCES),
        )
        for server in fleet.server_by_id.values()
        if server.listed
    ]
    if not rooms or any(fits_resources(spec.resources, room) for room in rooms):
        return ''
    largest = Resources(*(max(column) for column in zip(*rooms, strict=True)))
    too_large = [
        f'{name} {needed} of at most {most}'
        for name, needed, most in zip(
            _DIMENSIONS, spec.resources, largest, strict=True
        )
        if needed > most
    ]
    reason = (
        ', '.join(too_large) or 'no single server has enough of every resource'
    )
    return f'larger than any server: {reason}'
