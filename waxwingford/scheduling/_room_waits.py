"""Tells of which services best-effort tasks wait for room on servers."""

import functools
from collections.abc import Iterator, Set

from waxwingford.scheduling._containment import attempt
from waxwingford.scheduling._room_checks import RoomChecks
from waxwingford.scheduling._shard_state import ShardState
from waxwingford.scheduling._state import Step, Task

#: Pending time from which on a best-effort task counts as waiting for room, in ms.
WAITING_MS = 500


def waiting_services(
    state: ShardState,
    services: Set[str],
    checks: RoomChecks,
    left_out: set[str],
    now_ms: int,
) -> set[str]:
    """Find the services whose best-effort tasks wait for nothing but room.

    Others would wait on idle servers too, and callers would be refused for them: tasks
    of steps with constraints or tickets, those that failed on servers, and those that
    fit on no server beside its long-running tasks.

    :param services: services to look at; the search ends when all of them are found.
    :param left_out: jobs that aren't looked at; those that fail are added.
    :param now_ms: current monotonic time, in ms.
    """
    waiting: set[str] = set()
    for task in _waiting_tasks(state, now_ms):
        if services <= waiting:
            break
        job_id = task.key.job_id
        if job_id not in left_out:
            find = functools.partial(_add_service, waiting, state, task, checks)
            if not attempt(state.notes, 'admit', job_id, find):
                left_out.add(job_id)
    return waiting


def _waiting_tasks(state: ShardState, now_ms: int) -> Iterator[Task]:
    """Yield tasks that have waited, one of each step.

    Tens of thousands of tasks may be pending, so not all of them are looked at.
    """
    latest_ms = now_ms - WAITING_MS
    seen: set[tuple[str, int, int]] = set()
    waited = (
        task
        for task in state.pending_by_key.values()
        if task.best_effort and task.pending_since_ms <= latest_ms
    )
    for task in waited:
        step_key = task.key[:-1]
        if step_key in seen or _is_hindered(task, now_ms):
            continue
        seen.add(step_key)
        yield task


def _add_service(
    waiting: set[str], state: ShardState, task: Task, checks: RoomChecks
) -> None:
    """Add the service of a task that waits for nothing but room."""
    step = _find_step(state, task)
    if step is None or not _may_start(step):
        return
    queue = state.queue_of(step.job)
    takes = step.spec.reserved_resources
    if not queue.advised and checks.fits_beside(takes, queue.service):
        waiting.add(queue.service)


def _is_hindered(task: Task, now_ms: int) -> bool:
    """Whether a task waits for more than room, after a loss, failure or refusal."""
    return task.may_crash or bool(task.avoided) or task.not_before_ms > now_ms


def _find_step(state: ShardState, task: Task) -> Step | None:
    job_id, occurrence, index, _ = task.key
    job = state.job_by_id.get(job_id)
    return None if job is None else job.steps_by_occurrence[occurrence][index]


def _may_start(step: Step) -> bool:
    spec, job = step.spec, step.job
    constrained = spec.label or spec.gang or spec.max_per_server
    return not (constrained or job.blocked or job.ended is not None)


__all__ = ('waiting_services',)
