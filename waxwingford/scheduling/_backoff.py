"""Delays before unsuccessful work is repeated, which grow with each attempt."""

from collections.abc import Hashable
from typing import Generic, NamedTuple, TypeVar

_Key = TypeVar('_Key', bound=Hashable)


class _Delay(NamedTuple):
    # Gain of the work, when it is repeated, and the delay before that.
    gain: float
    due_ms: int
    delay_ms: int


class Backoff(Generic[_Key]):
    """Work that is postponed, by key."""

    def __init__(self, first_ms: int, longest_ms: int) -> None:
        """Create a back-off.

        :param first_ms: first delay, in ms, doubled by each one that follows.
        :param longest_ms: longest delay, in ms.
        """
        self._first_ms = first_ms
        self._longest_ms = longest_ms
        self._delay_by_key: dict[_Key, _Delay] = {}

    def postponed(self, now_ms: int) -> set[_Key]:
        """List the keys whose work is postponed, whatever its gain.

        :param now_ms: current monotonic time, in ms.
        """
        return {
            key
            for key, delay in self._delay_by_key.items()
            if delay.due_ms > now_ms
        }

    def covers(self, key: _Key, gain: float, now_ms: int) -> bool:
        """Tell whether work with at most the gain of the postponed one is postponed.

        :param now_ms: current monotonic time, in ms.
        """
        delay = self._delay_by_key.get(key)
        return (
            delay is not None and delay.due_ms > now_ms and gain <= delay.gain
        )

    def postpone(self, key: _Key, gain: float, now_ms: int) -> None:
        """Postpone work that was unsuccessful, unless it already is.

        :param now_ms: current monotonic time, in ms.
        """
        if self.covers(key, gain, now_ms):
            return
        former = self._delay_by_key.get(key)
        delay_ms = (
            min(2 * former.delay_ms, self._longest_ms)
            if former
            else self._first_ms
        )
        self._delay_by_key[key] = _Delay(gain, now_ms + delay_ms, delay_ms)

    def reset(self, key: _Key) -> None:
        """Forget the delay of work that was successful."""
        self._delay_by_key.pop(key, None)

    def forget_old(self, now_ms: int) -> None:
        """Forget work that wasn't repeated within the longest delay.

        :param now_ms: current monotonic time, in ms.
        """
        self._delay_by_key = {
            key: delay
            for key, delay in self._delay_by_key.items()
            if now_ms - delay.due_ms < self._longest_ms
        }
