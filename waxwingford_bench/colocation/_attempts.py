"""Attempts on emulated servers and their resource usage."""

import dataclasses
from typing import NamedTuple

from waxwingford.ports import AttemptKey, Resources
from waxwingford_bench.colocation._truth import KINDS
from waxwingford_bench.colocation._workload import Task

#: Length of a sampling window.
WINDOW_S = 5
#: Run time that is repeated after resuming from a checkpoint, in seconds.
_REWORK_S = 4


@dataclasses.dataclass(slots=True)
class Attempt:
    """A running or ended attempt at a task.

    :ivar task: task that the attempt runs.
    :ivar key: identifier of the attempt.
    :ivar allocated: resources reserved for it.
    :ivar started_s: virtual time of its start, in seconds.
    :ivar ran_s: run time completed in this attempt, in seconds; negative
        while its checkpoint is fetched.
    :ivar percent: throttled processor share in percent; 100 if unthrottled.
    :ivar checkpoint_done_s: virtual time at which its checkpoint completes;
        None if none was requested.
    :ivar ended_s: virtual time of its end; None while it runs.
    """

    task: Task
    key: AttemptKey
    allocated: Resources
    started_s: int
    ran_s: float = 0
    percent: int = 100
    checkpoint_done_s: int | None = None
    ended_s: int | None = None


class Ended(NamedTuple):
    """An ended attempt with its outcome.

    :ivar attempt: the attempt.
    :ivar server: index of its server.
    :ivar outcome: ``done``, ``failed``, ``checkpointed``, ``stopped`` or
        ``lost``.
    """

    attempt: Attempt
    server: int
    outcome: str


def cores_by_kind(attempts: dict[AttemptKey, Attempt]) -> list[float]:
    """Sum the cores in use by batch kind.

    :param attempts: attempts on one server, by key.
    :returns: cores in the order of ``KINDS``.
    """
    cores = dict.fromkeys(KINDS, float(0))
    for attempt in attempts.values():
        cores[attempt.task.kind] += attempt.task.cores * attempt.percent / 100
    return list(cores.values())


def mean_use(attempt: Attempt, now_s: int) -> Resources:
    """Compute the mean usage of an attempt over the last window.

    :param attempt: running or ended attempt.
    :param now_s: end of the window, in seconds.
    :returns: mean usage.
    """
    end_s = now_s if attempt.ended_s is None else attempt.ended_s
    ran_s = end_s - max(attempt.started_s, now_s - WINDOW_S)
    share = attempt.percent / 100 * ran_s / WINDOW_S
    used = attempt.task.used
    return used._replace(processors_milli=int(used.processors_milli * share))


def rework_s(attempt: Attempt) -> float:
    """Compute the run time that is repeated after a checkpoint.

    :param attempt: checkpointed attempt.
    :returns: repeated run time, in seconds.
    """
    return min(_REWORK_S, max(attempt.ran_s, 0))
