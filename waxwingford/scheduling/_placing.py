"""Chooses a backend server for each pending task."""

import functools

from waxwingford.scheduling import _gangs as gangs
from waxwingford.scheduling._admission import BestEffortAdmission
from waxwingford.scheduling._backlog import Backlog, Decision, count_backlog
from waxwingford.scheduling._candidates import CandidateQueue
from waxwingford.scheduling._containment import attempt, note_failure
from waxwingford.scheduling._crashes import is_suspect
from waxwingford.scheduling._eligibility import eligible, usable_servers
from waxwingford.scheduling._full_steps import FullSteps
from waxwingford.scheduling._isolation import Isolation
from waxwingford.scheduling._look_ahead import LookAhead, preview_room
from waxwingford.scheduling._pending_report import PendingReport
from waxwingford.scheduling._preemption import Preemptor, Round
from waxwingford.scheduling._ranked_tasks import Estimates, RankedTasks
from waxwingford.scheduling._reservations import Reservations
from waxwingford.scheduling._round_work import MAX_ROUND_WORK, RoundWork
from waxwingford.scheduling._run_planning import RunPlanner
from waxwingford.scheduling._server_costs import ServerCosts
from waxwingford.scheduling._server_pools import ServerPools
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._shard_state import ShardState, block_job
from waxwingford.scheduling._state import Step, Task
from waxwingford.scheduling._task_order import (
    PendingTask,
    rank_alone,
)

#: Shortest time between two rounds that place best-effort tasks, in ms.
BEST_EFFORT_INTERVAL_MS = 40
#: Servers evaluated for best-effort tasks per ms; the interval grows
#: accordingly, as hundreds of steps may be pending. An evaluation takes 5 us.
MAX_EVALUATIONS_PER_MS = 40


