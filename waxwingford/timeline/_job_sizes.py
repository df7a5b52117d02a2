"""What became of short jobs by their size, from log lines of owners."""

import itertools
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from waxwingford.timeline._from_logs import logged_ms, parse_fields

#: Multiple of its objective up to which a completed job is served, if late.
SERVED_FACTOR = 3
#: Limits of the groups of size, as shares of the jobs of a queue by rank.
_LIMITS = (0, 0.35, 0.7, 0.9, 1)


class JobOutcome(NamedTuple):
    """What the log tells of a job.

    :ivar known_ms: Unix time at which an owner first knew it, in ms.
    :ivar tasks: number of its tasks.
    :ivar core_s: CPU time of all its tasks, as estimated last, in core-seconds.
    :ivar objective_ms: time in which it should complete, as estimated last, in ms.
    :ivar started_ms: Unix times at which its tasks were first placed, in ms.
    :ivar ended_ms: Unix time at which it ended, in ms, ``None`` if it didn't.
    :ivar phase: final phase, empty if it didn't end.
    """

    job_id: str
    queue: str
    known_ms: int
    tasks: int
    core_s: float
    objective_ms: float
    started_ms: tuple[int, ...]
    ended_ms: int | None
    phase: str

    @property
    def stretch(self) -> float | None:
        """Time that it took as a multiple of its objective, ``None`` for none."""
        if self.ended_ms is None or self.phase != 'completed':
            return None
        return (self.ended_ms - self.known_ms) / max(1, self.objective_ms)


class SizeGroup(NamedTuple):
    """Jobs of a queue whose sizes are between two ranks.

    :ivar ranks: lowest and highest rank, as shares of the queue's jobs.
    :ivar core_s: mean CPU time of a job, in core-seconds.
    :ivar in_time: share of jobs completed within their objective.
    :ivar late: share of jobs completed within ``SERVED_FACTOR`` times it.
    :ivar unserved: share of jobs completed later, or not at all.
    :ivar never_begun: share of jobs without a placed task.
    :ivar partly_begun: share of jobs of which some tasks were never placed.
    :ivar begun_tasks: share of the tasks that were placed.
    :ivar first_start: mean wait for the first placement, as a share of the
        objective.
    :ivar last_start: the same for the last task that was placed.
    """

    queue: str
    ranks: str
    jobs: int
    core_s: float
    in_time: float
    late: float
    unserved: float
    never_begun: float
    partly_begun: float
    begun_tasks: float
    first_start: float
    last_start: float


class _Job:
    """What was read of a job so far."""

    def __init__(self, queue: str, known_ms: int, tasks: int) -> None:
        self.queue = queue
        self.known_ms = known_ms
        self.tasks = tasks
        self.core_s: float | None = None
        self.objective_ms: float = 0
        self.started_ms_by_task: dict[str, int] = {}
        self.ended_ms: int | None = None
        self.phase = ''

    def estimate(self, fields: dict[str, Any]) -> None:
        """Take the estimate of a line, if it has one."""
        core_s = fields.get('core_s')
        if core_s is not None:
            self.core_s = core_s
            self.objective_ms = fields['objective_ms']


def read_outcomes(lines: Iterable[str]) -> list[JobOutcome]:
    """Read what became of each short job whose size the log tells.

    Jobs that neither ended nor became late have no size in the log, and cancelled
    ones aren't owed; both are left out, as are long-running ones.

    :param lines: log lines of any number of daemons.
    """
    entries = [fields for line in lines if (fields := parse_fields(line))]
    entries.sort(key=logged_ms)
    job_by_id: dict[str, _Job] = {}
    for fields in entries:
        _apply(job_by_id, fields)
    return [
        JobOutcome(
            job_id,
            job.queue,
            job.known_ms,
            job.tasks,
            job.core_s,
            job.objective_ms,
            tuple(sorted(job.started_ms_by_task.values())),
            job.ended_ms,
            job.phase,
        )
        for job_id, job in job_by_id.items()
        if job.core_s is not None and job.phase != 'cancelled'
    ]


def _apply(job_by_id: dict[str, _Job], fields: dict[str, Any]) -> None:
    subject = fields.get('subject', '')
    at_ms = logged_ms(fields)
    job = job_by_id.get(subject.partition('.')[0])
    if fields['event'] == 'job.known':
        # A new owner knows the jobs of its predecessors again.
        tasks = fields.get('tasks', 0)
        job_by_id.setdefault(subject, _Job(fields['queue'], at_ms, tasks))
    if job is None:
        return
    match fields['event']:
        case 'run.planned':
            job.started_ms_by_task.setdefault(subject, at_ms)
        case 'job.late':
            job.estimate(fields)
        case 'job.ended':
            job.estimate(fields)
            job.ended_ms = at_ms
            job.phase = fields['phase']


def group_by_size(outcomes: Iterable[JobOutcome]) -> Iterator[SizeGroup]:
    """Group jobs by queue and size.

    :returns: groups by queue, the smallest jobs first, then all of the queue.
    """
    ordered = sorted(outcomes, key=_queue_and_size)
    for queue, group in itertools.groupby(ordered, key=_queue):
        jobs = list(group)
        for low, high in (*itertools.pairwise(_LIMITS), (0, 1)):
            part = jobs[int(low * len(jobs)) : int(high * len(jobs))]
            if part:
                yield _summarise(queue, f'{low:.2f} to {high:.2f}', part)


def _summarise(queue: str, ranks: str, jobs: list[JobOutcome]) -> SizeGroup:
    count = len(jobs)
    stretches = [job.stretch for job in jobs if job.stretch is not None]
    in_time = sum(stretch <= 1 for stretch in stretches)
    served = sum(stretch <= SERVED_FACTOR for stretch in stretches)
    begun = [job for job in jobs if job.started_ms]
    partly = sum(len(job.started_ms) < job.tasks for job in begun)
    tasks = sum(job.tasks for job in jobs)
    return SizeGroup(
        queue,
        ranks,
        count,
        sum(job.core_s for job in jobs) / count,
        in_time / count,
        (served - in_time) / count,
        (count - served) / count,
        (count - len(begun)) / count,
        partly / count,
        sum(len(job.started_ms) for job in begun) / max(1, tasks),
        _mean_wait(begun, 0),
        _mean_wait(begun, -1),
    )


def _mean_wait(begun: list[JobOutcome], index: int) -> float:
    waits = [
        (job.started_ms[index] - job.known_ms) / max(1, job.objective_ms)
        for job in begun
    ]
    return sum(waits) / max(1, len(waits))


def _queue(job: JobOutcome) -> str:
    return job.queue


def _queue_and_size(job: JobOutcome) -> tuple[str, float, str]:
    return job.queue, job.core_s, job.job_id


__all__ = (
    'JobOutcome',
    'SizeGroup',
    'group_by_size',
    'read_outcomes',
)
