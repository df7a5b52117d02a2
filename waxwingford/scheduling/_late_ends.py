"""Ends that a server lists after their runs were settled without one.

A server may answer again after its leases have expired. The ends that it lists
must be counted before they are acknowledged. Otherwise a completed task would
start again, and a failing one would exceed its number of attempts.
"""

from waxwingford.scheduling._backend_client import EndReport
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._shard_state import ShardState
from waxwingford.scheduling._state import Run, RunPhase

#: Number of lost runs per task, newest first, whose late ends are counted.
MAX_LOST_RUNS = 8


def note_lost(state: ShardState, server: Server, run: Run) -> None:
    """Record a run that is settled without an end.

    Runs that were never sent, or whose server was replaced, are left out
    because no server will list their end.
    """
    found = state.find(run.key)
    may_be_listed = not server.replaced and run.phase is not RunPhase.planned
    if found is not None and may_be_listed:
        task = found[0]
        others = [one for one in task.lost_runs if one != run.key.run]
        task.lost_runs = [*others, run.key.run][-MAX_LOST_RUNS:]


def take_late_end(state: ShardState, server: Server, end: EndReport) -> bool:
    """Process a late end; each end counts once.

    :param end: end of a run that this owner doesn't track.
    :returns: whether the end counts.
    """
    found = state.find(end.run)
    if found is None or end.run.run not in found[0].lost_runs:
        return False
    task, step = found
    task.lost_runs.remove(end.run.run)
    state.mark(step, task)
    state.notes.add(
        'run.ended_late',
        end.run.task,
        run=end.run.run,
        server=server.entry.server_id,
        how=end.kind.value,
    )
    return step.job.ended is None
