"""Outcome of a decision: what was placed, and what its limit of starts left."""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from waxwingford.scheduling._task_order import PendingTask


class Backlog(NamedTuple):
    """Pending tasks that a round left because of its limit of starts.

    :ivar urgent: tasks that aren't best-effort.
    """

    urgent: int = 0
    best_effort: int = 0


class Decision(NamedTuple):
    """Outcome of a decision.

    :ivar placed: number of planned runs.
    """

    placed: int
    backlog: Backlog


def count_backlog(
    left: Iterable[PendingTask], before: Backlog, with_best_effort: bool
) -> Backlog:
    """Count the tasks that a round left.

    :param before: backlog after the round before.
    :param with_best_effort: whether the round looked at best-effort tasks.
    """
    by_kind = collections.Counter(
        pending.step.spec.best_effort for pending in left
    )
    return Backlog(
        by_kind[False],
        by_kind[True] if with_best_effort else before.best_effort,
    )
