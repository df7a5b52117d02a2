"""Sizes and run times corrected by what is measured; declared is the prior."""

import collections
import math
from typing import NamedTuple

from waxwingford.placement._fit import largest, smallest
from waxwingford.ports import Resources

#: Ended tasks remembered for each (member, kind).
_WINDOW_TASKS = 64
#: Safety quantile of the sizes seen: one task in 20 may use more.
_SIZE_QUANTILE = 0.95
#: Run times steer order and deadlines only, so a high quantile is enough.
_RUN_QUANTILE = 0.75
#: Weight of the declaration, counted in measured tasks.
_PRIOR_TASKS = 4


class _Key(NamedTuple):
    """Tasks that are alike: those of one member and kind."""

    member: str
    kind: str


class _Measured:
    """What the last tasks of a key used, and how far declarations were off."""

    def __init__(self) -> None:
        self.use: collections.deque[Resources] = collections.deque(
            maxlen=_WINDOW_TASKS,
        )
        self.run_ratio: collections.deque[float] = collections.deque(
            maxlen=_WINDOW_TASKS,
        )
        self._size: Resources | None = None
        self._ratio: float | None = None

    def add_use(self, peak: Resources) -> None:
        """Learn the size of one task.

        :param peak: the most that it used.
        """
        self.use.append(peak)
        self._size = None

    def add_run(self, ratio: float) -> None:
        """Learn how far one declared run time was off.

        :param ratio: measured against declared.
        """
        self.run_ratio.append(ratio)
        self._ratio = None

    def size(self) -> Resources:
        """Tell the safe size; sorted only after a change, as views ask often.

        :returns: the safety quantile by dimension.
        """
        if self._size is None:
            self._size = Resources(
                *(
                    int(_quantile(list(column), _SIZE_QUANTILE))
                    for column in zip(*self.use, strict=True)
                ),
            )
        return self._size

    def ratio(self) -> float:
        """Tell the run time against the declared one, cached likewise.

        :returns: the quantile of the ratios seen.
        """
        if self._ratio is None:
            self._ratio = _quantile(list(self.run_ratio), _RUN_QUANTILE)
        return self._ratio


def _quantile(seen: list[float], share: float) -> float:
    """Take the upper value at a quantile.

    :param seen: at least one value.
    :param share: the quantile, 0 to 1.
    :returns: a value that was seen.
    """
    ordered = sorted(seen)
    return ordered[min(len(ordered) - 1, math.ceil(share * len(ordered)) - 1)]


class SizeTracker:
    """Corrects declarations by (member, kind).

    What a task is given, and so what is committed on a VM, is never below the
    declaration: a declaration that is too low would over-commit the VM, one
    that is too high only wastes room that its own member pays for in quota.
    """

    def __init__(self) -> None:
        """Start without measurements."""
        self._measured_by_key: dict[_Key, _Measured] = {}

    def observe_use(self, member: str, kind: str, peak: Resources) -> None:
        """Learn the size of one task.

        :param member: owner of the task.
        :param kind: batch kind.
        :param peak: the most that it used while it ran.
        """
        self._entry(member, kind).add_use(peak)

    def observe_run(
        self,
        member: str,
        kind: str,
        declared_ms: int,
        ran_ms: int,
    ) -> None:
        """Learn the run time of one task that came to its end.

        :param member: owner of the task.
        :param kind: batch kind.
        :param declared_ms: declared run time, in milliseconds.
        :param ran_ms: run time over all attempts, in milliseconds.
        """
        ratio = ran_ms / max(declared_ms, 1)
        self._entry(member, kind).add_run(ratio)

    def given(
        self,
        member: str,
        kind: str,
        declared: Resources,
        offer: Resources,
    ) -> Resources:
        """Compute what a task is given and what is committed for it.

        :param member: owner of the task.
        :param kind: batch kind.
        :param declared: declared size.
        :param offer: the largest ``total - reserved`` that exists; a
            correction beyond it would make a task that can run wait for ever.
        :returns: the declaration, or more where tasks like it used more.
        """
        entry = self._measured_by_key.get(_Key(member, kind))
        if entry is None or not entry.use:
            return declared
        return largest(declared, smallest(entry.size(), offer))

    def run_ms(self, member: str, kind: str, declared_ms: int) -> int:
        """Correct a declared run time.

        :param member: owner of the task.
        :param kind: batch kind.
        :param declared_ms: declared run time, in milliseconds.
        :returns: the expected one, in milliseconds; the declaration weighs as
            much as a few measured tasks.
        """
        entry = self._measured_by_key.get(_Key(member, kind))
        if entry is None or not entry.run_ratio:
            return declared_ms
        count = len(entry.run_ratio)
        ratio = entry.ratio()
        shrunk = (ratio * count + _PRIOR_TASKS) / (count + _PRIOR_TASKS)
        return int(declared_ms * shrunk)

    def _entry(self, member: str, kind: str) -> _Measured:
        return self._measured_by_key.setdefault(_Key(member, kind), _Measured())
