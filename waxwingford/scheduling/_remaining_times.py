"""Expected remaining times of runs, from the progress that servers list."""

import math

from waxwingford.scheduling._state import Run, RunPhase

#: Time between listings from which on the speed of a run is measured, in ms. Progress
#: is listed in percent, and over less time its rounding shows.
MIN_MEASURED_MS = 200
#: The same as a share of the expected run time, before a run without progress counts
#: as standing still: listings in whole percent may show 0 for 1% of it.
MIN_STILL_SHARE = 0.02
#: Longest time that a run takes to restore a checkpoint, in ms, without progress.
RESTORE_MS = 600
FULL_PERCENT = 100


def remaining_ms(run: Run, run_time_ms: float, now_ms: int) -> float | None:
    """Expect how long a run still takes.

    :param run_time_ms: expected run time at full speed in ms, 0 if unknown.
    :param now_ms: current monotonic time, in ms.
    :returns: time in ms, infinite if the run makes no progress; ``None`` if it can't
        be told.
    """
    measured_ms, gained = _measured(run)
    pace = run.pace or 0
    if gained <= 0 and measured_ms >= _min_still_ms(run, run_time_ms):
        return math.inf
    if not pace:
        # The pace is 0 or unknown.
        return None
    if measured_ms >= MIN_MEASURED_MS and gained > 0:
        full_speed_ms = (1 - run.percent / FULL_PERCENT) * measured_ms / gained
        left_ms = full_speed_ms * FULL_PERCENT / pace
        return max(0, left_ms - (now_ms - run.listed_ms))
    run_ms = now_ms - run.phase_since_ms
    left_ms = run_time_ms * FULL_PERCENT / pace - run_ms
    return left_ms if left_ms > 0 else None


def _min_still_ms(run: Run, run_time_ms: float) -> float:
    restore_ms = RESTORE_MS if run.resumed else 0
    return max(MIN_MEASURED_MS, MIN_STILL_SHARE * run_time_ms + restore_ms)


def _measured(run: Run) -> tuple[float, float]:
    """Return the time that a run has had at full speed, and its progress in it.

    :returns: time in ms, and progress as a share of the task.
    """
    whole = not (run.adopted or run.resumed or run.paced_ms)
    if whole and run.phase is RunPhase.present and run.listed_ms:
        # One listing is enough, as the run began with nothing.
        return run.listed_ms - run.phase_since_ms, run.percent / FULL_PERCENT
    return run.attained_ms, run.progress
