"""Decides no more than the owner's VM carries out in time."""

import time

from waxwingford.scheduling import Engine
from waxwingford.shard._admission_control import AdmissionControl, RetryAfter
from waxwingford.shard._decision_log import DecisionLog
from waxwingford.shard._lateness import Lateness
from waxwingford.shard._observer import Observer
from waxwingford.shard._overload_log import OverloadLog
from waxwingford.shard._room_metrics import RoomMetrics
from waxwingford.shard._start_window import StartWindow


class StartControl:
    """Limits starts in progress, and refuses jobs that would wait for long.

    :ivar room_retry_s: times in seconds after which best-effort jobs may be submitted
        again, by service without room for them.
    """

    def __init__(
        self, cores: float, lateness: Lateness, observer: Observer
    ) -> None:
        """Start with the initial window and all jobs accepted.

        :param cores: processor capacity of the owner's VM, in reference cores.
        """
        self._lateness = lateness
        self._overload_log = OverloadLog(observer, cores)
        self._decision_log = DecisionLog(observer, lateness)
        self._window = StartWindow(lateness)
        self._admission = AdmissionControl()
        self._room_metrics = RoomMetrics(observer.metrics)
        self.room_retry_s: dict[str, int] = {}

    @property
    def retry_after(self) -> RetryAfter:
        """Classes of jobs that are refused at present."""
        return self._admission.retry_after

    def close(self) -> None:
        """Remove the gauges that only an owner shows."""
        self._room_metrics.clear()

    def decide(
        self, engine: Engine, now_ms: int, wall_ms: int, timely: bool
    ) -> None:
        """Make a decision within the limit of starts in progress.

        :param now_ms: current monotonic time, in ms.
        :param wall_ms: current Unix time, in ms.
        :param timely: whether servers that are well answer in time, so that silence
            of others counts.
        """
        began_s = time.perf_counter()
        servers = engine.state.server_by_id.values()
        # A list, as each decision counts them and a generator takes longer.
        in_progress = sum([server.starts_in_progress for server in servers])
        decision = engine.decide(
            now_ms,
            wall_ms,
            self._window.room(in_progress, now_ms),
            timely=timely,
            overloaded=self._window.recently_limited(now_ms),
            late=not self._lateness.acceptable,
        )
        self._window.note_added(in_progress, decision.placed)
        self._admission.update(decision, self._window, now_ms)
        self.room_retry_s = engine.admission.retry_s_by_service
        self._room_metrics.update(engine.admission.forecast)
        self._overload_log.log_overload(
            engine.orders.token, self._lateness, self.retry_after
        )
        self._decision_log.measured(engine, began_s)
