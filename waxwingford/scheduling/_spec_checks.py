"""Checks of jobs, before anything is computed from them.

A job that can't be scheduled would otherwise fail each owner in turn, as its row
stays in the store. So it is refused when it is submitted, and its row isn't
decoded.
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from waxwingford.scheduling._specs import JobSpec, StepSpec

#: Limits of one job. An owner keeps all tasks of the repetitions that have begun.
MAX_STEPS = 1000
MAX_TASKS = 20_000
MAX_TASKS_OF_ALL_REPETITIONS = 100_000
#: Limit of resources, durations in ms and counts.
MAX_AMOUNT = 1_000_000_000
#: Limit of Unix times in ms, as JSON has no exact numbers beyond it.
MAX_UNIX_MS = 9_007_199_254_740_992


class SpecFault(NamedTuple):
    """What is wrong with a job.

    :ivar field: name of the field of ``JobSpec``, ``StepSpec`` or ``Resources``.
    :ivar given: value of the field.
    :ivar expected: values that are accepted.
    :ivar step: index of the step, ``None`` for a field of the job.
    """

    field: str
    given: object
    expected: str
    step: int | None = None

    def __str__(self) -> str:
        """Format the fault as ``field: given, expected values``."""
        place = '' if self.step is None else f'steps[{self.step}].'
        return f'{place}{self.field}: {self.given}, expected {self.expected}'


def find_fault(spec: JobSpec) -> SpecFault | None:
    """Find out whether a job can be scheduled.

    :returns: the first fault, ``None`` if the job can be scheduled.
    """
    return next(_find_faults(spec), None)


def _find_faults(spec: JobSpec) -> Iterator[SpecFault]:
    if not 0 < len(spec.steps) <= MAX_STEPS:
        yield SpecFault('steps', len(spec.steps), f'1 to {MAX_STEPS} steps')
    yield from _check_range('first_due_ms', spec.first_due_ms, MAX_UNIX_MS)
    yield from _check_range('every_ms', spec.every_ms, MAX_UNIX_MS)
    for index, step in enumerate(spec.steps):
        for fault in _find_step_faults(index, step):
            yield fault._replace(step=index)
    tasks = sum(step.count for step in spec.steps)
    if not 0 < tasks <= MAX_TASKS:
        yield SpecFault('count', tasks, f'1 to {MAX_TASKS} in all steps')
    most = MAX_TASKS_OF_ALL_REPETITIONS // max(1, tasks)
    yield from _check_range('times', spec.times, most)


def _find_step_faults(index: int, step: StepSpec) -> Iterator[SpecFault]:
    yield from _check_range('count', step.count, MAX_TASKS)
    for field, amount in _amounts(step):
        yield from _check_range(field, amount, MAX_AMOUNT)
    expected = f'an earlier step, 0 to {index - 1}' if index else 'no step'
    for after in step.after:
        if not 0 <= after < index:
            yield SpecFault('after', after, expected)


def _amounts(step: StepSpec) -> Iterable[tuple[str, int]]:
    return (
        *step.needs._asdict().items(),
        ('estimate_ms', step.estimate_ms),
        ('max_per_server', step.max_per_server),
        ('target_ms', step.target_ms),
        ('max_unavailable', step.max_unavailable),
    )


def _check_range(field: str, given: int, most: int) -> Iterator[SpecFault]:
    if not 0 <= given <= most:
        yield SpecFault(field, given, f'0 to {most}')
