"""Run times that the progress of runs tells."""

from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._shard_state import ShardState
from waxwingford.scheduling._state import Run

#: Progress of a step, in tasks, from which on its run time is learned.
LEARNED_PROGRESS = 0.8
#: Longest time between two listings of a run, in ms, for which it counts as being
#: without progress. In a longer one its server, or the link to it, was interrupted.
MAX_LISTING_GAP_MS = 1500
_FULL_PERCENT = 100


def observe_progress(
    state: ShardState, server: Server, run: Run, percent: float, now_ms: int
) -> None:
    """Learn from the progress of a run since it was listed last.

    The time between two listings is that of the server's clock, as the owner may read
    a listing late.

    :param server: server that has just answered.
    :param run: run with the progress that was listed last.
    :param percent: progress that is listed now.
    :param now_ms: current monotonic time, in ms.
    """
    since_ms = run.listed_ms
    run.listed_ms = now_ms
    if percent != run.percent:
        run.still_ms = 0
    elif since_ms:
        run.still_ms += min(now_ms - since_ms, MAX_LISTING_GAP_MS)
    since_clock_ms = run.listed_clock_ms
    run.listed_clock_ms = server.latest_clock_ms
    step = server.step_by_run[run.key]
    if not since_ms or run.pace is None or step.spec.long_running:
        return
    if run.incarnation != server.incarnation:
        # The former one, which had another clock, has listed it before.
        return
    known = step.progress >= LEARNED_PROGRESS
    elapsed_ms = server.latest_clock_ms - since_clock_ms
    attained_ms = elapsed_ms * run.pace / _FULL_PERCENT
    progress = max(0, percent - run.percent) / _FULL_PERCENT
    run.attained_ms += attained_ms
    run.progress += progress
    step.attained_ms += attained_ms
    step.progress += progress
    observed_ms = step.observed_ms
    if known or observed_ms is None or step.progress < LEARNED_PROGRESS:
        return
    queue = step.job.spec.queue
    state.learned.run_times.learn(queue, step.spec.estimate_ms, observed_ms)
