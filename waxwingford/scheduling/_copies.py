"""Second runs of stragglers, on other servers (speculative execution).

A task that takes much longer than the others of its step often does so because of its
server. A run elsewhere then ends sooner. The first end ``done`` of a task counts, and
its other run is stopped.
"""

import collections
import itertools
import math
from collections.abc import Iterator
from typing import NamedTuple

from waxwingford.scheduling._admission import BestEffortAdmission
from waxwingford.scheduling._copy_ends import keep_checkpoint
from waxwingford.scheduling._interference import InterferenceModel
from waxwingford.scheduling._placing import Placer
from waxwingford.scheduling._server_costs import ServerCosts
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._shard_state import ShardState, steps_of
from waxwingford.scheduling._specs import StepSpec
from waxwingford.scheduling._state import Run, Step, Task
from waxwingford.scheduling._stragglers import StragglerDetector, copyable

#: Time between two rounds, in ms.
ROUND_INTERVAL_MS = 100
#: Copies that are searched for in one round, and servers that are evaluated for them,
#: as an evaluation takes several us; one copy is searched for in any case.
MAX_SEARCHES = 4
MAX_EVALUATIONS = 1200
#: Share of the running short tasks of a service that may have two runs at a time.
MAX_COPIED_SHARE = 0.1
#: Penalty for failed runs from which on a server gets no copies.
MAX_PENALTY = 0.5
#: Time for which no copy is searched for a step after a search without an eligible
#: server, in ms, so that its stragglers don't use up the searches of other steps.
RETRY_MS = 1000
#: Rank of a long-running task that waits, above all priorities.
_LONG_RUNNING = -1


class CopyLimits:
    """Limits of the copies of each service in one round."""

    def __init__(self, state: ShardState, now_ms: int) -> None:
        """Count what waits, and what is copied already.

        :param now_ms: current monotonic time, in ms.
        """
        self._state = state
        self._most_by_service: dict[str, int] = {}
        self._waiting_by_service = _waiting_priorities(state, now_ms)
        self._copied_by_service = collections.Counter(
            state.queue_of(step.job).service
            for step in _steps_with_copies(state)
            for task in step.tasks_with_runs()
            if len(task.run_by_number) > 1
        )

    def allow(self, straggler: 'Straggler') -> bool:
        """Whether a task may be copied now, if a server has room.

        :returns: whether no task of the same or a higher priority waits, and few
            tasks of the service have two runs.
        """
        queue = self._state.queue_of(straggler.step.job)
        waiting = self._waiting_by_service.get(queue.service, math.inf)
        if waiting <= queue.priority:
            return False
        copied = self._copied_by_service[queue.service]
        return copied < self._most_copies(queue.service)

    def count(self, step: Step) -> None:
        """Count a planned copy."""
        self._copied_by_service[self._state.queue_of(step.job).service] += 1

    def _most_copies(self, service: str) -> int:
        """Count how many tasks of a service may have two runs.

        :returns: at least one, so that the last task of a lone job may be copied.
        """
        most = self._most_by_service.get(service)
        if most is not None:
            return most
        short = sum(
            not (step.spec.long_running or step.spec.best_effort)
            for server in self._state.server_by_id.values()
            if server.entry.service == service
            for step in server.step_by_run.values()
        )
        most = max(1, int(short * MAX_COPIED_SHARE))
        self._most_by_service[service] = most
        return most


class Straggler(NamedTuple):
    """A task whose run is expected to last longer than a new one.

    :ivar run: its only run.
    :ivar age_ms: time since the run began, in ms.
    :ivar left_ms: time that the run is expected to take still, in ms, infinite if it
        makes no progress.
    :ivar copy_ms: time that a copy is expected to take, in ms.
    """

    task: Task
    step: Step
    run: Run
    age_ms: int
    left_ms: float
    copy_ms: float


