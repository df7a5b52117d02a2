"""Counts what daemons send, and what they spend, by time of day."""

import collections
import itertools
from typing import NamedTuple

_MS_IN_S = 1000
_SLOT_MS = 100
_MINUTE_MS = 60_000
_NS_IN_MS = 1_000_000
#: Fewer retries in a minute say nothing of their spread.
_FEWEST_RETRIES = 50


class Spread(NamedTuple):
    """The minute whose retries are least spread.

    :ivar kind: what is retried.
    :ivar retries: in that minute.
    :ivar largest: retries in its fullest slot of 100 ms.
    """

    kind: str
    retries: int
    largest: int

    @property
    def share(self) -> float:
        """Tell how much of the minute falls into one slot.

        :returns: 0 to 1.
        """
        return self.largest / self.retries if self.retries else 0


class Meter:
    """Messages, bytes, processor time and retries in virtual time.

    :ivar messages: by second.
    :ivar messages_by_kind: by kind and second.
    :ivar bytes_by_daemon: by daemon and second.
    :ivar spent_by_daemon: processor time in nanoseconds, likewise.
    """

    def __init__(self) -> None:
        """Start at nothing."""
        self.messages: collections.Counter[int] = collections.Counter()
        self.messages_by_kind = _counters()
        self.bytes_by_daemon = _counters()
        self.spent_by_daemon = _counters()
        self._retries_by_kind = _counters()

    def note_sent(
        self, daemon_id: str, kind: str, size: int, now_ms: int
    ) -> None:
        """Count a message of a daemon.

        :param daemon_id: who sent it.
        :param kind: what it is.
        :param size: encoded bytes.
        :param now_ms: virtual time.
        """
        self.messages[now_ms // _MS_IN_S] += 1
        self.messages_by_kind[kind][now_ms // _MS_IN_S] += 1
        self.note_bytes(daemon_id, size, now_ms)

    def note_bytes(self, daemon_id: str, size: int, now_ms: int) -> None:
        """Count bytes of an answer.

        :param daemon_id: who read it.
        :param size: encoded bytes.
        :param now_ms: virtual time.
        """
        self.bytes_by_daemon[daemon_id][now_ms // _MS_IN_S] += size

    def note_spent(self, daemon_id: str, spent_ns: int, now_ms: int) -> None:
        """Count processor time.

        :param daemon_id: who spent it.
        :param spent_ns: nanoseconds.
        :param now_ms: virtual time.
        """
        self.spent_by_daemon[daemon_id][now_ms // _MS_IN_S] += spent_ns

    def note_retry(self, kind: str, now_ms: int) -> None:
        """Count a retry.

        :param kind: what is retried.
        :param now_ms: virtual time.
        """
        self._retries_by_kind[kind][now_ms // _SLOT_MS] += 1

    def worst_spread(self, kind: str, from_ms: int, until_ms: int) -> Spread:
        """Find the minute of which most falls into one slot.

        :param kind: of retries.
        :param from_ms: start of the first minute.
        :param until_ms: end of the last one.
        :returns: the minute's figures; zeros if none had enough retries.
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
            Spread(kind, sum(minute), max(minute))
            for minute in minutes
            if sum(minute) >= _FEWEST_RETRIES
        ]
        return max(spreads, key=_share, default=Spread(kind, 0, 0))

    def fullest_slot(self, kind: str, from_ms: int, until_ms: int) -> int:
        """Find the slot of 100 ms with most retries.

        :param kind: of retries.
        :param from_ms: start of the first slot.
        :param until_ms: end of the last one.
        :returns: retries in it.
        """
        slots = self._retries_by_kind[kind]
        return max(
            slots[slot]
            for slot in range(from_ms // _SLOT_MS, until_ms // _SLOT_MS)
        )

    def retry_kinds(self) -> list[str]:
        """List what was retried.

        :returns: kinds.
        """
        return sorted(self._retries_by_kind)

    def rate(self, from_s: int, until_s: int) -> float:
        """Tell the mean rate of messages of all daemons.

        :param from_s: first second.
        :param until_s: second after the last.
        :returns: messages a second.
        """
        return mean(self.messages, from_s, until_s)

    def spent_ms(self, daemon_id: str) -> collections.Counter[int]:
        """Tell a daemon's processor time.

        :param daemon_id: which daemon.
        :returns: milliseconds by second.
        """
        spent = self.spent_by_daemon[daemon_id]
        return collections.Counter(
            {second: spent_ns / _NS_IN_MS for second, spent_ns in spent.items()}
        )


def mean(
    amount_by_s: collections.Counter[int], from_s: int, until_s: int
) -> float:
    """Average over seconds.

    :param amount_by_s: amounts.
    :param from_s: first second.
    :param until_s: second after the last.
    :returns: amount a second.
    """
    amounts = [amount_by_s[second] for second in range(from_s, until_s)]
    return sum(amounts) / max(1, len(amounts))


def busiest(
    amount_by_s: collections.Counter[int],
    span: tuple[int, int],
    window_s: int,
) -> float:
    """Find the busiest window.

    :param amount_by_s: amounts.
    :param span: first second, and second after the last.
    :param window_s: its length, in seconds.
    :returns: its mean amount a second.
    """
    from_s, until_s = span
    return max(
        mean(amount_by_s, start_s, start_s + window_s)
        for start_s in range(from_s, max(from_s + 1, until_s - window_s + 1))
    )


def longest_above(
    amount_by_s: collections.Counter[int],
    span: tuple[int, int],
    limit: float,
) -> int:
    """Find for how long a limit is exceeded without a break.

    :param amount_by_s: amounts.
    :param span: first second, and second after the last.
    :param limit: the limit.
    :returns: seconds.
    """
    flags = (amount_by_s[second] > limit for second in range(*span))
    runs = (
        len(list(run)) for is_above, run in itertools.groupby(flags) if is_above
    )
    return max(runs, default=0)


def _share(spread: Spread) -> float:
    return spread.share


def _counters() -> collections.defaultdict[str, collections.Counter[int]]:
    return collections.defaultdict(collections.Counter)
