"""Detection of tasks that crash their servers.

A task is assumed to crash its server right after its start, so the runs that
began shortly before the loss of a server are suspected. A suspect starts alone on
its next server (see ``Isolation``). If that server stays up, the suspect is cleared.
What becomes of a suspect otherwise is decided in ``_job_failures``.

A server that crashes before it has answered a start may never have begun the run.
Such a loss is no evidence, so that crashes of servers by themselves can't fail a
job. After several of them the task starts alone and less and less often.
"""

from collections.abc import Sequence

from waxwingford.scheduling._backend_client import TaskKey
from waxwingford.scheduling._losses import Crash, Loss, LossProof
from waxwingford.scheduling._servers import (
    CLOCK_DRIFT,
    Server,
    is_leaving,
)
from waxwingford.scheduling._shard_state import ShardState, UnjudgedLoss
from waxwingford.scheduling._state import (
    NEVER_MS,
    Run,
    RunPhase,
    Step,
    Task,
)
from waxwingford.scheduling._suspected_crashes import SuspectedCrash

#: Time by the server's clock after which a server has outlived a start, in ms.
#: A suspect occupies its server alone for this time.
OUTLIVED_MS = 300
#: Evidence added when a server is lost right after it started the task; less if
#: many servers are silent, as in a partition or if the owner couldn't extend
#: their leases, or if another server was lost together with it; none if more were.
CRASH_EVIDENCE = 2
WEAK_EVIDENCE = 1
#: Share of silent servers above which the smaller evidence is added, of servers
#: lost together with one above which none is, and of servers lost by themselves
#: above which more is needed.
MAX_SILENT_SHARE = 0.125
MIN_MANY_LOSSES = 2
#: Evidence, and number of starts lost without an answer, at which a task becomes a
#: suspect and starts alone.
SUSPECT_EVIDENCE = 2
SUSPECT_LOST_STARTS = 2
#: Suspected crashes of a task that are kept, the latest. With so many, or with this
#: evidence, the task is held.
MAX_SUSPECTED_CRASHES = 4
HOLD_EVIDENCE = 8
#: Difference that is allowed for between the Unix times of two VMs, in ms.
CLOCK_TOLERANCE_MS = 500
#: Delay before the start of a task that has become a suspect in this way is repeated,
#: in ms; it doubles with each further one, up to the maximum.
LOST_START_DELAY_MS = 125
MAX_LOST_START_DELAY_MS = 2000


def record_loss(
    state: ShardState, server: Server, suspects: list[Run], now_ms: int
) -> Crash:
    """Record the loss of a server.

    :param suspects: runs that may have crashed it.
    :param now_ms: current monotonic time, in ms.
    """
    loss = _describe_loss(state, server, suspects)
    losses = state.crash_records.losses
    losses.add(loss, now_ms)
    wall_ms = now_ms + state.wall_offset_ms
    caused = suspects or is_suspected_of(state, server)
    if not (caused or server.entry.draining):
        losses.add_uncaused(wall_ms)
    return Crash(
        loss,
        _proof_of_loss(server),
        _count_causes(state, suspects),
        now_ms - server.polled_ms if server.polled_ms >= 0 else None,
    )


def find_suspects(server: Server) -> list[Run]:
    """List the runs that may have crashed a server.

    :returns: runs that may have begun and that the server isn't known to have
        outlived; none if it was about to leave.
    """
    if is_leaving(server):
        return []
    return [
        run
        for run in map(server.run_by_key.__getitem__, server.recent_starts)
        if run.phase is not RunPhase.planned and not _was_outlived(server, run)
    ]


def add_evidence(
    state: ShardState,
    server: Server,
    suspects: Sequence[Run],
    crash: Crash,
    now_ms: int,
) -> list[TaskKey]:
    """Add evidence to the tasks that may have crashed a server.

    The next decision judges it.

    :param now_ms: current monotonic time, in ms.
    :returns: tasks to which evidence was added.
    """
    if not suspects:
        return []
    begun = [run for run in suspects if _has_begun(run)]
    for run in suspects:
        if run not in begun:
            _add_lost_start(state, run, now_ms)
    seeming = _seeming_losses(state)
    failed = crash.proven or not server.registered or _few_are_silent(state)
    suspected = []
    for run in begun:
        companions = state.crash_records.losses.count_companions(
            crash.loss, run.key.task.job_id, seeming
        )
        strong = failed and not companions
        evidence = CRASH_EVIDENCE if strong else WEAK_EVIDENCE
        if companions < many_losses(state):
            _suspect(state, server, run, evidence, crash, len(suspects))
            suspected.append(run.key.task)
        else:
            _excuse(state, run, companions)
    return suspected


