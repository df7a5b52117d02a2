"""Log of an owner's overload."""

from waxwingford.shard._admission_control import RetryAfter
from waxwingford.shard._clocks import MS_PER_S, monotonic_ms
from waxwingford.shard._lateness import Lateness
from waxwingford.shard._observer import Observer

#: Shortest interval between two overload events in the log, in ms.
LOG_INTERVAL_MS = 2000


class OverloadLog:
    """Logs overload of an owner, at a limited rate."""

    def __init__(self, observer: Observer, cores: float) -> None:
        """Use an observer.

        :param cores: processor capacity of the owner's VM, in standard cores.
        """
        self._observer = observer
        self._cores = cores
        self._logged_ms = -LOG_INTERVAL_MS

    def log_overload(
        self, epoch: int, lag: Lateness, retry_after: RetryAfter
    ) -> None:
        """Log an event if the owner is overloaded and none was logged recently.

        :param epoch: epoch of the owner.
        :param retry_after: classes of jobs that it refuses.
        """
        now_ms = monotonic_ms()
        overloaded = any(retry_after) or not lag.acceptable
        if not overloaded or now_ms - self._logged_ms < LOG_INTERVAL_MS:
            return
        self._logged_ms = now_ms
        self._observer.record_event(
            'owner.strained',
            epoch=epoch,
            late_ms=int(lag.mean_s * MS_PER_S),
            cores=self._cores,
            refuses_s=retry_after,
        )
