"""Decides what becomes of tasks that are suspected of crashing their servers.

A job fails only for crashes that are known: another incarnation proves that the
server has crashed, a run of the task is known to have begun there, and nothing
kept the owner from learning in time that the run had ended or the server had left
as planned. A loss that only seems to be a crash is never a reason: the server may
answer again, which withdraws the suspicion. A task that is suspected of too many
losses is held instead: it isn't started until one of them is explained.
"""

from waxwingford.scheduling._backend_client import RunKey
from waxwingford.scheduling._crashes import (
    has_many_suspicions,
    hold_suspects,
    many_losses,
    note_suspicion,
)
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._shard_state import ShardState, UnjudgedLoss
from waxwingford.scheduling._state import EndReason, JobPhase, Step, Task
from waxwingford.scheduling._suspected_crashes import SuspectedCrash

#: Servers that have to be known to have crashed under a task before its job fails.
MIN_CRASHED_SERVERS = 2
#: Evidence of known crashes at which the job fails.
FAIL_EVIDENCE = 4
#: The same while servers are lost by themselves as well.
UNSETTLED_FAIL_EVIDENCE = 5
#: The same if another task may have caused the latest crash.
SHARED_FAIL_EVIDENCE = 8


def judge_losses(state: ShardState, now_ms: int, late: bool) -> None:
    """Judge the losses of servers since the last decision.

    :param now_ms: current monotonic time, in ms.
    :param late: whether the owner reads the answers of servers late.
    """
    records = state.crash_records
    interrupted_ms = records.interruptions.interrupted_ms
    known_since_ms = -1 if interrupted_ms is None else interrupted_ms
    for loss in records.take_unjudged():
        if loss.planned_ms > known_since_ms and not late:
            _confirm(state, loss)
        records.undecided.add(loss.key)
    for key in records.take_undecided():
        found = state.find(key)
        if found is not None:
            _decide(state, *found, now_ms + state.wall_offset_ms)


def review_suspects(state: ShardState, server: Server, sent_ms: int) -> None:
    """Withdraw or confirm suspected crashes of a server that answers.

    :param server: incarnation that has answered a poll.
    :param sent_ms: monotonic time in ms at which the poll was sent.
    """
    if sent_ms < server.lost_ms:
        # The answer may be older than the loss.
        return
    for task, step in state.crash_records.suspects_of(server.entry.server_id):
        _withdraw(state, task, step, server)
        _confirm_by_start(state, task, step, server)


def _confirm(state: ShardState, loss: UnjudgedLoss) -> None:
    found = state.find(loss.key)
    if found is None:
        return
    task, step = found
    task.suspected_crashes = tuple(
        one._replace(known=loss.proven, lease_end_ms=loss.lease_end_ms)
        if one.run == loss.key.run
        else one
        for one in task.suspected_crashes
    )
    state.mark(step, task)


def _withdraw(
    state: ShardState, task: Task, step: Step, server: Server
) -> None:
    """Withdraw the suspicion of a crash of an incarnation that is up."""
    left = tuple(
        one
        for one in task.suspected_crashes
        if one.server != server.incarnation
    )
    if len(left) == len(task.suspected_crashes):
        return
    task.suspected_crashes = left
    note_suspicion(task, step)
    state.mark(step, task)
    state.notes.add(
        'task.suspicion_withdrawn',
        task.key,
        server=server.entry.server_id,
        evidence=task.crash_evidence,
    )
    hold_suspects(state, task, step)


def _confirm_by_start(
    state: ShardState, task: Task, step: Step, server: Server
) -> None:
    """Confirm crashes of former incarnations by the start of the present one.

    If it started before the leases there were over, the former one ended while its
    runs were there.
    """
    crashes = tuple(
        one._replace(known=one.known or _is_proven_by(server, one))
        for one in task.suspected_crashes
    )
    if crashes != task.suspected_crashes:
        task.suspected_crashes = crashes
        state.mark(step, task)
        state.crash_records.undecided.add(RunKey(task.key, crashes[-1].run))


def _is_proven_by(server: Server, suspected: SuspectedCrash) -> bool:
    server_id, started_ms = server.incarnation
    former = suspected.server
    started_later = former.started_ms < started_ms <= suspected.lease_end_ms
    return former.server_id == server_id and started_later


def _decide(state: ShardState, task: Task, step: Step, wall_ms: int) -> None:
    """Fail the job of a task if its known crashes suffice, else hold or release it.

    With too many known crashes the task isn't tried again, so no others follow.

    :param wall_ms: current Unix time, in ms.
    """
    known = [one for one in task.suspected_crashes if one.known]
    crashed = {one.server for one in known}
    evidence = sum(one.evidence for one in known)
    required = _fail_evidence(state, known, wall_ms)
    suffices = evidence >= required or has_many_suspicions(known)
    if len(crashed) < MIN_CRASHED_SERVERS or not suffices:
        hold_suspects(state, task, step)
        return
    state.notes.add('task.given_up', task.key, evidence=evidence)
    state.finish(
        step.job,
        JobPhase.failed,
        EndReason.crashes,
        task=str(task.key),
        run=known[-1].run,
        evidence=evidence,
        fail_evidence=required,
        losses=[one.note_fields() for one in task.suspected_crashes],
    )


def _fail_evidence(
    state: ShardState, known: list[SuspectedCrash], wall_ms: int
) -> int:
    """Evidence that known crashes, oldest first, need to fail a job."""
    if known and not known[-1].alone:
        return SHARED_FAIL_EVIDENCE
    uncaused = state.crash_records.losses.count_uncaused(wall_ms)
    if uncaused >= many_losses(state):
        return UNSETTLED_FAIL_EVIDENCE
    return FAIL_EVIDENCE