def _suspect(
    state: ShardState,
    server: Server,
    run: Run,
    evidence: int,
    crash: Crash,
    suspects: int,
) -> None:
    """Suspect the task of a run of a crash.

    :param server: server that was lost.
    :param suspects: number of runs that may have caused the crash.
    """
    found = state.find(run.key)
    if found is None:
        return
    task, step = found
    suspected = SuspectedCrash(
        run.key.run, run.incarnation, evidence, alone=crash.causes == 1
    )
    others = [one for one in task.suspected_crashes if one.run != run.key.run]
    latest = [*others, suspected][-MAX_SUSPECTED_CRASHES:]
    task.suspected_crashes = tuple(latest)
    note_suspicion(task, step)
    state.crash_records.add_suspect(task, step)
    state.crash_records.unjudged.append(
        UnjudgedLoss(
            run.key,
            crash.proven,
            run.planned_ms,
            _lease_end_ms(state, server, run) + state.wall_offset_ms,
        )
    )
    state.mark(step, task)
    state.notes.add(
        'task.suspected',
        task.key,
        run=run.key.run,
        server=run.server_id,
        started_ms=run.incarnation.started_ms,
        evidence=task.crash_evidence,
        suspects=suspects,
        replaced=crash.proven,
        proof=crash.proof.value,
        polled_age_ms=crash.polled_age_ms,
        closed_after_ms=_closed_after_ms(run, crash),
    )


def _lease_end_ms(state: ShardState, server: Server, run: Run) -> int:
    """Earliest end of the latest lease that a server is known to have got.

    :returns: monotonic time in ms, less what the clocks of two VMs may differ.
    """
    granted_ms = max(server.polled_ms, run.planned_ms)
    length_ms = state.crash_records.lease_ms * (1 - CLOCK_DRIFT)
    return granted_ms + int(length_ms) - CLOCK_TOLERANCE_MS


def _add_lost_start(state: ShardState, run: Run, now_ms: int) -> None:
    """Count a start whose server was lost before it answered.

    :param now_ms: current monotonic time, in ms.
    """
    found = state.find(run.key)
    if found is None:
        return
    task, step = found
    task.lost_starts += 1
    note_suspicion(task, step)
    repeated = task.lost_starts - SUSPECT_LOST_STARTS
    if repeated >= 0:
        delay_ms = LOST_START_DELAY_MS << repeated
        task.delay(now_ms + min(delay_ms, MAX_LOST_START_DELAY_MS))
    state.notes.add(
        'task.start_lost',
        task.key,
        run=run.key.run,
        server=run.server_id,
        lost_starts=task.lost_starts,
    )


def many_losses(state: ShardState) -> float:
    """Number of losses from which on servers are lost for one reason of their own."""
    return max(MIN_MANY_LOSSES, len(state.server_by_id) * MAX_SILENT_SHARE)


def _excuse(state: ShardState, run: Run, companions: int) -> None:
    """Note that a loss doesn't speak against the task of a run.

    :param companions: number of servers lost together with that of the run.
    """
    found = state.find(run.key)
    if found is None:
        return
    task = found[0]
    task.excused_losses += 1
    state.notes.add(
        'task.excused',
        task.key,
        run=run.key.run,
        server=run.server_id,
        evidence=task.crash_evidence,
        companions=companions,
    )


def clear_outlived(state: ShardState, server: Server) -> None:
    """Clear the suspicion of tasks whose start a server has outlived.

    :param server: server that has just answered.
    """
    for key in list(server.recent_starts):
        run = server.run_by_key[key]
        lived_ms = server.outlived_ms(run)
        if lived_ms is None or lived_ms < OUTLIVED_MS:
            continue
        run.outlived = True
        server.recent_starts.discard(key)
        found = state.find(key)
        if found is not None:
            task, step = found
            state.crash_records.outlived_by_key[key.task] = found
            if task.suspected_crashes:
                state.notes.add(
                    'task.cleared', key.task, evidence=task.crash_evidence
                )
            clear_suspicion(state, task, step)
            task.excused_losses = 0


def _seeming_losses(state: ShardState) -> list[Loss]:
    return [
        _describe_loss(state, server, find_suspects(server))
        for server in state.server_by_id.values()
        if server.failing_since_ms is not None
    ]


def _describe_loss(
    state: ShardState, server: Server, suspects: list[Run]
) -> Loss:
    found_tasks = [state.find(run.key) for run in suspects]
    tasks = [found[0] for found in found_tasks if found is not None]
    return Loss(
        server.entry.server_id,
        server.connection_lost_ms,
        frozenset(task.key.job_id for task in tasks),
        any(task.suspected_crashes or task.excused_losses for task in tasks),
    )


