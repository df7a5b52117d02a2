"""Watch for stalls of the process: time in which it was frozen.

A request may have lain unread in a socket during the whole stall.  Taken for
fresh, a retry would seem younger than it is, and records of its first attempt
that have expired meanwhile would seem never to have been there; one would
notice a reservation that ran twice after a daemon was paused for minutes.
"""

#: A gap between two signs of life that is longer counts as a stall; requests
#: may always have waited up to this long.
STALL_THRESHOLD_MS = 2000


class StallDetector:
    """Measures stalls from signs of life.

    They must come more often than what counts as a stall; fewer of them make
    it see stalls that there were not, which is safe.
    """

    def __init__(self, now_ms: int, backlog_ms: int) -> None:
        """Start now.

        :param now_ms: monotonic time, in milliseconds.
        :param backlog_ms: time after a stall in which requests may still come
            that waited during it, in milliseconds.
        """
        self._backlog_ms = backlog_ms
        self._last_tick_ms = now_ms
        self._stalled_ms = 0
        self._last_stall_ms = 0
        self._backlog_until_ms = 0

    def tick(self, now_ms: int) -> None:
        """Take in a sign of life.

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
        """Read a clock that stands still during stalls.

        :param now_ms: monotonic time, in milliseconds.
        :returns: milliseconds.
        """
        return now_ms - self._stalled_ms

    def max_wait_ms(self, now_ms: int) -> int:
        """Bound how long a request that is read now may have waited.

        :param now_ms: monotonic time, in milliseconds.
        :returns: milliseconds.
        """
        if now_ms < self._backlog_until_ms:
            return STALL_THRESHOLD_MS + self._last_stall_ms
        return STALL_THRESHOLD_MS
