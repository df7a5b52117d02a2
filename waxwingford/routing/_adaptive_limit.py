"""Adaptive concurrency limit of a service: additive up, multiplicative down."""

#: Factor of a step down.
STEP_DOWN = 0.85
#: Share of the limit added by a step up, besides one request.
STEP_UP_SHARE = 0.05
#: Answers later than the target, as a share, that cause a step down.
LATE_SHARE = 0.2
#: The limit never falls below this, whatever is held.
LEAST_LIMIT = 4.0
#: Shortest window and fewest answers that a step is decided on.
WINDOW_MS = 200
WINDOW_ANSWERS = 10
#: Share of the limit that must be used before it grows.
USED_SHARE = 0.5


class AdaptiveLimit:
    """Limit on requests in progress that follows latency against a target.

    Without it a service that slows down holds ever more requests, each of
    them late; one would notice that all requests fail where a part could have
    been answered in time.

    :ivar target_ms: latency to keep, in milliseconds.
    :ivar most: upper bound of the limit.
    :ivar least: lower bound of the limit.
    :ivar limit: requests in progress allowed now.
    """

    def __init__(self, target_ms: float, most: float) -> None:
        """Start at the upper bound.

        :param target_ms: latency to keep, in milliseconds.
        :param most: upper bound of the limit.
        """
        self.target_ms = target_ms
        self.most = most
        self.least = LEAST_LIMIT
        self.limit = most
        self._window_from_ms = 0
        self._answers = 0
        self._late = 0
        self._peak = 0

    def measured(self, latency_ms: float, in_use: int, now_ms: int) -> None:
        """Take in the latency of a request, or its time-out.

        :param latency_ms: milliseconds.
        :param in_use: requests in progress when it ended, itself included.
        :param now_ms: monotonic time, in milliseconds.
        """
        self._answers += 1
        self._late += latency_ms > self.target_ms
        self._peak = max(self._peak, in_use)
        full = self._answers >= WINDOW_ANSWERS
        if full and now_ms - self._window_from_ms >= WINDOW_MS:
            self._step()
            self._window_from_ms = now_ms
            self._answers = 0
            self._late = 0
            self._peak = 0

    def _step(self) -> None:
        if self._late > LATE_SHARE * self._answers:
            wanted = min(self.limit, float(self._peak)) * STEP_DOWN
        elif self._peak >= USED_SHARE * self.limit:
            wanted = self.limit * (1 + STEP_UP_SHARE) + 1
        else:
            return
        self.limit = min(self.most, max(self.least, LEAST_LIMIT, wanted))
