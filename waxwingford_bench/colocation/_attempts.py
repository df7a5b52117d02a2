"""Attempts on emulated servers and what they use."""

import dataclasses
from typing import NamedTuple

from waxwingford.ports import Resources, TaskKey
from waxwingford_bench.colocation._truth import KINDS
from waxwingford_bench.colocation._workload import Task

#: Length of a window of samples.
WINDOW_S = 5
#: What of a run is done again after a checkpoint.
_REDONE_S = 4


@dataclasses.dataclass(slots=True)
class Attempt:
    """An attempt on a server.

    :ivar task: what runs.
    :ivar key: which attempt.
    :ivar given: what it was given.
    :ivar started_s: when.
    :ivar ran_s: run time done in this attempt.
    :ivar percent: throttle, 100 for none.
    :ivar leaves_s: when a checkpoint is done; None without one.
    :ivar ended_s: when it was over; None while it runs.
    """

    task: Task
    key: TaskKey
    given: Resources
    started_s: int
    ran_s: float = 0
    percent: int = 100
    leaves_s: int | None = None
    ended_s: int | None = None


class Ended(NamedTuple):
    """An attempt that is over.

    :ivar attempt: which one.
    :ivar server: index of the server.
    :ivar how: ``done``, ``failed``, ``checkpointed``, ``stopped``, ``lost``.
    """

    attempt: Attempt
    server: int
    how: str


def cores_by_kind(attempts: dict[TaskKey, Attempt]) -> list[float]:
    """Add up the cores that attempts use now.

    :param attempts: on one server, by key.
    :returns: cores in the order of the kinds.
    """
    cores = dict.fromkeys(KINDS, float(0))
    for attempt in attempts.values():
        cores[attempt.task.kind] += attempt.task.cores * attempt.percent / 100
    return list(cores.values())


def mean_use(attempt: Attempt, now_s: int) -> Resources:
    """Compute what an attempt used over the last window.

    :param attempt: which one.
    :param now_s: end of the window.
    :returns: mean use.
    """
    end_s = now_s if attempt.ended_s is None else attempt.ended_s
    ran_s = end_s - max(attempt.started_s, now_s - WINDOW_S)
    share = attempt.percent / 100 * ran_s / WINDOW_S
    used = attempt.task.used
    return used._replace(processors_milli=int(used.processors_milli * share))


def redone_s(attempt: Attempt) -> float:
    """Compute how much of a checkpointed attempt is done again.

    :param attempt: which one.
    :returns: seconds of its run time.
    """
    return min(_REDONE_S, max(attempt.ran_s, 0))
