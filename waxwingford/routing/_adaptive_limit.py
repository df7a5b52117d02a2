"""Adaptive limit of a daemon: additive up, multiplicative down."""

#: Mean wait for the processor that causes a step down, in milliseconds.
MAX_MEAN_WAIT_MS = 20
#: Factor of a step down.
DECREASE_FACTOR = 0.85
#: Share of the limit added by a step up, besides one request.
INCREASE_FRACTION = 0.05
#: The limit never falls below this.
MIN_LIMIT = 16.0
#: Shortest window and fewest requests that a step is decided on.
MIN_WINDOW_MS = 200
MIN_WINDOW_REQUESTS = 10
#: Share of the limit that must be used before it grows.
MIN_UTILIZATION = 0.5


class AdaptiveLimit:
    """Limit on requests in progress that follows the wait for the processor.

    The only queue of a daemon is the one in front of its processor.  Without
    a limit that follows it an overloaded daemon takes ever more requests,
    each of them late; one would notice that all fail where a part could have
    been answered in time.  The latency of a service does not show that queue:
    it also grows with batch work beside the service, and to shed then would
    refuse requests while slots are free.

    :ivar max_limit: upper bound of the limit.
    :ivar limit: requests in progress allowed now.
    """

    def __init__(self, max_limit: float) -> None:
        """Start at the upper bound.

        :param max_limit: upper bound of the limit.
        """
        self.max_limit = max_limit
        self.limit = max_limit
        self._window_start_ms = 0
        self._requests = 0
        self._wait_sum_ms = 0
        self._peak_in_progress = 0

    def record_wait(self, wait_ms: int, in_progress: int, now_ms: int) -> None:
        """Take in how long a request waited for the processor.

        :param wait_ms: from its arrival to the first step, in milliseconds.
        :param in_progress: requests in progress.
        :param now_ms: monotonic time, in milliseconds.
        """
        self._requests += 1
        self._wait_sum_ms += wait_ms
        self._peak_in_progress = max(self._peak_in_progress, in_progress)
        has_enough_requests = self._requests >= MIN_WINDOW_REQUESTS
        if (
            has_enough_requests
            and now_ms - self._window_start_ms >= MIN_WINDOW_MS
        ):
            self._step(self._wait_sum_ms / self._requests)
            self._window_start_ms = now_ms
            self._requests = 0
            self._wait_sum_ms = 0
            self._peak_in_progress = 0

    def _step(self, mean_ms: float) -> None:
        if mean_ms > MAX_MEAN_WAIT_MS:
            new_limit = (
                min(self.limit, float(self._peak_in_progress)) * DECREASE_FACTOR
            )
        elif self._peak_in_progress >= MIN_UTILIZATION * self.limit:
            new_limit = self.limit * (1 + INCREASE_FRACTION) + 1
        else:
            return
        self.limit = min(self.max_limit, max(MIN_LIMIT, new_limit))
