"""Time of an owner's decisions, as a metric and, of slow ones, in the log."""

import time

from waxwingford.scheduling import Engine
from waxwingford.shard._clocks import MS_PER_S, monotonic_ms
from waxwingford.shard._lateness import Lateness
from waxwingford.shard._observer import Observer

#: Time from which on a decision is slow, in ms: callers and servers wait for it.
SLOW_DECISION_MS = 100
#: Shortest interval between two lines about slow decisions, in ms.
LOG_INTERVAL_MS = 1000


class DecisionLog:
    """Measures decisions, and names what took most of a slow one."""

    def __init__(self, observer: Observer, lateness: Lateness) -> None:
        """Use an observer.

        :param lateness: how late the owner reads answers.
        """
        self._observer = observer
        self._lateness = lateness
        self._logged_ms = -LOG_INTERVAL_MS
        self._slow = 0

    def measured(self, engine: Engine, began_s: float) -> None:
        """Note a decision that has just ended.

        :param began_s: reading of ``time.perf_counter`` at its begin, in seconds.
        """
        took_ms = (time.perf_counter() - began_s) * MS_PER_S
        metrics = self._observer.metrics
        metrics.latency('decision', took_ms)
        if took_ms < SLOW_DECISION_MS:
            return
        metrics.count('slow_decisions_total')
        self._slow += 1
        now_ms = monotonic_ms()
        if now_ms - self._logged_ms < LOG_INTERVAL_MS:
            return
        self._logged_ms = now_ms
        work = engine.round_work
        self._observer.record_event(
            'decision.slow',
            subject=work.heaviest.name.partition('.')[0],
            epoch=engine.orders.token,
            step=work.heaviest.name,
            step_work=work.heaviest.work,
            work=work.total,
            took_ms=round(took_ms),
            late_ms=round(self._lateness.mean_s * MS_PER_S),
            pending=len(engine.state.pending_by_key),
            servers=len(engine.state.server_by_id),
            slow=self._slow,
        )
        self._slow = 0
