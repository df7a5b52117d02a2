"""Throttles best-effort tasks that interfere with serving tasks.

Reported tail latencies are averages over half a second, so interference shows
late. At the first sign of it the best-effort runs to which the model attributes
it are slowed at once by as much as the latency has to fall, and later sped up
again as far as the model predicts no interference.
"""

from waxwingford.scheduling._backend_client import OrderAccepted, OrderOutcome
from waxwingford.scheduling._colocated_runs import (
    best_effort_runs,
    full_pace_share,
    serving_runs,
    serving_steps,
)
from waxwingford.scheduling._headroom import HeadroomFilter
from waxwingford.scheduling._interference import InterferenceModel
from waxwingford.scheduling._orders import Pace
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._shard_state import ShardState
from waxwingford.scheduling._state import Run, RunPhase, Step

#: Headroom reserved for serving tasks: tail latencies at 95% of the target.
MIN_HEADROOM = 1.05
#: Forecast horizons for setting paces, in ms. A change of pace takes a tenth of a
#: second to work, and stands until the next one.
FORECAST_HORIZONS_MS = (100, 400)
#: Time over the target after which all best-effort runs on the server are
#: halted, in ms, as the model may not know the cause yet. The platform's rules
#: forbid much more.
MAX_OVER_TARGET_MS = 1500
#: Smallest change of pace that is ordered, in percent.
MIN_CHANGE_PERCENT = 12
#: Slowest pace, in percent; a run that would be slower is halted, as it would do
#: little more than keep its memory.
MIN_PERCENT = 8
FULL_PERCENT = 100
_STARTING = frozenset((RunPhase.planned, RunPhase.sent, RunPhase.unresolved))
#: Shortest time between two changes of pace of a run, in ms. Reported figures
#: cover half a second, and a change takes a tenth of one to work.
CHANGE_INTERVAL_MS = 250


class Pacer:
    """Sets the paces of best-effort runs, server by server.

    :ivar watched_servers: number of servers that need frequent polls, as of the
        last ``count``.
    """

    def __init__(self, state: ShardState, model: InterferenceModel) -> None:
        self._state = state
        self._model = model
        self.watched_servers = 0

    def count(self) -> None:
        """Count the servers that need frequent polls."""
        self.watched_servers = sum(
            map(self.needs_frequent_polls, self._state.server_by_id.values())
        )

    def needs_frequent_polls(self, server: Server) -> bool:
        """Tell whether a server has runs whose pace may have to change.

        Includes slowed runs without a serving task beside them, which would
        otherwise never be sped up again.
        """
        if not server.best_effort:
            return False
        return bool(server.serving) or any(
            run.pace != FULL_PERCENT for run, _ in server.best_effort.values()
        )

    def adjust_paces(self, server: Server, now_ms: int) -> None:
        """Compute paces after a poll and order those that changed.

        :param now_ms: current monotonic time, in ms.
        """
        best_effort = [
            (run, step)
            for run, step in best_effort_runs(server)
            if run.phase is RunPhase.present
        ]
        if not best_effort:
            return
        serving = serving_runs(server)
        self._track_over_target(serving, now_ms)
        if any(_over_target_too_long(run, now_ms) for run, _ in serving):
            for halted, _ in best_effort:
                self._set_pace(halted, 0, now_ms)
            return
        budget = _HeadroomBudget(self._model, server, now_ms)
        for run, step in best_effort_runs(server):
            if run.phase in _STARTING:
                budget.reserve(step)
        for run, step in sorted(best_effort, key=_most_progress_first):
            self._set_pace(run, budget.allocate(step), now_ms)

    def answered(
        self, server: Server, order: Pace, outcome: OrderOutcome
    ) -> None:
        """Apply the answer to a change of pace.

        After a failure the pace of the run is unknown until the next order.
        """
        run = server.run_by_key.get(order.key)
        if run is None or isinstance(outcome, OrderAccepted):
            return
        self._state.notes.add(
            'run.not_paced',
            order.key.task,
            run=order.key.run,
            server=order.server_id,
            percent=order.percent,
            outcome=str(outcome),
        )
        if run.pace == order.percent:
            run.pace = None
            run.paced_ms = 0

    def _track_over_target(
        self, serving: list[tuple[Run, Step]], now_ms: int
    ) -> None:
        for pair in serving:
            run, step = pair
            over = _share_of_target(pair) > 1
            if over and not run.over_target_since_ms:
                run.over_target_since_ms = now_ms
            elif run.over_target_since_ms and not over:
                self._state.notes.add(
                    'run.was_over_target',
                    run.key.task,
                    run=run.key.run,
                    server=run.server_id,
                    target_ms=step.spec.target_ms,
                    for_ms=now_ms - run.over_target_since_ms,
                )
                run.over_target_since_ms = 0

    def _set_pace(self, run: Run, percent: int, now_ms: int) -> None:
        percent = percent if percent >= MIN_PERCENT else 0
        known = run.pace is not None
        if known and abs(percent - run.pace) < MIN_CHANGE_PERCENT:
            return
        if now_ms - run.paced_ms >= CHANGE_INTERVAL_MS:
            self._state.notes.add(
                'run.paced',
                run.key.task,
                run=run.key.run,
                server=run.server_id,
                percent=percent,
                before=run.pace,
            )
            order = Pace(run.server_id, run.key, percent)
            self._state.orders.append(order)
            run.paced_ms = now_ms
            run.pace = percent
            run.progress_changed_ms = now_ms


