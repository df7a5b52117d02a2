"""Outcome of a decision: what was placed, and what its limit of starts left."""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from waxwingford.scheduling._state import Step


class Backlog(NamedTuple):
    """Tasks that a round left because of its limit of starts.

    Tasks of later steps of the same jobs are included.

    :ivar urgent: tasks that aren't best-effort.
    """

    urgent: int = 0
    best_effort: int = 0


class Decision(NamedTuple):
    """Outcome of a decision.

    :ivar placed: number of planned runs.
    :ivar returned: number of tasks requeued since the decision before because no run
        of them began after their placement.
    """

    placed: int
    backlog: Backlog
    returned: int = 0


def count_backlog(
    left: Iterable[tuple[Step, int]], before: Backlog, with_best_effort: bool
) -> Backlog:
    """Count the tasks that a round left.

    :param left: steps, and how many of their tasks were left.
    :param before: backlog after the round before.
    :param with_best_effort: whether the round looked at best-effort tasks.
    """
    by_kind: collections.Counter[bool] = collections.Counter()
    last_steps: dict[tuple[str, int], Step] = {}
    for step, count in left:
        by_kind[step.spec.best_effort] += count
        job = step.job.spec.job_id, step.occurrence
        last = last_steps.setdefault(job, step)
        if step.index > last.index:
            last_steps[job] = step
    for step in last_steps.values():
        steps = step.job.steps_by_occurrence[step.occurrence]
        for later in steps[step.index + 1 :]:
            by_kind[later.spec.best_effort] += later.unfinished
    return Backlog(
        by_kind[False],
        by_kind[True] if with_best_effort else before.best_effort,
    )