class CopyPlacer:
    """Places copies of stragglers on servers with idle capacity.

    :ivar placed: number of copies that the latest round has planned.
    """

    def __init__(
        self, state: ShardState, placer: Placer, model: InterferenceModel
    ) -> None:
        self._state = state
        self._placer = placer
        # Steps with copies aren't best-effort, so no forecast is begun.
        self._costs = ServerCosts(
            BestEffortAdmission(model), state.learned.run_times
        )
        self._detector = StragglerDetector(state)
        self._round_ms = 0
        self._retry_ms_by_step: dict[str, int] = {}
        self.placed = 0

    def place_due(self, now_ms: int, max_starts: float, timely: bool) -> None:
        """Plan copies, after the tasks of a round were placed.

        :param now_ms: current monotonic time, in ms.
        :param max_starts: number of runs that may still be planned.
        :param timely: whether answers of servers are read in time, so that silence
            means that they don't answer.
        """
        self.placed = 0
        if now_ms - self._round_ms < ROUND_INTERVAL_MS:
            return
        self._round_ms = now_ms
        self._retry_ms_by_step = {
            name: retry_ms
            for name, retry_ms in self._retry_ms_by_step.items()
            if retry_ms > now_ms
        }
        stragglers = sorted(
            self._find_stragglers(now_ms, timely), key=_gain, reverse=True
        )
        if not stragglers:
            return
        slow = {straggler.run.server_id for straggler in stragglers}
        limits = CopyLimits(self._state, now_ms)
        affordable = MAX_EVALUATIONS // len(self._state.server_by_id)
        searches = int(min(MAX_SEARCHES, max(1, affordable), max_starts))
        allowed = (
            straggler
            for straggler in stragglers
            if straggler.step.name not in self._retry_ms_by_step
            and limits.allow(straggler)
        )
        for straggler in itertools.islice(allowed, searches):
            if self._copy(straggler, slow, now_ms):
                limits.count(straggler.step)
                self.placed += 1

    def _find_stragglers(
        self, now_ms: int, timely: bool
    ) -> Iterator[Straggler]:
        self._detector.begin_round()
        for step in _steps_with_copies(self._state):
            most_attempts = self._state.queue_of(step.job).most_attempts
            for task in step.tasks_with_runs():
                if not copyable(task, most_attempts, now_ms):
                    continue
                run = next(iter(task.run_by_number.values()))
                lag = self._detector.lag(run, step, now_ms, timely)
                if lag is not None:
                    yield Straggler(task, step, run, *lag)

    def _copy(self, straggler: Straggler, slow: set[str], now_ms: int) -> bool:
        task, step = straggler.task, straggler.step
        servers = [
            server
            for server in self._placer.find_servers(task, step, now_ms)
            if server.entry.server_id not in slow
            and _is_sound(server, task, now_ms)
        ]
        if not servers:
            self._retry_ms_by_step[step.name] = now_ms + RETRY_MS
            return False
        server = min(
            servers,
            key=lambda one: self._costs.cost(task, step, one, now_ms),
        )
        run = straggler.run
        keep_checkpoint(task, run, run.checkpoint or task.checkpoint)
        task.copied = True
        self._placer.planner.plan(task, step, server, now_ms)
        task.run_by_number[task.last_run].copy = True
        finite = math.isfinite(straggler.left_ms)
        self._state.notes.add(
            'run.copied',
            task.key,
            run=task.last_run,
            server=server.entry.server_id,
            straggler=run.key.run,
            straggler_server=run.server_id,
            percent=run.percent,
            age_ms=straggler.age_ms,
            left_ms=round(straggler.left_ms) if finite else None,
            copy_ms=round(straggler.copy_ms),
        )
        return True


def _steps_with_copies(state: ShardState) -> Iterator[Step]:
    # Most jobs have none.
    jobs = (
        job
        for job in state.job_by_id.values()
        if any(map(_permits_copies, job.spec.steps))
    )
    return (
        step
        for job in jobs
        if job.ended is None and not job.blocked
        for step in steps_of(job)
        if step.unfinished and _permits_copies(step.spec)
    )


def _permits_copies(spec: StepSpec) -> bool:
    together = spec.gang or spec.long_running
    return spec.copies and not (together or spec.best_effort)


def _waiting_priorities(state: ShardState, now_ms: int) -> dict[str, int]:
    """Find the highest priority of the tasks that wait for room, by service."""
    waiting: dict[str, int] = {}
    for task in state.pending_by_key.first_tasks(now_ms):
        job = state.job_by_id.get(task.key.job_id)
        if job is None:
            continue
        queue = state.queue_of(job)
        long_running = job.spec.steps[task.key.step].long_running
        priority = _LONG_RUNNING if long_running else queue.priority
        waiting[queue.service] = min(
            priority, waiting.get(queue.service, priority)
        )
    return waiting


def _is_sound(server: Server, task: Task, now_ms: int) -> bool:
    return (
        server.cold_until_ms <= now_ms
        and server.penalty < MAX_PENALTY
        and server.incarnation not in task.avoided
    )


def _gain(straggler: Straggler) -> tuple[float, int]:
    return straggler.left_ms - straggler.copy_ms, straggler.age_ms
