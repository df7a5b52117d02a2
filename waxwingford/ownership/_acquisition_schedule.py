"""Schedule for acquiring and handing over the control lease of a server."""

from typing import NamedTuple

import xxhash

_HASH_BITS = 32
_STAMP_BYTES = 8


class AcquisitionDelays(NamedTuple):
    """Delays for acquiring and handing over leases, in milliseconds.

    :ivar retry_ms: delay between tries of the first choice.
    :ivar handover_delay_ms: time for which a holder that is no longer the first
        choice keeps the lease, so that unstable membership does not move it.
    :ivar fallback_step_ms: additional delay of each lower rank.
    :ivar fallback_hold_ms: time for which a fallback keeps the lease, since the
        first choice may be unable to reach the server.
    :ivar release_step_ms: additional delay of each lower rank after the holder
        announced the release of the lease.
    :ivar retry_spread: jitter of retries as a share of the delay, centered on
        it; up to 0.6 a lower rank tries after every higher one.
    """

    retry_ms: int = 2000
    handover_delay_ms: int = 10_000
    fallback_step_ms: int = 12_000
    fallback_hold_ms: int = 300_000
    release_step_ms: int = 300
    retry_spread: float = 0.5


class AcquisitionSchedule:
    """Schedule of this daemon for the lease of one server, by rank.

    :ivar rank: rank of this daemon, 0 for the first choice.
    """

    def __init__(
        self, times: AcquisitionDelays, rank: int, now_ms: int
    ) -> None:
        """Schedule the first try.

        :param times: delays, in milliseconds.
        :param rank: rank among the daemons that are believed to be alive.
        :param now_ms: monotonic time, in milliseconds.
        """
        self.rank = rank
        self._times = times
        self._rank_since_ms = now_ms
        self._next_try_ms = now_ms + rank * times.fallback_step_ms
        self._requested_as_fallback = False
        self._granted_as_fallback = False

    def update(self, rank: int, now_ms: int) -> None:
        """Update the rank and reschedule the next try if it changed.

        :param rank: rank among the daemons that are believed to be alive.
        :param now_ms: monotonic time, in milliseconds.
        """
        if rank == self.rank:
            return
        if not (rank and self.rank):
            self._rank_since_ms = now_ms
        self.rank = rank
        self._next_try_ms = now_ms + rank * self._times.fallback_step_ms
        self._granted_as_fallback = self._granted_as_fallback and rank > 0

    def next_try_ms(self) -> int:
        """Return the time of the next try.

        :returns: monotonic time, in milliseconds.
        """
        return self._next_try_ms

    def record_release(self, now_ms: int) -> None:
        """Reschedule the next try after the holder released the lease.

        :param now_ms: monotonic time, in milliseconds.
        """
        release_try_ms = now_ms + self.rank * self._times.release_step_ms
        self._next_try_ms = min(self._next_try_ms, release_try_ms)

    def schedule_retry(self, now_ms: int) -> None:
        """Schedule the next try after a denial, a timeout or a handover.

        :param now_ms: monotonic time, in milliseconds.
        """
        delay_ms = (
            self.rank * self._times.fallback_step_ms
            if self.rank
            else self._times.retry_ms
        )
        self._next_try_ms = now_ms + self._jittered_ms(delay_ms, now_ms)

    def _jittered_ms(self, delay_ms: int, now_ms: int) -> int:
        """Add jitter to a delay.

        Without jitter, the requests that a daemon sends at startup would be
        repeated in synchronized bursts.  A hash of the time replaces a random
        number, so that decisions are a deterministic function of the inputs.

        :param delay_ms: mean delay, in milliseconds.
        :param now_ms: monotonic time, in milliseconds.
        :returns: delay with jitter, in milliseconds.
        """
        stamp = now_ms.to_bytes(_STAMP_BYTES, 'big', signed=True)
        fraction = xxhash.xxh32_intdigest(stamp) / (1 << _HASH_BITS)
        share = self._times.retry_spread * (fraction - 1 / 2)
        return round(delay_ms * (1 + share))

    def record_request(self) -> None:
        """Record that the lease was requested with the current rank.

        The rank may change before the answer arrives.  A daemon that requested
        the lease as the first choice must not hold it as long as a fallback.
        """
        self._requested_as_fallback = self.rank > 0

    def record_grant(self, now_ms: int) -> None:
        """Record that the lease was acquired.

        :param now_ms: monotonic time, in milliseconds.
        """
        self._granted_as_fallback = (
            self._requested_as_fallback and self.rank > 0
        )
        self._rank_since_ms = now_ms

    def should_hand_over(self, now_ms: int) -> bool:
        """Check whether the holder should hand the lease over.

        :param now_ms: monotonic time, in milliseconds.
        :returns: true if it has not been the first choice for long enough.
        """
        if self.rank == 0:
            return False
        hold_ms = (
            self._times.fallback_hold_ms
            if self._granted_as_fallback
            else self._times.handover_delay_ms
        )
        return now_ms - self._rank_since_ms >= hold_ms
