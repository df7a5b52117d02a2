"""Detection of periods in which the process was suspended.

Requests that waited in a socket during a stall are older than they state.
"""

#: Gap between two ticks above which the process counts as stalled, in
#: milliseconds; a request may always have waited this long unnoticed.
STALL_THRESHOLD_MS = 2000


class StallDetector:
    """Detects stalls from the gaps between ticks.

    Ticks must be more frequent than the threshold.  Missing ticks cause false
    positives, which are safe.
    """

    def __init__(self, now_ms: int, backlog_ms: int) -> None:
        """Create a detector without stalls.

        :param now_ms: monotonic time, in milliseconds.
        :param backlog_ms: time after a stall in which requests that waited
            during the stall may still be read, in milliseconds.
        """
        self._backlog_ms = backlog_ms
        self._last_tick_ms = now_ms
        self._stalled_ms = 0
        self._last_stall_ms = 0
        self._backlog_until_ms = 0

    def tick(self, now_ms: int) -> None:
        """Record that the process is running.

        :param now_ms: monotonic time, in milliseconds.
        """
        gap_ms = now_ms - self._last_tick_ms
        self._last_tick_ms = now_ms
        if gap_ms <= STALL_THRESHOLD_MS:
            return
        self._stalled_ms += gap_ms
        earlier_stall_ms = (
            self._last_stall_ms if now_ms < self._backlog_until_ms else 0
        )
        self._last_stall_ms = earlier_stall_ms + gap_ms
        self._backlog_until_ms = now_ms + self._backlog_ms

    def active_ms(self, now_ms: int) -> int:
        """Compute monotonic time without stalls.

        :param now_ms: monotonic time, in milliseconds.
        :returns: monotonic time less the duration of all stalls, in
            milliseconds.
        """
        return now_ms - self._stalled_ms

    def max_wait_ms(self, now_ms: int) -> int:
        """Compute the maximum time that a request just read has waited.

        :param now_ms: monotonic time, in milliseconds.
        :returns: upper bound of the wait, in milliseconds.
        """
        if now_ms < self._backlog_until_ms:
            return STALL_THRESHOLD_MS + self._last_stall_ms
        return STALL_THRESHOLD_MS
