"""Tells of which services best-effort tasks wait for room on servers."""

from collections.abc import Iterator, Set

from waxwingford.ports import fits_resources
from waxwingford.scheduling._shard_state import ShardState
from waxwingford.scheduling._state import Step, Task

#: Pending time from which on a best-effort task counts as waiting for room, in ms.
WAITING_MS = 500


def waiting_services(
    state: ShardState, services: Set[str], now_ms: int
) -> set[str]:
    """Find the services whose best-effort tasks wait for nothing but room.

    Others would wait on idle servers too, and callers would be refused for them: tasks
    of steps with constraints or tickets, those that failed on servers, and those that
    are larger than any server.

    :param services: services to look at; the search ends when all of them are found.
    :param now_ms: current monotonic time, in ms.
    """
    waiting: set[str] = set()
    for step in _waiting_steps(state, now_ms):
        if services <= waiting:
            break
        queue = state.queue_of(step.job)
        if queue.service not in waiting and not queue.advised:
            if _fits_any(step, queue.service, state):
                waiting.add(queue.service)
    return waiting


def _waiting_steps(state: ShardState, now_ms: int) -> Iterator[Step]:
    """Yield steps of tasks that have waited.

    Tens of thousands of tasks may be pending, so one of each step is looked at.
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
        step = _find_step(state, task)
        if step is not None and _may_start(step):
            yield step


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


def _fits_any(step: Step, service: str, state: ShardState) -> bool:
    takes = step.spec.reserved_resources
    return any(
        server.entry.service == service
        and server.is_available
        and fits_resources(takes, server.entry.capacity)
        for server in state.server_by_id.values()
    )


__all__ = ('waiting_services',)
