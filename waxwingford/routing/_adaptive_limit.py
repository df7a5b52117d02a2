"""Adaptive concurrency limit of a daemon."""

#: Mean CPU queueing delay above which the limit decreases, in milliseconds.
MAX_MEAN_WAIT_MS = 20
#: Factor applied to the limit when it decreases.
DECREASE_FACTOR = 0.85
#: Fraction of the limit added by an increase, in addition to one request.
INCREASE_FRACTION = 0.05
#: Lower bound of the limit, in requests.
MIN_LIMIT = 16.0
#: Minimum length and number of requests of a measurement window.
MIN_WINDOW_MS = 200
MIN_WINDOW_REQUESTS = 10
#: Fraction of the limit that must be in use for the limit to increase.
MIN_UTILIZATION = 0.5


class AdaptiveLimit:
    """Concurrency limit controlled by the CPU queueing delay of the daemon.

    The limit increases additively with a proportional term and decreases
    multiplicatively.  Service latency is not used as the signal, because batch
    work on the same VM raises it while slots are still free.

    :ivar max_limit: upper bound of the limit, in requests.
    :ivar limit: requests currently allowed in progress.
    """

    def __init__(self, max_limit: float) -> None:
        self.max_limit = max_limit
        self.limit = max_limit
        self._window_start_ms = 0
        self._requests = 0
        self._wait_sum_ms = 0
        self._peak_in_progress = 0

    def record_wait(self, wait_ms: int, in_progress: int, now_ms: int) -> None:
        """Record the CPU queueing delay of a request.

        :param wait_ms: time from the arrival of the request to the start of
            its handler, in milliseconds.
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
