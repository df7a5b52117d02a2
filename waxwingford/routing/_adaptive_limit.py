"""Adaptive limit of a daemon: additive up, multiplicative down."""

#: Mean wait for the processor that causes a step down, in milliseconds.
LONG_WAIT_MS = 20
#: Factor of a step down.
STEP_DOWN = 0.85
#: Share of the limit added by a step up, besides one request.
STEP_UP_SHARE = 0.05
#: The limit never falls below this.
LEAST_LIMIT = 16.0
#: Shortest window and fewest requests that a step is decided on.
WINDOW_MS = 200
WINDOW_REQUESTS = 10
#: Share of the limit that must be used before it grows.
USED_SHARE = 0.5


class AdaptiveLimit:
    """Limit on requests in progress that follows the wait for the processor.

    The only queue of a daemon is the one in front of its processor.  Without
    a limit that follows it an overloaded daemon takes ever more requests,
    each of them late; one would notice that all fail where a part could have
    been answered in time.  The latency of a service does not show that queue:
    it also grows with batch work beside the service, and to shed then would
    refuse requests while slots are free.

    :ivar most: upper bound of the limit.
    :ivar limit: requests in progress allowed now.
    """

    def __init__(self, most: float) -> None:
        """Start at the upper bound.

        :param most: upper bound of the limit.
        """
        self.most = most
        self.limit = most
        self._window_from_ms = 0
        self._requests = 0
        self._sum_ms = 0
        self._peak = 0

    def waited(self, wait_ms: int, in_use: int, now_ms: int) -> None:
        """Take in how long a request waited for the processor.

        :param wait_ms: from its arrival to the first step, in milliseconds.
        :param in_use: requests in progress.
        :param now_ms: monotonic time, in milliseconds.
        """
        self._requests += 1
        self._sum_ms += wait_ms
        self._peak = max(self._peak, in_use)
        full = self._requests >= WINDOW_REQUESTS
        if full and now_ms - self._window_from_ms >= WINDOW_MS:
            self._step(self._sum_ms / self._requests)
            self._window_from_ms = now_ms
            self._requests = 0
            self._sum_ms = 0
            self._peak = 0

    def _step(self, mean_ms: float) -> None:
        if mean_ms > LONG_WAIT_MS:
            wanted = min(self.limit, float(self._peak)) * STEP_DOWN
        elif self._peak >= USED_SHARE * self.limit:
            wanted = self.limit * (1 + STEP_UP_SHARE) + 1
        else:
            return
        self.limit = min(self.most, max(LEAST_LIMIT, wanted))