def _count_causes(state: ShardState, suspects: list[Run]) -> int:
    """Count the suspects; the members of a gang count as one."""
    found_by_key = {run.key: state.find(run.key) for run in suspects}
    causes = {
        suspect_key(key.task, found[1])
        for key, found in found_by_key.items()
        if found is not None
    }
    return max(1, len(causes))


def _has_begun(run: Run) -> bool:
    """Whether the owner, or a previous one, knows that a run has begun."""
    return run.accepted or run.started_server_clock_ms is not None


def is_suspected_of(state: ShardState, server: Server) -> bool:
    """Whether a task is suspected of having crashed an incarnation."""
    return any(
        one.server == server.incarnation
        for task, _ in state.crash_records.suspects_of(server.entry.server_id)
        for one in task.suspected_crashes
    )


def _few_are_silent(state: ShardState) -> bool:
    servers = state.server_by_id.values()
    silent = sum(server.failing_since_ms is not None for server in servers)
    return silent <= max(1, len(servers) * MAX_SILENT_SHARE)


def _proof_of_loss(server: Server) -> LossProof:
    if server.replaced:
        return LossProof.replaced
    return LossProof.silent if server.registered else LossProof.unregistered


def _closed_after_ms(run: Run, crash: Crash) -> int | None:
    """Time from the acceptance of a start to the closing of the connections.

    :returns: time in ms, ``None`` if they weren't closed, or the start wasn't
        known to be accepted.
    """
    closed_ms = crash.loss.closed_ms
    if closed_ms is None or run.phase is not RunPhase.present:
        return None
    return closed_ms - run.phase_since_ms


def _was_outlived(server: Server, run: Run) -> bool:
    """Whether the server lost its connections only after outliving the run.

    Its last answer may be much older, and runs that began since then would be
    suspected without need.
    """
    if server.connection_lost_ms is None or run.phase is not RunPhase.present:
        return False
    return server.connection_lost_ms - run.phase_since_ms >= OUTLIVED_MS


def hold_suspects(state: ShardState, task: Task, step: Step) -> None:
    """Hold or release a task according to its suspected crashes.

    The members of a gang are held together.
    """
    index = task.key.index
    held = bool(step.holding) if step.spec.gang else index in step.holding
    if held == task.held:
        return
    for one in step.tasks if step.spec.gang else [task]:
        one.not_before_ms = NEVER_MS if held else 0
    state.notes.add(
        'task.held' if held else 'task.released',
        task.key,
        crashes=[one.note_fields() for one in task.suspected_crashes],
    )


def clear_suspicion(state: ShardState, task: Task, step: Step) -> None:
    """Clear a task of suspected crashes, as a server has survived a run of it."""
    if not task.may_crash:
        return
    crashes = task.suspected_crashes
    task.lost_starts = 0
    task.suspected_crashes = ()
    note_suspicion(task, step)
    if crashes:
        state.mark(step, task)
        hold_suspects(state, task, step)


def has_many_suspicions(crashes: Sequence[SuspectedCrash]) -> bool:
    """Whether a task with these crashes isn't to be tried again."""
    evidence = sum(one.evidence for one in crashes)
    return len(crashes) >= MAX_SUSPECTED_CRASHES or evidence >= HOLD_EVIDENCE


def note_suspicion(task: Task, step: Step) -> None:
    """Note in a step whether one of its tasks is suspected, after a change."""
    index = task.key.index
    _include(step.suspects, index, _is_suspected(task))
    many = has_many_suspicions(task.suspected_crashes)
    _include(step.holding, index, many)


def mark_outlived(state: ShardState) -> None:
    """Mark the tasks with newly outlived starts to be stored."""
    for task, step in state.crash_records.outlived_by_key.values():
        state.mark(step, task)
    state.crash_records.outlived_by_key.clear()


def is_suspect(task: Task, step: Step) -> bool:
    """Whether a task is suspected of crashing its servers.

    :returns: whether the task or another member of its gang is suspected.
    """
    if step.spec.gang:
        return bool(step.suspects)
    if not (task.suspected_crashes or task.lost_starts):
        # Each placement asks, and most tasks are suspected of nothing.
        return False
    return _is_suspected(task)


def _is_suspected(task: Task) -> bool:
    return (
        task.crash_evidence >= SUSPECT_EVIDENCE
        or task.lost_starts >= SUSPECT_LOST_STARTS
    )


def _include(indices: set[int], index: int, included: bool) -> None:
    if included:
        indices.add(index)
    else:
        indices.discard(index)


def suspect_key(key: TaskKey, step: Step) -> TaskKey:
    """Key under which a task is suspected; members of a gang share one.

    :returns: key of the task, or of the first task of its gang.
    """
    return step.tasks[0].key if step.spec.gang else key
