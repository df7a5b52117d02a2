"""Batch jobs that come in: true sizes and what their members declare."""

import dataclasses
from typing import NamedTuple

import numpy as np

from waxwingford.ports import Resources
from waxwingford_bench.colocation._deployments import (
    VM_RESERVED,
    VM_TOTAL,
    Deployment,
    Fault,
)
from waxwingford_bench.colocation._truth import KINDS, Kind

MEMBERS = ('north', 'south', 'west')
#: Share of the work that each member submits; quotas are equal.
_MEMBER_SHARES = (0.5, 0.3, 0.2)
_TEAMS = ('night', 'day')
#: Work submitted against what all cores left to batch could do.
_DEMAND = 1.15
_MEAN_RUN_S = 110
_MEAN_CORES = 4.2
_MEAN_TASKS = 3.5
_IMPOSSIBLE_SHARE = 0.02
#: Share of jobs with a deadline near the end of the run.
_DEADLINE_SHARE = 0.4
_WAVE = 'wave'
_MILLI = 1000
_WAVE_TASKS_PER_SERVER = 2.5


@dataclasses.dataclass(slots=True)
class Task:
    """A task with its truth and its declaration.

    :ivar task_id: ``<member>.<job>/<index>``.
    :ivar member: owner.
    :ivar team: team of the owner.
    :ivar kind: batch kind.
    :ivar declared: declared size.
    :ivar declared_run_s: declared run time.
    :ivar used: what it really uses.
    :ivar run_s: true run time alone and unthrottled.
    :ivar priority: 0 to 100.
    :ivar deadline_s: when it should be done; None without a deadline.
    :ivar submitted_s: when it came.
    :ivar progress_s: part of the run time that is done and kept.
    :ivar attempt: number of the next attempt.
    :ivar checkpoint_server: where its last checkpoint was taken.
    :ivar failed_on: servers on which attempts failed.
    :ivar cancelled: its member gave it up.
    """

    task_id: str
    member: str
    team: str
    kind: str
    declared: Resources
    declared_run_s: float
    used: Resources
    run_s: float
    priority: int
    deadline_s: float | None
    submitted_s: int
    progress_s: float = 0
    attempt: int = 1
    checkpoint_server: str = ''
    failed_on: tuple[str, ...] = ()
    cancelled: bool = False

    @property
    def cores(self) -> float:
        """Compute the cores that it really uses.

        :returns: cores.
        """
        return self.used.processors_milli / _MILLI


class Job(NamedTuple):
    """Tasks submitted together.

    :ivar at_s: when.
    :ivar domain: to which failure domain.
    :ivar tasks: its tasks.
    """

    at_s: int
    domain: int
    tasks: list[Task]


def draw_jobs(
    deployment: Deployment,
    fault: Fault,
    kinds: dict[str, Kind],
    length_s: int,
    random: np.random.Generator,
) -> list[Job]:
    """Draw all jobs of a run.

    :param deployment: whose machines.
    :param fault: what goes wrong.
    :param kinds: truth, to choose the noisiest kind for a wave.
    :param length_s: length of the run, in seconds.
    :param random: of the run's seed.
    :returns: jobs in order of time.
    """
    cores = VM_TOTAL.processors_milli - VM_RESERVED.processors_milli
    work = deployment.servers * cores / _MILLI * length_s * _DEMAND
    count = int(work / (_MEAN_RUN_S * _MEAN_CORES * _MEAN_TASKS))
    spread = 1.0 if fault is Fault.wrong_declarations else 0.4
    times = np.sort(random.integers(0, length_s, count))
    # A backlog stands at the start, as at the beginning of a night.
    times = np.where(np.arange(count) < count // 4, 0, times)
    jobs = [
        _draw_job(
            str(index),
            int(at_s),
            deployment,
            spread,
            length_s,
            random,
        )
        for index, at_s in enumerate(times)
    ]
    if fault is Fault.noisy_wave:
        jobs += _draw_wave(deployment, kinds, length_s, random)
    return sorted(jobs, key=lambda job: job.at_s)


def _draw_job(
    name: str,
    at_s: int,
    deployment: Deployment,
    spread: float,
    length_s: int,
    random: np.random.Generator,
) -> Job:
    member = str(random.choice(MEMBERS, p=_MEMBER_SHARES))
    team = str(random.choice(_TEAMS))
    kind = str(random.choice(KINDS))
    priority = int(random.choice([0, 0, 20]))
    has_deadline = bool(random.binomial(1, _DEADLINE_SHARE))
    deadline_s = length_s * 0.95 if has_deadline else None
    cores = int(random.integers(2, 7))
    declared = Resources(cores * _MILLI, int(random.integers(4, 16)) * 1024, 0)
    if spread >= 1 and random.random() < _IMPOSSIBLE_SHARE:
        declared = declared._replace(memory_mb=VM_TOTAL.memory_mb)
    tasks = [
        _draw_task(
            Task(
                f'{member}.job{name}/{number}',
                member,
                team,
                kind,
                declared,
                0,
                declared,
                0,
                priority,
                deadline_s,
                at_s,
            ),
            spread,
            random,
        )
        for number in range(int(random.integers(1, 7)))
    ]
    return Job(at_s, int(random.integers(deployment.domains)), tasks)


def _draw_task(
    task: Task,
    spread: float,
    random: np.random.Generator,
) -> Task:
    task.run_s = float(_MEAN_RUN_S * np.exp(random.normal(-0.18, 0.6)))
    task.declared_run_s = task.run_s * float(np.exp(random.normal(0, spread)))
    factor = float(np.exp(random.normal(-0.3, 0.5 * (spread - 0.2))))
    if spread < 1:
        factor = min(factor, 1.0)
    task.used = Resources(
        int(task.declared.processors_milli * min(factor, 1.0)),
        int(task.declared.memory_mb * min(factor, 3.0)),
        0,
    )
    return task


def _draw_wave(
    deployment: Deployment,
    kinds: dict[str, Kind],
    length_s: int,
    random: np.random.Generator,
) -> list[Job]:
    noisiest = max(kinds.values(), key=lambda kind: kind.effect).name
    at_s = int(length_s * 0.4)
    jobs = [
        _draw_job(
            f'{_WAVE}{index}',
            at_s,
            deployment,
            0.4,
            length_s,
            random,
        )
        for index in range(int(deployment.servers * _WAVE_TASKS_PER_SERVER / 3))
    ]
    for job in jobs:
        for task in job.tasks:
            task.kind = noisiest
    return jobs


def is_wave(job: Job) -> bool:
    """Tell whether a job belongs to the noisy wave.

    :param job: any job.
    :returns: whether it does.
    """
    return f'.job{_WAVE}' in job.tasks[0].task_id
