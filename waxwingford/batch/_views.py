"""What members are shown of their jobs, and why a task waits."""

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

_NOTHING = Resources(0, 0, 0)
#: Tasks shown of one job.
_MAX_TASKS_SHOWN = 200
_DIMENSIONS = ('processors_milli', 'memory_mb', 'accelerators')


class TaskView(NamedTuple):
    """One task as its member sees it.

    :ivar task_id: id of the task.
    :ivar stage: its stage.
    :ivar attempt: number of its newest attempt.
    :ivar server_id: where that was claimed, empty before the first.
    :ivar detail: result or last reason.
    :ivar waits_for: why it is pending; empty if it is not.
    """

    task_id: str
    stage: str
    attempt: int
    server_id: str
    detail: str
    waits_for: str


class JobView(NamedTuple):
    """One job as its member sees it.

    :ivar job_id: id of the job.
    :ivar member: its owner.
    :ivar state: ``open``, ``cancelling`` or ``finished``.
    :ivar count_by_stage: tasks by the name of their stage.
    :ivar tasks: single tasks; empty in listings and for finished jobs.
    :ivar reasons: some reasons of failed tasks.
    """

    job_id: str
    member: str
    state: str
    count_by_stage: dict[str, int]
    tasks: tuple[TaskView, ...] = ()
    reasons: tuple[str, ...] = ()


def view_finished(job: FinishedJob) -> JobView:
    """View a finished job.

    :param job: what is kept of it.
    :returns: the view.
    """
    counts = {
        'done': job.done,
        'failed': job.failed,
        'cancelled': job.cancelled,
    }
    return JobView(
        job.job_id, job.member, 'finished', counts, reasons=job.reasons
    )


def view_job(job: JobState, tasks: tuple[TaskView, ...] = ()) -> JobView:
    """View a job that is not finished.

    :param job: the job.
    :param tasks: single tasks to show.
    :returns: the view.
    """
    counts = {stage.name: 0 for stage in TaskStage}
    for task in job.tasks:
        counts[task.stage.name] += 1
    state = 'cancelling' if job.cancelled else 'open'
    return JobView(job.spec.job_id, job.spec.member, state, counts, tasks)


def list_jobs(state: DomainState, member: str) -> list[JobView]:
    """List a member's jobs.

    :param state: state replayed from the domain's stream.
    :param member: member that owns the jobs.
    :returns: views without single tasks; finished jobs last.
    """
    return [
        *(
            view_job(job)
            for job in state.jobs_by_id.values()
            if job.spec.member == member
        ),
        *(
            view_finished(job)
            for job in state.finished.kept_by_id.values()
            if job.member == member
        ),
    ]


def find_job(
    state: DomainState,
    job_id: str,
    member: str,
    why: Callable[[str], str],
) -> JobView | None:
    """Show one job.

    :param state: state replayed from the domain's stream.
    :param job_id: id of the job.
    :param member: member that makes the request.
    :param why: says why a task waits, by its id.
    :returns: the view with its first tasks; nothing if the member has no
        such job.
    """
    job = state.jobs_by_id.get(job_id)
    if job is None:
        finished = state.finished.kept_by_id.get(job_id)
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
            why(task.task_id),
        )
        for task in job.tasks[:_MAX_TASKS_SHOWN]
    )
    return view_job(job, tasks)


def never_fits(spec: JobSpec, fleet: Fleet) -> str:
    """Tell whether a task is larger than every server that exists.

    :param spec: the job.
    :param fleet: all servers listed; while none is, nothing is said.
    :returns: which dimension and the largest server; empty if it may fit.
    """
    rooms = [
        subtract_resources(
            server.vm.resources,
            fleet.reserved_by_service.get(server.vm.service, _NOTHING),
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
    reason = ', '.join(too_large) or 'no single server has all of it'
    return f'larger than any server: {reason}'
