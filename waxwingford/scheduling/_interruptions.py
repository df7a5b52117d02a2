"""Interruptions of an owner, after which its knowledge is old.

A process that is stopped, or waits long for its processor, decides late by
monotonic time. Monotonic time stops while a VM is suspended, so that a suspension
shows only as a step of Unix time against it, as does a correction of the clock.
"""

from typing import NamedTuple

#: Longest time between two decisions of an owner that isn't interrupted, in ms.
MAX_DECISION_GAP_MS = 500
#: Largest move of Unix time against monotonic time between two decisions, in ms.
MAX_CLOCK_MOVE_MS = 500


class Interruption(NamedTuple):
    """Interruption of an owner between two decisions.

    :ivar gap_ms: monotonic time between them, in ms.
    :ivar clock_moved_ms: time in ms by which Unix time has moved against monotonic
        time: the length of a suspension, or a step of the clock, which may be
        negative.
    """

    gap_ms: int
    clock_moved_ms: int


class Interruptions:
    """Finds interruptions by the times of decisions.

    :ivar interrupted_ms: monotonic time in ms of the first decision after the latest
        interruption, ``None`` for none.
    """

    def __init__(self) -> None:
        self.interrupted_ms: int | None = None
        self._decided: tuple[int, int] | None = None

    def note_decision(self, now_ms: int, wall_ms: int) -> Interruption | None:
        """Note a decision.

        :param now_ms: current monotonic time, in ms.
        :param wall_ms: current Unix time, in ms.
        :returns: interruption since the former decision, ``None`` for none.
        """
        former = self._decided
        self._decided = now_ms, wall_ms
        if former is None:
            return None
        gap_ms = now_ms - former[0]
        clock_moved_ms = wall_ms - former[1] - gap_ms
        late = gap_ms > MAX_DECISION_GAP_MS
        if not late and abs(clock_moved_ms) <= MAX_CLOCK_MOVE_MS:
            return None
        self.interrupted_ms = now_ms
        return Interruption(gap_ms, clock_moved_ms)
