"""Detection of runs that take longer than a new run elsewhere would."""

import math
from typing import NamedTuple

from waxwingford.scheduling._job_estimates import expected_run_time_ms
from waxwingford.scheduling._remaining_times import FULL_PERCENT, remaining_ms
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._shard_state import ShardState
from waxwingford.scheduling._state import (
    MIN_OBSERVED_PROGRESS,
    Run,
    RunPhase,
    Step,
    Task,
)

#: A run is compared with the others of its step once it has taken this multiple of
#: their run time, and this much longer, in ms.
SLOW_FACTOR = 1.5
MIN_SLOW_MS = 300
#: Other tasks of the step that are done or listed with this progress, in percent,
#: without which a run isn't slow by comparison.
MIN_COMPARED_TASKS = 2
ADVANCED_PERCENT = 50
#: Time without progress after which a run has stalled while others progress, in ms;
#: longer for a run that restores a checkpoint first.
STALLED_MS = 600
STALLED_RESTORE_MS = 1200
#: Time between the decision to copy a run and the begin of the copy, in ms.
START_DELAY_MS = 100
#: A copy is useful only while a failure of each run leaves the job alive.
MIN_ATTEMPTS_LEFT = 2


class Lag(NamedTuple):
    """How much longer a run takes than a new one.

    :ivar age_ms: time since the run began, in ms.
    :ivar left_ms: time that it is expected to take still, in ms.
    :ivar copy_ms: time that a new run is expected to take, in ms.
    """

    age_ms: int
    left_ms: float
    copy_ms: float


def copyable(task: Task, most_attempts: int, now_ms: int) -> bool:
    """Whether a task may get a second run.

    :param most_attempts: number of failed runs after which its job fails.
    :param now_ms: current monotonic time, in ms.
    """
    runs = list(task.run_by_number.values())
    if len(runs) != 1 or task.done or task.may_crash:
        return False
    if runs[0].phase is not RunPhase.present or runs[0].stopping:
        return False
    attempts_left = most_attempts - task.failures
    return attempts_left >= MIN_ATTEMPTS_LEFT and task.not_before_ms <= now_ms


class StragglerDetector:
    """Tells stragglers by the progress that servers list."""

    def __init__(self, state: ShardState) -> None:
        self._state = state

    def lag(
        self, run: Run, step: Step, now_ms: int, timely: bool
    ) -> Lag | None:
        """Compare a present run with a new one.

        :param now_ms: current monotonic time, in ms.
        :param timely: whether a server that seems silent is.
        :returns: ``None`` if a new run isn't expected to end sooner.
        """
        age_ms = now_ms - run.phase_since_ms
        server = self._state.server_by_id.get(run.server_id)
        if server is None or age_ms < MIN_SLOW_MS:
            return None
        run_time_ms = self._run_time_ms(run, step)
        copy_ms = run_time_ms + START_DELAY_MS
        if _has_stalled(run, server, now_ms, timely):
            if self._others_progress(server, now_ms):
                return Lag(age_ms, math.inf, copy_ms)
            return None
        slow_ms = max(SLOW_FACTOR * run_time_ms, run_time_ms + MIN_SLOW_MS)
        if age_ms <= slow_ms or not _is_comparable(run, step):
            return None
        left_ms = remaining_ms(run, run_time_ms, now_ms)
        if left_ms is None or left_ms <= copy_ms:
            return None
        return Lag(age_ms, left_ms, copy_ms)

    def _run_time_ms(self, run: Run, step: Step) -> float:
        """Expected run time of the other tasks of a step, in ms."""
        progress = step.progress - run.progress
        attained_ms = step.attained_ms - run.attained_ms
        if progress >= MIN_OBSERVED_PROGRESS and attained_ms > 0:
            return attained_ms / progress
        return expected_run_time_ms(step, self._state.learned.run_times)

    def _others_progress(self, server: Server, now_ms: int) -> bool:
        """Whether a run on another server has progressed lately."""
        return any(
            now_ms - run.progress_changed_ms < STALLED_MS
            for other in self._state.server_by_id.values()
            if other is not server
            for run in other.run_by_key.values()
            if run.phase is RunPhase.present and run.listed_ms
        )


def _has_stalled(run: Run, server: Server, now_ms: int, timely: bool) -> bool:
    restores = run.resumed and not run.progress
    stalled_ms = STALLED_RESTORE_MS if restores else STALLED_MS
    if server.failing_since_ms is not None:
        return timely and now_ms - server.failing_since_ms >= stalled_ms
    still_ms = run.listed_ms - run.progress_changed_ms
    return still_ms >= stalled_ms and run.percent < FULL_PERCENT


def _is_comparable(run: Run, step: Step) -> bool:
    advanced = (
        task.done
        or any(
            other.percent >= ADVANCED_PERCENT
            for other in task.run_by_number.values()
        )
        for task in step.tasks
        if run.key.task != task.key
    )
    return sum(advanced) >= MIN_COMPARED_TASKS
