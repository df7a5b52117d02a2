"""Regular checks of all servers for expired leases, stalled runs and stops."""

import functools
import math
from collections.abc import Iterator

from waxwingford.scheduling._containment import attempt
from waxwingford.scheduling._crashes import mark_outlived
from waxwingford.scheduling._disruption_budget import DisruptionBudget
from waxwingford.scheduling._job_estimates import expected_run_time_ms
from waxwingford.scheduling._job_failures import judge_losses
from waxwingford.scheduling._migration import Migrator
from waxwingford.scheduling._pacing import FULL_PERCENT
from waxwingford.scheduling._penalties import (
    STALLED_RUN_PENALTY,
    decay_penalty,
    penalize_server,
    readmit_last_servers,
)
from waxwingford.scheduling._placing import Placer
from waxwingford.scheduling._server_conditions import stop_on_draining
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._settle import Settler
from waxwingford.scheduling._shard_state import ShardState
from waxwingford.scheduling._state import Run, RunPhase, Step
from waxwingford.scheduling._stops import Stopper

#: A run is stopped after this time without progress, in ms. Progress is listed
#: in percent, and the shortest tasks take some hundred ms.
STALLED_RUN_TIMEOUT_MS = 2500
#: The same as a share of the expected run time, as listings in whole percent may
#: show no change for 1% of it.
STALLED_SHARE = 0.03
#: The same for a best-effort task, in ms, which may be starved of CPU for a
#: while.
STALLED_BEST_EFFORT_TIMEOUT_MS = 6000
#: The same for a long-running task that isn't ready, in ms.
STALLED_LONG_RUNNING_TIMEOUT_MS = 4000
#: Interval between checks of all servers for expired leases, stalled runs and
#: stops to send, in ms. None of them is urgent, while a decision, with placement,
#: follows each answer of a server.
MAINTENANCE_INTERVAL_MS = 50
#: Interval between stores of outlived starts, in ms. Without them, a new owner
#: would suspect the latest starts on a server that crashes along with the
#: owner.
MARK_OUTLIVED_INTERVAL_MS = 200


class Maintenance:
    """Checks all servers at regular intervals."""

    def __init__(
        self,
        state: ShardState,
        settler: Settler,
        placer: Placer,
        budget: DisruptionBudget,
    ) -> None:
        self._state = state
        self._settler = settler
        self._migrator = Migrator(state, placer, budget)
        self._budget = budget
        self._stopper = Stopper(state)
        self._checked_ms = 0
        self._outlived_marked_ms = 0

    def check_due(self, now_ms: int, timely: bool) -> None:
        """Check all servers unless they were checked recently.

        :param now_ms: current monotonic time, in ms.
        :param timely: whether answers of servers are read in time, so that silence
            means that they don't answer.
        """
        if now_ms - self._checked_ms < MAINTENANCE_INTERVAL_MS:
            return
        self._checked_ms = now_ms
        self._budget.begin()
        notes = self._state.notes
        for server in list(self._state.server_by_id.values()):
            check = functools.partial(self._check, server, now_ms, timely)
            attempt(notes, 'maintain', server.entry.server_id, check)
        migrate = functools.partial(self._migrator.migrate, now_ms)
        attempt(notes, 'migrate', '', migrate)
        readmit = functools.partial(readmit_last_servers, self._state, now_ms)
        attempt(notes, 'readmit', '', readmit)
        if now_ms - self._outlived_marked_ms >= MARK_OUTLIVED_INTERVAL_MS:
            self._outlived_marked_ms = now_ms
            mark = functools.partial(mark_outlived, self._state)
            attempt(notes, 'mark outlived', '', mark)

    def judge_losses(self, now_ms: int, late: bool) -> None:
        """Judge the losses of servers since the last decision.

        :param now_ms: current monotonic time, in ms.
        :param late: whether the owner reads the answers of servers late.
        """
        judge_losses(self._state, now_ms, late)

    def _check(self, server: Server, now_ms: int, timely: bool) -> None:
        decay_penalty(server, now_ms)
        if server.starts_in_doubt:
            self._settler.restarts.forget_old_doubts(server, now_ms)
        if _may_be_lost(server, timely):
            self._settler.settle_expired(server, now_ms)
        for run, step in self._stalled_runs(server):
            run.stopping = True
            self._state.notes.add(
                'run.stuck',
                run.key.task,
                run=run.key.run,
                server=run.server_id,
                percent=run.percent,
                still_ms=server.polled_ms - run.progress_changed_ms,
            )
            found = self._state.find(run.key)
            if found is not None:
                found[0].avoided.add(server.incarnation)
            if not step.spec.long_running:
                penalize_server(server, STALLED_RUN_PENALTY, now_ms)
        if server.entry.draining and server.registered:
            stop_on_draining(self._state, server, self._budget, now_ms)
        owes_stops = server.unknown_runs or server.stops_owed
        if owes_stops or _may_need_stops(server):
            self._settler.settle_unsent(server, now_ms)
            self._stopper.order_due(server, now_ms)
        if _may_be_forgotten(server):
            self._state.server_by_id.pop(server.entry.server_id, None)

    def _stalled_runs(self, server: Server) -> Iterator[tuple[Run, Step]]:
        changed_before_ms = server.polled_ms - STALLED_RUN_TIMEOUT_MS
        for key, run in server.run_by_key.items():
            # The cheapest and most selective checks come first.
            if (
                run.progress_changed_ms >= changed_before_ms
                or run.phase is not RunPhase.present
            ):
                continue
            stalled_ms = min(
                server.polled_ms - run.progress_changed_ms, run.still_ms
            )
            step = server.step_by_run[key]
            exempt = run.stopping or run.pace != FULL_PERCENT
            if not exempt and stalled_ms > self._stall_timeout_ms(run, step):
                yield run, step

    def _stall_timeout_ms(self, run: Run, step: Step) -> float:
        if step.spec.long_running:
            return math.inf if run.ready else STALLED_LONG_RUNNING_TIMEOUT_MS
        least_ms = (
            STALLED_BEST_EFFORT_TIMEOUT_MS
            if step.spec.best_effort
            else STALLED_RUN_TIMEOUT_MS
        )
        run_time_ms = expected_run_time_ms(step, self._state.learned.run_times)
        return max(least_ms, STALLED_SHARE * run_time_ms)


def _may_be_forgotten(server: Server) -> bool:
    """Whether nothing is lost if a server that isn't registered comes back.

    Its next incarnation may still carry out starts in doubt, so it has to be told to
    refuse them.
    """
    if server.registered or server.run_by_key:
        return False
    return server.replaced or not server.starts_in_doubt


def _may_be_lost(server: Server, timely: bool) -> bool:
    """Whether the runs of a server are settled once its leases have expired.

    The answers of a server that seems silent to an overloaded owner may be
    unread, and list its runs as done.

    :param timely: whether answers of servers are read in time.
    """
    unreachable = (
        server.failing_since_ms is not None or not server.entry.endpoint
    )
    return server.replaced or (unreachable and timely)


def _may_need_stops(server: Server) -> bool:
    # A loop, as a call for each run of all servers takes several times as long.
    unresolved = RunPhase.unresolved
    for run in server.run_by_key.values():
        if run.stopping or run.phase is unresolved:
            return True
    return False