class _HeadroomBudget:
    """Headroom of a server's serving tasks that best-effort runs may use up."""

    def __init__(
        self,
        model: InterferenceModel,
        server: Server,
        now_ms: int,
    ) -> None:
        self._model = model
        self._server = server
        self._serving = serving_steps(server)
        self._available = [
            _least_forecast(model.headroom_filter(step, now_ms), now_ms)
            - MIN_HEADROOM
            for step in self._serving
        ]
        self._losses_by_step: dict[Step, list[float]] = {}

    def reserve(self, best_effort: Step) -> None:
        """Subtract the full use of a run that is about to start."""
        self._subtract(best_effort, 1)

    def allocate(self, best_effort: Step) -> int:
        """Allocate to a run as much of the remaining headroom as it needs.

        :returns: pace that the run may have, in percent.
        """
        losses = self._losses(best_effort)
        share: float = 1
        for available, loss in zip(self._available, losses, strict=True):
            if loss:
                share = min(share, max(0, available) / loss)
        self._subtract(best_effort, share)
        return int(share * FULL_PERCENT)

    def _subtract(self, best_effort: Step, share: float) -> None:
        losses = self._losses(best_effort)
        for index, loss in enumerate(losses):
            self._available[index] -= loss * share

    def _losses(self, best_effort: Step) -> list[float]:
        # Many runs on a server may be of one step.
        losses = self._losses_by_step.get(best_effort)
        if losses is None:
            needed = full_pace_share(self._server, best_effort)
            losses = [
                needed * self._model.coefficient(step, best_effort)
                for step in self._serving
            ]
            self._losses_by_step[best_effort] = losses
        return losses


def _least_forecast(step_filter: HeadroomFilter, now_ms: int) -> float:
    return min(
        step_filter.forecast(now_ms + horizon_ms)
        for horizon_ms in FORECAST_HORIZONS_MS
    )


def _most_progress_first(pair: tuple[Run, Step]) -> float:
    # Runs near their end free their resources soonest.
    return -pair[0].percent


def _share_of_target(pair: tuple[Run, Step]) -> float:
    run, step = pair
    return run.measured_value / step.spec.target_ms


def _over_target_too_long(run: Run, now_ms: int) -> bool:
    return (
        run.over_target_since_ms > 0
        and now_ms - run.over_target_since_ms >= MAX_OVER_TARGET_MS
    )
