"""When a daemon tries for a server's control lease, and when it gives it up."""

from typing import NamedTuple

import xxhash

_HASH_BITS = 32
_STAMP_BYTES = 8


class OwnershipTimes(NamedTuple):
    """Delays of ownership, all in milliseconds.

    :ivar retry_ms: the first choice tries again after so long.
    :ivar hand_over_ms: a holder that is no longer the first choice keeps the
        lease so long, lest views that flap move it to and fro.
    :ivar fallback_ms: each lower rank waits so long more before it tries.
    :ivar fallback_hold_ms: one that got the lease as a fallback keeps it so
        long, since the first choice may not reach the server at all.
    :ivar free_step_ms: each lower rank waits so long more for a lease that its
        holder said it gave up; the first choice may be that holder.
    :ivar retry_spread: share of the delay over which repeated tries are spread,
        half of it earlier and half later; up to 0.6 a lower rank still tries
        later than a higher one.
    """

    retry_ms: int = 2000
    hand_over_ms: int = 10_000
    fallback_ms: int = 12_000
    fallback_hold_ms: int = 300_000
    free_step_ms: int = 300
    retry_spread: float = 0.5


class Preference:
    """This daemon's wish for one server, by its rank.

    :ivar rank: 0 for the first choice.
    """

    def __init__(self, times: OwnershipTimes, rank: int, now_ms: int) -> None:
        """Start with a rank.

        :param times: delays.
        :param rank: rank among the daemons that seem alive.
        :param now_ms: monotonic time.
        """
        self.rank = rank
        self._times = times
        self._rank_since_ms = now_ms
        self._next_try_ms = now_ms + rank * times.fallback_ms
        self._asked_as_fallback = False
        self._granted_as_fallback = False

    def update(self, rank: int, now_ms: int) -> None:
        """Take a new rank.

        :param rank: rank among the daemons that seem alive.
        :param now_ms: monotonic time.
        """
        if rank == self.rank:
            return
        if not (rank and self.rank):
            self._rank_since_ms = now_ms
        self.rank = rank
        self._next_try_ms = now_ms + rank * self._times.fallback_ms
        self._granted_as_fallback = self._granted_as_fallback and rank > 0

    def next_try_ms(self) -> int:
        """Tell when to try for the lease.

        :returns: monotonic time, in milliseconds.
        """
        return self._next_try_ms

    def note_free(self, now_ms: int) -> None:
        """Note that the holder gave the lease up just now.

        :param now_ms: monotonic time.
        """
        soon_ms = now_ms + self.rank * self._times.free_step_ms
        self._next_try_ms = min(self._next_try_ms, soon_ms)

    def note_tried(self, now_ms: int) -> None:
        """Note a try that did not give the lease, or a lease given up.

        :param now_ms: monotonic time.
        """
        delay_ms = (
            self.rank * self._times.fallback_ms
            if self.rank
            else self._times.retry_ms
        )
        self._next_try_ms = now_ms + self._spread_ms(delay_ms, now_ms)

    def _spread_ms(self, delay_ms: int, now_ms: int) -> int:
        """Take a random part off a delay, or add it.

        A daemon that starts asks for all its servers in one moment; with a
        fixed delay it would ask those that deny it in step for ever, as would
        all daemons of a lower rank: one would notice a spike of exchanges in
        every such delay.  The time of each denial differs by the way it took;
        its hash stands for a random number, so that the decision stays a
        function of what came in.

        :param delay_ms: mean delay.
        :param now_ms: monotonic time of the denial.
        :returns: milliseconds from then.
        """
        stamp = now_ms.to_bytes(_STAMP_BYTES, 'big', signed=True)
        fraction = xxhash.xxh32_intdigest(stamp) / (1 << _HASH_BITS)
        share = self._times.retry_spread * (fraction - 1 / 2)
        return round(delay_ms * (1 + share))

    def note_asked(self) -> None:
        """Note that the lease is asked for.

        The rank may change before the answer comes, as it does when a whole
        failure domain starts: a first choice that was taken for a fallback by
        its rank at the answer kept ten of eleven servers for five minutes.
        """
        self._asked_as_fallback = self.rank > 0

    def note_granted(self, now_ms: int) -> None:
        """Note that the lease was acquired.

        :param now_ms: monotonic time.
        """
        self._granted_as_fallback = self._asked_as_fallback and self.rank > 0
        self._rank_since_ms = now_ms

    def should_hand_over(self, now_ms: int) -> bool:
        """Tell whether the holder should give the lease up.

        :param now_ms: monotonic time.
        :returns: whether it is long enough not the first choice.
        """
        if self.rank == 0:
            return False
        keep_ms = (
            self._times.fallback_hold_ms
            if self._granted_as_fallback
            else self._times.hand_over_ms
        )
        return now_ms - self._rank_since_ms >= keep_ms
