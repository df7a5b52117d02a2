"""Counts messages, bytes, processor time and retries of daemons."""

import collections
import itertools
from typing import NamedTuple

_MS_PER_S = 1000
_SLOT_MS = 100
_MINUTE_MS = 60_000
_NS_PER_MS = 1_000_000
#: Minutes with fewer retries are too small a sample for a share.
_MIN_RETRIES = 50


class RetrySpread(NamedTuple):
    """The minute whose retries are most concentrated.

    :ivar kind: kind of message that is retried.
    :ivar retries: number of retries in that minute.
    :ivar largest: number of retries in its fullest slot of 100 ms.
    """

    kind: str
    retries: int
    largest: int

    @property
    def share(self) -> float:
        """Share of the minute's retries in its fullest slot.

        :returns: share from 0 to 1.
        """
        return self.largest / self.retries if self.retries else 0


class Meter:
    """Messages, bytes, processor time and retries in virtual time.

    :ivar messages: messages by second.
    :ivar messages_by_kind: messages by kind and second.
    :ivar bytes_by_daemon: bytes by daemon and second.
    :ivar cpu_ns_by_daemon: processor time in nanoseconds by daemon and second.
    """

    def __init__(self) -> None:
        """Set all counts to zero."""
        self.messages: collections.Counter[int] = collections.Counter()
        self.messages_by_kind = _counters()
        self.bytes_by_daemon = _counters()
        self.cpu_ns_by_daemon = _counters()
        self._retries_by_kind = _counters()

    def count_message(
        self, daemon_id: str, kind: str, size: int, now_ms: int
    ) -> None:
        """Count a message of a daemon.

        :param daemon_id: sender.
        :param kind: kind of message.
        :param size: encoded size in bytes.
        :param now_ms: virtual time in milliseconds.
        """
        self.messages[now_ms // _MS_PER_S] += 1
        self.messages_by_kind[kind][now_ms // _MS_PER_S] += 1
        self.count_bytes(daemon_id, size, now_ms)

    def count_bytes(self, daemon_id: str, size: int, now_ms: int) -> None:
        """Count bytes that a daemon sent or received.

        :param daemon_id: the daemon.
        :param size: encoded size in bytes.
        :param now_ms: virtual time in milliseconds.
        """
        self.bytes_by_daemon[daemon_id][now_ms // _MS_PER_S] += size

    def count_cpu_time(
        self, daemon_id: str, spent_ns: int, now_ms: int
    ) -> None:
        """Count processor time.

        :param daemon_id: the daemon.
        :param spent_ns: processor time in nanoseconds.
        :param now_ms: virtual time in milliseconds.
        """
        self.cpu_ns_by_daemon[daemon_id][now_ms // _MS_PER_S] += spent_ns

    def count_retry(self, kind: str, now_ms: int) -> None:
        """Count a retry.

        :param kind: kind of message that is retried.
        :param now_ms: virtual time in milliseconds.
        """
        self._retries_by_kind[kind][now_ms // _SLOT_MS] += 1

    def worst_spread(
        self, kind: str, from_ms: int, until_ms: int
    ) -> RetrySpread:
        """Find the minute with the largest share of retries in one slot.

        :param kind: kind of retries.
        :param from_ms: start of the first minute, in virtual milliseconds.
        :param until_ms: end of the last minute, in virtual milliseconds.
        :returns: counts of the minute; zeros if none had enough retries.
        """
        slots = self._retries_by_kind[kind]
        minutes = [
            [
                slots[slot]
                for slot in range(
                    start_ms // _SLOT_MS,
                    min(start_ms + _MINUTE_MS, until_ms) // _SLOT_MS,
                )
            ]
            for start_ms in range(from_ms, until_ms, _MINUTE_MS)
        ]
        spreads = [
            RetrySpread(kind, sum(minute), max(minute))
            for minute in minutes
            if sum(minute) >= _MIN_RETRIES
        ]
        return max(spreads, key=_retry_share, default=RetrySpread(kind, 0, 0))

    def max_retries_in_slot(
        self, kind: str, from_ms: int, until_ms: int
    ) -> int:
        """Count the retries in the fullest slot of 100 ms.

        :param kind: kind of retries.
        :param from_ms: start of the first slot, in virtual milliseconds.
        :param until_ms: end of the last slot, in virtual milliseconds.
        :returns: number of retries.
        """
        slots = self._retries_by_kind[kind]
        return max(
            slots[slot]
            for slot in range(from_ms // _SLOT_MS, until_ms // _SLOT_MS)
        )

    def retry_kinds(self) -> list[str]:
        """List the kinds of messages that were retried.

        :returns: kinds in alphabetical order.
        """
        return sorted(self._retries_by_kind)

    def rate(self, from_s: int, until_s: int) -> float:
        """Compute the mean message rate of all daemons.

        :param from_s: first second.
        :param until_s: second after the last.
        :returns: messages per second.
        """
        return mean_rate(self.messages, from_s, until_s)

    def cpu_ms_by_second(self, daemon_id: str) -> collections.Counter[int]:
        """Convert a daemon's processor time to milliseconds.

        :param daemon_id: the daemon.
        :returns: milliseconds by second.
        """
        spent = self.cpu_ns_by_daemon[daemon_id]
        return collections.Counter(
            {
                second: spent_ns / _NS_PER_MS
                for second, spent_ns in spent.items()
            }
        )


def mean_rate(
    amount_by_s: collections.Counter[int], from_s: int, until_s: int
) -> float:
    """Compute the mean amount per second.

    :param amount_by_s: amounts by second.
    :param from_s: first second.
    :param until_s: second after the last.
    :returns: amount per second.
    """
    amounts = [amount_by_s[second] for second in range(from_s, until_s)]
    return sum(amounts) / max(1, len(amounts))


def peak_rate(
    amount_by_s: collections.Counter[int],
    span: tuple[int, int],
    window_s: int,
) -> float:
    """Compute the mean rate of the busiest window.

    :param amount_by_s: amounts by second.
    :param span: first second, and second after the last.
    :param window_s: length of the window in seconds.
    :returns: amount per second.
    """
    from_s, until_s = span
    return max(
        mean_rate(amount_by_s, start_s, start_s + window_s)
        for start_s in range(from_s, max(from_s + 1, until_s - window_s + 1))
    )


def longest_run_above(
    amount_by_s: collections.Counter[int],
    span: tuple[int, int],
    limit: float,
) -> int:
    """Find the longest run of seconds above a limit.

    :param amount_by_s: amounts by second.
    :param span: first second, and second after the last.
    :param limit: amount per second.
    :returns: length of the run in seconds.
    """
    flags = (amount_by_s[second] > limit for second in range(*span))
    runs = (
        len(list(run)) for is_above, run in itertools.groupby(flags) if is_above
    )
    return max(runs, default=0)


def _retry_share(spread: RetrySpread) -> float:
    return spread.share


def _counters() -> collections.defaultdict[str, collections.Counter[int]]:
    return collections.defaultdict(collections.Counter)
