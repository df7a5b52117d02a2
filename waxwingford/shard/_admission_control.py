"""Decides which new jobs an owner refuses because it can't start them in time.

Tasks that could be placed but for the limit of starts in progress form a backlog.
Its length and the rate of placed tasks, less those that are requeued without a run,
tell how long a new task would wait. A caller that is refused at once, and told when to come back, is better off
than one whose job is accepted and not run.
"""

import math

from waxwingford.scheduling import Backlog, Decision
from waxwingford.shard._load_report import RetryAfter
from waxwingford.shard._start_window import StartWindow

#: Longest wait of a new task that is accepted, in seconds.
MAX_URGENT_WAIT_S = 1.0
MAX_BEST_EFFORT_WAIT_S = 3.0
#: Share of these waits at which a class of jobs is accepted again.
REOPEN_SHARE = 0.5
#: Interval at which the rate of starts is measured, in ms.
RATE_INTERVAL_MS = 500
#: Weight of a new measurement of the rate.
SMOOTHING_FACTOR = 0.5
#: Lowest rate that is assumed, in starts per second.
MIN_RATE_PER_S = 0.5
#: Bounds of the time after which callers are told to come back, in seconds.
MIN_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 10
#: The same while the owner is overloaded though it starts nothing.
EXHAUSTED_RETRY_AFTER_S = 5
_MS_PER_S = 1000


class AdmissionControl:
    """Predicts the wait of new tasks.

    :ivar retry_after: classes of jobs that are refused at present.
    """

    def __init__(self) -> None:
        self.retry_after = RetryAfter()
        self._rate_per_s: float = 0
        self._net_placed = 0
        self._measured_ms = 0
        self._limited = False

    def update(
        self, decision: Decision, window: StartWindow, now_ms: int
    ) -> None:
        """Apply the outcome of a decision.

        :param decision: latest decision, its backlog left by the limit of
            starts in progress.
        :param window: limit of the starts in progress.
        :param now_ms: current monotonic time, in ms.
        """
        if window.exhausted:
            self.retry_after = RetryAfter(
                EXHAUSTED_RETRY_AFTER_S, EXHAUSTED_RETRY_AFTER_S
            )
        elif any(decision.backlog):
            net_placed = decision.placed - decision.returned
            self._measure_rate(net_placed, now_ms)
            refuses = any(self.retry_after)
            if self._rate_per_s and (refuses or window.limited_by_lag):
                self.retry_after = self._predict(decision.backlog)
        else:
            self.retry_after = RetryAfter()
            self._limited = False

    def _predict(self, backlog: Backlog) -> RetryAfter:
        urgent_s = backlog.urgent / self._rate_per_s
        all_s = urgent_s + backlog.best_effort / self._rate_per_s
        return RetryAfter(
            _retry_after_s(
                urgent_s, MAX_URGENT_WAIT_S, self.retry_after.urgent_s
            ),
            _retry_after_s(
                all_s, MAX_BEST_EFFORT_WAIT_S, self.retry_after.best_effort_s
            ),
        )

    def _measure_rate(self, net_placed: int, now_ms: int) -> None:
        if not self._limited:
            # The rate of starts is known only while there are enough tasks.
            self._limited = True
            self._measured_ms = now_ms
            self._net_placed = 0
        self._net_placed += net_placed
        elapsed_ms = now_ms - self._measured_ms
        if elapsed_ms < RATE_INTERVAL_MS:
            return
        rate = max(MIN_RATE_PER_S, self._net_placed * _MS_PER_S / elapsed_ms)
        if self._rate_per_s:
            rate = self._rate_per_s + SMOOTHING_FACTOR * (
                rate - self._rate_per_s
            )
        self._rate_per_s = rate
        self._net_placed = 0
        self._measured_ms = now_ms


def _retry_after_s(wait_s: float, max_wait_s: float, refused_s: int) -> int:
    """Compute when the wait will be short enough again.

    :param wait_s: predicted wait of a new task, in seconds.
    :param refused_s: time told so far, 0 if such jobs are accepted.
    """
    reopen_s = max_wait_s * REOPEN_SHARE
    limit_s = reopen_s if refused_s else max_wait_s
    if wait_s <= limit_s:
        return 0
    left_s = math.ceil(wait_s - reopen_s)
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, left_s))
