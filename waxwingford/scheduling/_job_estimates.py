"""Estimates of the work of a job and of the time that it may take."""

import bisect
import enum
from typing import NamedTuple

from waxwingford.scheduling._run_times import RunTimes
from waxwingford.scheduling._specs import QueueTerms
from waxwingford.scheduling._state import Job, Step

#: Thousandths of a core times milliseconds in a core-second.
_WORK_PER_CORE_S = 1_000_000
#: Multiple of its objective after which a job's completion has no value.
EXPIRED_FACTOR = 3
#: Names of the classes of size, and their upper limits as multiples of the mean.
_SIZE_CLASSES = ('under half', 'under mean', 'under double', 'over double')
_SIZE_LIMITS = (0.5, 1, 2)
#: Share of the mean size of a queue's jobs that a new one replaces.
_MEAN_GAIN = 0.02


class Lateness(enum.IntEnum):
    """Age of a job compared with its objective.

    :ivar late: over its objective.
    :ivar expired: over ``EXPIRED_FACTOR`` times its objective.
    """

    in_time = 0
    late = 1
    expired = 2


class JobEstimate(NamedTuple):
    """Estimate for one repetition of a job.

    :ivar work: CPU time that is left, in thousandths of a core times milliseconds.
    :ivar objective_ms: time in which it should complete, in ms.
    :ivar size: CPU time of all its tasks, in the unit of ``work``.
    :ivar age_ms: time for which it is owed, in ms.
    """

    work: float
    objective_ms: float
    size: float = 0
    age_ms: int = 0

    @property
    def lateness(self) -> Lateness:
        """Age compared with the objective."""
        if self.age_ms <= self.objective_ms:
            return Lateness.in_time
        expired = self.age_ms > EXPIRED_FACTOR * self.objective_ms
        return Lateness.expired if expired else Lateness.late

    def note_fields(self) -> dict[str, object]:
        """Return the estimate as fields of a note.

        :returns: CPU times in core-seconds, age and objective in ms.
        """
        return {
            'age_ms': self.age_ms,
            'core_s': round(self.size / _WORK_PER_CORE_S, 1),
            'left_core_s': round(self.work / _WORK_PER_CORE_S, 1),
            'objective_ms': round(self.objective_ms),
        }


class JobSizes:
    """Mean sizes of the jobs that ended, by queue, for metrics."""

    def __init__(self) -> None:
        self._mean_by_queue: dict[str, float] = {}

    def add(self, queue: str, size: float) -> None:
        """Add an ended job.

        :param size: CPU time of all its tasks, see ``JobEstimate``.
        """
        mean = self._mean_by_queue.setdefault(queue, size)
        self._mean_by_queue[queue] = mean + _MEAN_GAIN * (size - mean)

    def classify(self, queue: str, size: float) -> str:
        """Compare the size of a job with the mean of its queue.

        :returns: name of its class of size.
        """
        mean = self._mean_by_queue.get(queue, size)
        share = size / mean if mean > 0 else 1
        return _SIZE_CLASSES[bisect.bisect_right(_SIZE_LIMITS, share)]


def owed_since_ms(job: Job, occurrence: int, wall_offset_ms: int) -> int:
    """Return the monotonic time since which a repetition is owed, in ms.

    :param wall_offset_ms: offset of Unix time from monotonic time, in ms.
    :returns: when the repetition was due, or when this owner received a job that
        isn't timed.
    """
    spec = job.spec
    if not spec.times:
        return job.received_ms
    due_ms = spec.first_due_ms + occurrence * spec.every_ms
    return due_ms - wall_offset_ms


def estimate_job(
    steps: list[Step], queue: QueueTerms, run_times: RunTimes
) -> JobEstimate:
    """Estimate one repetition of a job from what is known of its run times.

    :param steps: steps of the repetition.
    """
    work: float = 0
    size: float = 0
    end_ms_by_index: list[float] = []
    for step in steps:
        time_ms = run_time_ms(step, run_times)
        task_work = time_ms * step.spec.needs.processors_milli
        work += step.unfinished * task_work
        size += step.spec.count * task_work
        started_ms = max(
            [end_ms_by_index[index] for index in step.spec.after], default=0
        )
        end_ms_by_index.append(started_ms + time_ms)
    chain_ms = max(end_ms_by_index, default=0)
    objective_ms = queue.stretch * chain_ms + queue.target_ms
    return JobEstimate(work, objective_ms, size)


def run_time_ms(step: Step, run_times: RunTimes) -> float:
    """Return the expected run time of a step's tasks at full speed, in ms."""
    observed_ms = step.observed_ms
    if observed_ms is not None:
        return observed_ms
    return run_times.predict(step.job.spec.queue, step.spec.estimate_ms)


__all__ = (
    'EXPIRED_FACTOR',
    'JobEstimate',
    'JobSizes',
    'Lateness',
    'estimate_job',
    'owed_since_ms',
    'run_time_ms',
)
