"""Detection of runs that take longer than a new run elsewhere would."""

import math
from typing import NamedTuple

from waxwingford.scheduling._job_estimates import expected_run_time_ms
from waxwingford.scheduling._remaining_times import (
    FULL_PERCENT,
    RESTORE_MS,
    remaining_ms,
)
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
STALLED_RESTORE_MS = STALLED_MS + RESTORE_MS
#: The same as a share of the expected run time, as listings in whole percent may
#: show no change for 1% of it.
STALLED_SHARE = 0.03
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
        self._latest_by_service: dict[str, _LatestProgress] | None = None
        self._advanced_by_step: dict[str, int] = {}

    def begin_round(self) -> None:
        """Discard what was computed from the listings before the round."""
        self._latest_by_service = None
        self._advanced_by_step = {}

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
        if _has_stalled(run, server, run_time_ms, now_ms, timely):
            if self._others_progress(server, now_ms):
                return Lag(age_ms, math.inf, copy_ms)
            return None
        slow_ms = max(SLOW_FACTOR * run_time_ms, run_time_ms + MIN_SLOW_MS)
        if age_ms <= slow_ms or not self._is_comparable(run, step):
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
        if self._latest_by_service is None:
            self._latest_by_service = _find_latest(self._state)
        latest = self._latest_by_service.get(server.entry.service)
        if latest is None:
            return False
        same = latest.server_id == server.entry.server_id
        changed_ms = latest.others_ms if same else latest.changed_ms
        return now_ms - changed_ms < STALLED_MS

    def _is_comparable(self, run: Run, step: Step) -> bool:
        """Whether enough other tasks of a step are done or advanced.

        :param run: only run of its task, which isn't done.
        """
        advanced = self._advanced_by_step.get(step.name)
        if advanced is None:
            running = step.tasks_with_runs()
            left = [task for task in running if not task.done]
            advanced = len(step.tasks) - step.unfinished
            advanced += sum(map(_is_advanced, left))
            self._advanced_by_step[step.name] = advanced
        others = advanced - (run.percent >= ADVANCED_PERCENT)
        return others >= MIN_COMPARED_TASKS


class _LatestProgress(NamedTuple):
    # Time of the latest progress of a short run of a service, its server, and time of
    # the latest progress on any other server.
    changed_ms: float = -math.inf
    server_id: str = ''
    others_ms: float = -math.inf


def _find_latest(state: ShardState) -> dict[str, _LatestProgress]:
    """Find the latest progress of short runs, by service."""
    latest: dict[str, _LatestProgress] = {}
    for server_id, server in state.server_by_id.items():
        changed_ms = max(
            [
                run.progress_changed_ms
                for key, run in server.run_by_key.items()
                if run.phase is RunPhase.present
                and run.listed_ms
                and _is_short(server.step_by_run[key])
            ],
            default=-math.inf,
        )
        service = server.entry.service
        known = latest.get(service, _LatestProgress())
        if changed_ms > known.changed_ms:
            latest[service] = _LatestProgress(
                changed_ms, server_id, known.changed_ms
            )
        elif changed_ms > known.others_ms:
            latest[service] = known._replace(others_ms=changed_ms)
    return latest


def _is_short(step: Step) -> bool:
    # A changed pace counts as progress of best-effort runs, so they tell nothing.
    return not (step.spec.long_running or step.spec.best_effort)


def _has_stalled(
    run: Run, server: Server, run_time_ms: float, now_ms: int, timely: bool
) -> bool:
    restores = run.resumed and not run.progress
    stalled_ms = STALLED_RESTORE_MS if restores else STALLED_MS
    if server.failing_since_ms is not None:
        return timely and now_ms - server.failing_since_ms >= stalled_ms
    still_ms = run.listed_ms - run.progress_changed_ms
    stalled_ms = max(stalled_ms, STALLED_SHARE * run_time_ms)
    return still_ms >= stalled_ms and run.percent < FULL_PERCENT


def _is_advanced(task: Task) -> bool:
    return task.done or any(
        run.percent >= ADVANCED_PERCENT for run in task.run_by_number.values()
    )
