"""Failure detector: tells from heartbeats whether a shard has an owner."""

import random

from waxwingford.shard._clocks import monotonic_ms
from waxwingford.shard._journal import (
    OWNER_KEY,
    OWNERS_TOPIC,
    OwnerRecord,
    Predecessor,
    decode_owner,
)
from waxwingford.shard._log_port import SharedLog
from waxwingford.shard._mirror import CaughtUp, Mirror

#: The owner is suspected after this many times the longest recent interval
#: between heartbeats, within the bounds below, in ms. The timeout adapts
#: because a slow store delays all heartbeats, which must not depose the owner.
TIMEOUT_FACTOR = 2.2
MIN_TIMEOUT_MS = 950
MAX_TIMEOUT_MS = 4000
#: Interval between heartbeats from which on the store counts as slow, in ms:
#: one and a half times the interval at which an owner sends them.
SLOW_STORE_INTERVAL_MS = 600
#: Factor by which the longest interval decays with each heartbeat.
INTERVAL_DECAY = 0.8
#: Greatest random addition to the suspicion timeout, in ms, which makes
#: simultaneous claims of standbys rare; the store accepts one of them.
TIMEOUT_JITTER_MS = 250
MAX_LONG_POLL_MS = 1000


class OwnerWatch:
    """Follows the heartbeats of a shard's owner.

    :ivar record: newest heartbeat, ``None`` if there never was one.
    """

    def __init__(self, log: SharedLog) -> None:
        self.record: OwnerRecord | None = None
        self._mirror = Mirror(log, OWNERS_TOPIC)
        self._silent_since_ms = 0
        self._read_ms = 0
        self._timeout_ms = MIN_TIMEOUT_MS
        self._longest_interval_ms: float = 0

    @property
    def unowned(self) -> bool:
        """Whether the shard never had an owner or the last one resigned."""
        return self.record is None or self.record.resigned

    def claimable_by(self, daemon_id: str, claimed_epoch: int) -> bool:
        """Tell whether a daemon that does not own the shard may claim it.

        :param claimed_epoch: highest epoch under which another daemon is known
            to have claimed.
        :returns: whether the shard has no owner, or its owner is suspected or
            was a previous process of this daemon.
        """
        if self.record is None or self.record.resigned:
            return True
        # An owner with this id is a previous process of the daemon and is gone.
        # If another daemon has claimed since, its heartbeats are still to come.
        own_process = self.record.daemon_id == daemon_id
        own_process = own_process and self.record.epoch >= claimed_epoch
        return own_process or self.silent_ms >= self._timeout_ms

    @property
    def has_live_owner(self) -> bool:
        """Whether the shard has an owner that is not suspected."""
        return not self.unowned and self.silent_ms < self._timeout_ms

    @property
    def store_slow(self) -> bool:
        """Whether the store is slow, judged by the interval between heartbeats.

        :returns: whether appends add half of the interval or more.
        """
        return self._longest_interval_ms >= SLOW_STORE_INTERVAL_MS

    @property
    def silent_ms(self) -> int:
        """Time since the last new heartbeat or the restart of the timeout."""
        return monotonic_ms() - self._silent_since_ms

    @property
    def predecessor(self) -> Predecessor:
        """State of the heartbeats on which a claim would be based."""
        return Predecessor(
            self.record,
            self._read_ms,
            self._mirror.next_offset,
            self._mirror.offset_of(OWNER_KEY),
        )

    async def read(self, wait: bool = True) -> bool:
        """Read heartbeats.

        :param wait: whether to long-poll for a heartbeat.
        :returns: whether the store answered. If not, the suspicion timeout
            restarts.
        """
        read = await self._mirror.catch_up(self._long_poll_ms() if wait else 0)
        if self._mirror.behind:
            # A heartbeat that is missing so far may follow.
            read = await self._mirror.read_to_end()
        if not isinstance(read, CaughtUp):
            self.restart_timeout()
            return False
        self._update(decode_owner(self._mirror.payload_by_key.get(OWNER_KEY)))
        return True

    def restart_timeout(self) -> None:
        """Restart the suspicion timeout."""
        self._silent_since_ms = monotonic_ms()

    def _long_poll_ms(self) -> int:
        left_ms = self._silent_since_ms + self._timeout_ms - monotonic_ms()
        return max(1, min(MAX_LONG_POLL_MS, left_ms))

    def _update(self, record: OwnerRecord | None) -> None:
        if record == self.record:
            return
        now_ms = monotonic_ms()
        if self.record is not None and _same_owner(self.record, record):
            interval_ms = now_ms - self._silent_since_ms
            self._longest_interval_ms = max(
                interval_ms, self._longest_interval_ms * INTERVAL_DECAY
            )
        self.record = record
        self._silent_since_ms = now_ms
        self._read_ms = now_ms
        timeout_ms = self._longest_interval_ms * TIMEOUT_FACTOR
        timeout_ms = min(MAX_TIMEOUT_MS, max(MIN_TIMEOUT_MS, timeout_ms))
        self._timeout_ms = int(timeout_ms) + random.randint(
            0, TIMEOUT_JITTER_MS
        )


def _same_owner(before: OwnerRecord, after: OwnerRecord | None) -> bool:
    """Tell whether two heartbeats were sent by the same owner.

    The interval between heartbeats of two owners includes the time without an
    owner. If it counted, the suspicion timeout would grow with each failover.
    """
    return after is not None and after.epoch == before.epoch