class Placer:
    """Places pending tasks on the servers of a shard.

    :ivar reservations: reservations of the latest round.
    :ivar planner: plans the runs.
    :ivar isolation: servers that are kept for suspects.
    :ivar work: work of the latest round.
    :ivar preview_room: copies what placement reads of reserved room.
    """

    def __init__(
        self,
        state: ShardState,
        admission: BestEffortAdmission,
        preemptor: Preemptor,
        looks_ahead: bool,
    ) -> None:
        """Create a placer.

        :param admission: decides where best-effort tasks may start.
        :param preemptor: preempts for the tasks that a round leaves.
        :param looks_ahead: whether room is reserved that tasks are to release.
        """
        self.work = RoundWork()
        self._backlog = Backlog()
        self._state = state
        self._admission = admission
        self.reservations = Reservations()
        self._look_ahead: LookAhead | None = None
        self._costs = ServerCosts(self._admission, state.learned.run_times)
        if looks_ahead:
            self._look_ahead = LookAhead(state, self.reservations)
        self.preview_room = functools.partial(
            preview_room, self.reservations, self._look_ahead
        )
        self._best_effort_ms = 0
        self._best_effort_due_ms = 0
        self._report = PendingReport(state.notes)
        self.isolation = Isolation(state)
        self.planner = RunPlanner(
            state, self.isolation, self._report, self._look_ahead
        )
        self._pools = ServerPools(
            state,
            admission,
            self.reservations,
            self.isolation,
            self._look_ahead,
            self.work,
        )
        self._preemptor = preemptor
        self._candidates_by_step: dict[str, CandidateQueue] = {}
        self._full = FullSteps(self.reservations)
        self._estimates = Estimates(state)

    def place(
        self, now_ms: int, max_starts: float, overloaded: bool
    ) -> Decision:
        """Plan a run of each pending task that fits on a server.

        :param now_ms: current monotonic time, in ms.
        :param max_starts: runs after which the round ends; a gang is planned
            as a whole.
        :param overloaded: whether the owner's processor limits the starts.
        """
        self.planner.begin()
        self.work.begin()
        self._state.learned.checkpoints.apply(self._state.mark)
        if max_starts <= 0:
            return Decision(0, self._backlog)
        with_best_effort = now_ms >= self._best_effort_due_ms
        if with_best_effort:
            self._best_effort_ms = now_ms
            self._estimates.forget_others()
        ranked = RankedTasks(
            self._state,
            self._estimates,
            self.work,
            now_ms,
            with_best_effort,
            limited=overloaded and any(self._backlog),
            thorough=with_best_effort or self._preemptor.is_due(now_ms),
        )
        left = self._place_ranked(ranked, now_ms, max_starts)
        self._backlog = count_backlog(left, self._backlog, with_best_effort)
        return Decision(self.planner.placed, self._backlog)

    def _place_ranked(
        self, ranked: RankedTasks, now_ms: int, max_starts: float
    ) -> list[tuple[Step, int]]:
        """Plan runs of tasks in the given order.

        :returns: steps, and their numbers of tasks, that the limit of starts left.
        """
        self.reservations.begin(now_ms)
        hold_room = functools.partial(
            self._preemptor.begin, self.reservations, now_ms
        )
        attempt(self._state.notes, 'preempt', '', hold_room)
        if not (ranked or self.planner.plans_gangs):
            # Most rounds have nothing to place, and scanning all servers with
            # each answer would take most of the owner's processor.
            self._begin_look_ahead([], now_ms)
            return []
        usable = usable_servers(self._state, now_ms)
        self._admission.begin(usable)
        self.isolation.begin(usable)
        self.planner.go_on(usable, self.reservations, now_ms)
        self._begin_look_ahead(usable, now_ms)
        self._full.begin(usable, now_ms)
        self._pools.evaluations = 0
        self._candidates_by_step.clear()
        unplaced, left = self._try_all(ranked, usable, now_ms, max_starts)
        ended = Round(usable, self.isolation, self.reservations, now_ms)
        preempt = functools.partial(self._preemptor.preempt, unplaced, ended)
        attempt(self._state.notes, 'preempt', '', preempt)
        if self._best_effort_ms == now_ms:
            interval_ms = max(
                BEST_EFFORT_INTERVAL_MS,
                self._pools.evaluations // MAX_EVALUATIONS_PER_MS,
            )
            self._best_effort_due_ms = now_ms + interval_ms
            self._report.update(unplaced, usable, now_ms)
        ranked.end()
        self._full.end(usable)
        return left

    def _try_all(
        self,
        ranked: RankedTasks,
        usable: list[Server],
        now_ms: int,
        max_starts: float,
    ) -> tuple[list[PendingTask], list[tuple[Step, int]]]:
        """Try tasks until enough runs are planned, or the work of the round is spent.

        :returns: tasks that found no server, some of each step, and what the limit of
            starts left.
        """
        unplaced: list[PendingTask] = []
        full_steps: set[str] = set()
        # Without the work of ranking, or there might be none left for placing.
        max_work = self.work.total + MAX_ROUND_WORK
        for pending in ranked:
            if self.planner.placed >= max_starts:
                return unplaced, list(ranked.left())
            if self.work.total >= max_work:
                self.work.interrupt(full_steps)
                break
            try:
                placed = self._place_one(pending, usable, full_steps, now_ms)
            except Exception as error:
                placed = _block(self._state, pending, error)
            if not placed:
                self.work.add(pending.step.name, 1)
                full = pending.step.name in full_steps
                if ranked.note_unplaced(pending, full):
                    unplaced.append(pending)
                    self._reserve(pending, usable, now_ms)
        return unplaced, []

    def _begin_look_ahead(self, usable: list[Server], now_ms: int) -> None:
        if self._look_ahead is not None:
            begin = functools.partial(self._look_ahead.begin, usable, now_ms)
            attempt(self._state.notes, 'look ahead', '', begin)

    def find_servers(self, task: Task, step: Step, now_ms: int) -> list[Server]:
        """Find the servers on which a task would be placed if it were pending.

        :param now_ms: current monotonic time, in ms.
        """
        pending = rank_alone(self._state, task, step, now_ms)
        usable = usable_servers(self._state, now_ms)
        self._admission.begin(usable)
        pool = self._pools.pool(pending, usable, now_ms)
        return self._pools.fitting(pending, pool, now_ms)

    def _place_one(
        self,
        pending: PendingTask,
        usable: list[Server],
        full_steps: set[str],
        now_ms: int,
    ) -> bool:
        task, step = pending.task, pending.step
        name = step.name
        # Attributes rather than calls, as this is done for each task.
        suspected = task.suspected_crashes or task.lost_starts
        if (suspected or step.spec.gang) and is_suspect(task, step):
            return self._place_isolated(pending, usable, now_ms)
        if name in full_steps and not task.avoided:
            return False
        if name in self._candidates_by_step:
            placed = self._try_place(pending, usable, now_ms)
        else:
            placed = self._try_first(pending, usable, now_ms)
        if not (placed or name in full_steps):
            full_steps.add(name)
            self._full.add(step, self.work.of(name), now_ms)
        return placed

    def _try_first(
        self, pending: PendingTask, usable: list[Server], now_ms: int
    ) -> bool:
        """Try the first task of a step, or one that is tried by itself."""
        servers = self._full.servers_to_try(
            pending.step, pending.queue.advised, usable, now_ms
        )
        if servers and self._try_place(pending, servers, now_ms):
            self._full.discard(pending.step)
            return True
        return False

    def _try_place(
        self, pending: PendingTask, usable: list[Server], now_ms: int
    ) -> bool:
        if pending.step.spec.gang:
            pool = self._pools.pool(pending, usable, now_ms)
            fitting = self._pools.fitting(pending, pool, now_ms)
            return self._place_gang(pending, fitting, now_ms)
        server = self._choose_server(pending, usable, now_ms)
        if server is None:
            return False
        self.planner.plan(pending.task, pending.step, server, now_ms)
        return True

    def _place_isolated(
        self, pending: PendingTask, usable: list[Server], now_ms: int
    ) -> bool:
        if self._try_place(pending, usable, now_ms):
            return True
        pool = self._pools.pool(pending, usable, now_ms)
        candidates = self._pools.with_room(pending, pool, now_ms)
        self.planner.changed += self.isolation.reserve(
            pending.task,
            pending.step,
            candidates,
            self.reservations.available,
        )
        return False

    def _choose_server(
        self, pending: PendingTask, usable: list[Server], now_ms: int
    ) -> Server | None:
        task, step = pending.task, pending.step

        def fit(servers: list[Server]) -> list[Server]:
            return self._pools.fitting(pending, servers, now_ms)

        cost = functools.partial(self._costs.cost, task, step, now_ms=now_ms)
        suspected = task.suspected_crashes or task.lost_starts
        task_specific = task.avoided or suspected
        if pending.queue.advised or task_specific:
            # The candidates of these tasks can't be shared within the step:
            # they depend on the task or its tickets.
            pool = self._pools.pool(pending, usable, now_ms)
            return min(fit(pool), key=cost, default=None)
        candidates = self._candidates_by_step.get(step.name)
        if candidates is not None:
            best = candidates.best(self.planner.changed)
            if best is not None or not step.spec.best_effort:
                return best
        # The next selection of a best-effort step has other servers.
        pool = self._pools.pool(pending, usable, now_ms)
        candidates = CandidateQueue(pool, fit, cost, len(self.planner.changed))
        self._candidates_by_step[step.name] = candidates
        return candidates.best(self.planner.changed)

    def _reserve(
        self, pending: PendingTask, usable: list[Server], now_ms: int
    ) -> None:
        """Reserve room for a task that wasn't placed if it is entitled to it."""
        if self._preemptor.has_preempted(pending.task):
            return
        if self._look_ahead is not None:
            reserve = functools.partial(
                self._look_ahead.reserve,
                pending,
                usable,
                self.planner.changed,
                now_ms,
            )
            attempt(self._state.notes, 'look ahead', '', reserve)
            return
        if not pending.overdue:
            return
        if pending.step.spec.gang or pending.queue.advised:
            # A gang needs several servers, and the eligible servers of an
            # advised step are known only once they have free resources.
            return
        if self.reservations.may_search(pending.step):
            candidates = eligible(pending.step, pending.queue.service, usable)
            server = self.reservations.reserve(pending.step, candidates)
            if server is not None:
                self.planner.changed.append(server)

    def _place_gang(
        self, pending: PendingTask, fitting: list[Server], now_ms: int
    ) -> bool:
        step = pending.step
        assignments = (
            gangs.assign_members(step, fitting, self.reservations.available)
            if gangs.is_ready(step)
            else None
        )
        if assignments is None:
            return False
        self.planner.plan_gang(step, assignments, now_ms)
        return True


def _block(state: ShardState, pending: PendingTask, error: Exception) -> bool:
    """Start no more tasks of a job for which placing has failed.

    :returns: that the task is no longer pending.
    """
    job_id = pending.task.key.job_id
    note_failure(state.notes, 'place', job_id, error)
    block_job(state, job_id)
    return True
