"""Which runs on a draining server are stopped, and which are left to end there.

A server that is about to leave may say how long it stays. Runs that end by then lose
nothing; others are stopped at once, so that they go on elsewhere before it leaves.
"""

import math

from waxwingford.scheduling._disruption_budget import DisruptionBudget
from waxwingford.scheduling._job_estimates import expected_run_time_ms
from waxwingford.scheduling._remaining_times import remaining_ms
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._shard_state import ShardState
from waxwingford.scheduling._specs import MILLI_PER_CORE
from waxwingford.scheduling._state import Run, RunPhase, Step

#: A run is left on a draining server if this multiple of its expected remaining time,
#: plus a constant for its last answer, is over before the server leaves.
MARGIN_FACTOR = 1.25
MARGIN_MS = 100


def stop_on_draining(
    state: ShardState, server: Server, budget: DisruptionBudget, now_ms: int
) -> None:
    """Stop the runs that don't end before a draining server leaves.

    :param now_ms: current monotonic time, in ms.
    """
    chosen: list[tuple[Run, Step]] = []
    for run, step in choose_stops(state, server, now_ms):
        # Each stop counts against the budget of the next one.
        if budget.may_stop_on_draining(server, run, step, now_ms):
            run.stopping = True
            chosen.append((run, step))
    if server.drain_noted and not chosen:
        return
    server.drain_noted = True
    runs = server.run_by_key.values()
    state.notes.add(
        'server.draining',
        server.entry.server_id,
        remaining_ms=_notice_ms(server, now_ms),
        stopped=len(chosen),
        left=sum(not run.stopping for run in runs),
        lost_core_ms=sum(lost_core_ms(*pair, now_ms) for pair in chosen),
    )


def choose_stops(
    state: ShardState, server: Server, now_ms: int
) -> list[tuple[Run, Step]]:
    """Choose the runs to stop on a draining server.

    All stops because of a drain are chosen here. If the server doesn't say how long
    it stays, runs that can be stopped without a loss are chosen, as they would be
    restarted elsewhere only seconds after it has left.

    :param now_ms: current monotonic time, in ms.
    :returns: runs and their steps, those that lose the most work first.
    """
    chosen = [
        (run, server.step_by_run[key])
        for key, run in server.run_by_key.items()
        if run.phase is RunPhase.present
        and not run.stopping
        and _must_stop(state, server, run, now_ms)
    ]
    return sorted(
        chosen, key=lambda pair: lost_core_ms(*pair, now_ms), reverse=True
    )


def lost_core_ms(run: Run, step: Step, now_ms: int) -> int:
    """Compute the work that is lost if a present run is stopped.

    :param now_ms: current monotonic time, in ms.
    :returns: CPU time in core-milliseconds.
    """
    if step.spec.long_running or step.spec.writes_checkpoints:
        return 0
    run_ms = now_ms - run.phase_since_ms
    return run_ms * step.spec.needs.processors_milli // MILLI_PER_CORE


def _must_stop(
    state: ShardState, server: Server, run: Run, now_ms: int
) -> bool:
    step = server.step_by_run[run.key]
    saves = step.spec.long_running or step.spec.writes_checkpoints
    notice_ms = _notice_ms(server, now_ms)
    if notice_ms is None or step.spec.long_running:
        return saves
    run_time_ms = expected_run_time_ms(step, state.learned.run_times)
    left_ms = remaining_ms(run, run_time_ms, now_ms)
    if left_ms is None and notice_ms:
        # Nothing is known of a run that has taken longer than expected. It is
        # stopped only if that loses nothing.
        return saves
    needed_ms = math.inf if left_ms is None else left_ms
    return MARGIN_FACTOR * needed_ms + MARGIN_MS > notice_ms


def _notice_ms(server: Server, now_ms: int) -> int | None:
    """Time until a server leaves, in ms.

    :returns: ``None`` if it doesn't say, or still answers after that time.
    """
    if not server.leaves_ms:
        return None
    notice_ms = server.leaves_ms - now_ms
    if notice_ms <= 0 and server.failing_since_ms is None:
        return None
    return max(0, notice_ms)
