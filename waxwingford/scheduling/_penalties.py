"""Excludes backend servers from placement after failed or stalled runs.

Each failed run adds to a decaying penalty of its server. A server whose penalty
reaches the threshold gets no starts for a while, unless it is the last one for
a pending task.
"""

from waxwingford.ports import fits_resources
from waxwingford.scheduling._eligibility import eligible, matches
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._shard_state import ShardState
from waxwingford.scheduling._state import Step

#: Penalties for one failed and for one stalled run.
FAILED_RUN_PENALTY = 1.0
STALLED_RUN_PENALTY = 2.0
#: Penalty from which on a server is excluded.
PENALTY_THRESHOLD = 2.5
EXCLUSION_MS = 4000
#: Exclusion of the last server that can run a pending task, in ms.
LAST_SERVER_EXCLUSION_MS = 1000
#: Factor of the penalty for a run that succeeded.
SUCCESS_PENALTY_FACTOR = 0.6
#: Half-life of the penalty, in ms. Occasional failures, as of long-running
#: tasks that never succeed, must not add up to the threshold.
PENALTY_HALF_LIFE_MS = 20_000


def penalize_server(server: Server, penalty: float, now_ms: int) -> None:
    """Add a penalty, and exclude the server at the threshold.

    A single failure never excludes a server, as a job may fail everywhere.

    :param server: server on which a run failed or stalled.
    :param now_ms: current monotonic time, in ms.
    """
    decay_penalty(server, now_ms)
    server.penalty += penalty
    if server.penalty >= PENALTY_THRESHOLD:
        server.excluded_until_ms = now_ms + EXCLUSION_MS
        server.penalty = PENALTY_THRESHOLD / 2


def decay_penalty(server: Server, now_ms: int) -> None:
    """Decay the penalty of a server.

    :param now_ms: current monotonic time, in ms.
    """
    elapsed_ms = now_ms - server.penalty_updated_ms
    server.penalty_updated_ms = now_ms
    if server.penalty:
        server.penalty *= 0.5 ** (elapsed_ms / PENALTY_HALF_LIFE_MS)


def readmit_last_servers(state: ShardState, now_ms: int) -> None:
    """Readmit servers that are the last ones for a pending task.

    Applies after ``LAST_SERVER_EXCLUSION_MS``. Of several excluded servers only
    the one with the lowest penalty is readmitted.

    :param now_ms: current monotonic time, in ms.
    """
    available = [
        server for server in state.server_by_id.values() if server.is_available
    ]
    excluded = [
        server
        for server in available
        if server.refusal_backoff_until_ms <= now_ms < server.excluded_until_ms
        and server.excluded_until_ms - now_ms
        <= EXCLUSION_MS - LAST_SERVER_EXCLUSION_MS
    ]
    if not excluded:
        return
    included = [
        server for server in available if server.no_starts_until_ms <= now_ms
    ]
    for step in _pending_steps(state):
        # Check the few excluded servers first: many steps may be pending.
        candidates = _with_room(state, step, excluded)
        if candidates and not _has_alternative(state, step, included):
            readmitted = min(candidates, key=lambda server: server.penalty)
            readmitted.excluded_until_ms = now_ms
            excluded.remove(readmitted)
            included.append(readmitted)


def _pending_steps(state: ShardState) -> list[Step]:
    step_by_name: dict[str, Step] = {}
    for task in state.pending_by_key.first_tasks():
        job = state.job_by_id.get(task.key.job_id)
        if job is not None and job.ended is None:
            step = job.steps_by_occurrence[task.key.occurrence][task.key.step]
            step_by_name[step.name] = step
    return list(step_by_name.values())


def _has_alternative(
    state: ShardState, step: Step, included: list[Server]
) -> bool:
    """Tell whether a step can wait for a server that isn't excluded.

    Long-running tasks need free resources now. Others can wait for resources
    that finishing tasks release.

    :param included: available servers that aren't excluded.
    """
    if step.spec.long_running:
        return bool(_with_room(state, step, included))
    service = state.queue_of(step.job).service
    return any(
        matches(step, service, server)
        and fits_resources(step.spec.reserved_resources, server.entry.capacity)
        for server in included
    )


def _with_room(
    state: ShardState, step: Step, servers: list[Server]
) -> list[Server]:
    service = state.queue_of(step.job).service
    return [
        server
        for server in eligible(step, service, servers)
        if fits_resources(step.spec.reserved_resources, server.free_resources)
    ]
