"""Random batch jobs with true and declared resource usage."""

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
#: Share of the jobs that each member submits; quotas are equal.
_MEMBER_SHARES = (0.5, 0.3, 0.2)
_TEAMS = ('night', 'day')
#: Submitted work relative to the capacity left for batch.
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
    """A task with its true and declared resource usage.

    :ivar task_id: ``<member>.<job>/<index>``.
    :ivar member: member that owns it.
    :ivar team: team of the member.
    :ivar kind: batch kind.
    :ivar declared: declared size.
    :ivar declared_run_s: declared run time, in seconds.
    :ivar used: true resource usage.
    :ivar run_s: true run time without interference or throttling, in seconds.
    :ivar priority: 0 to 100.
    :ivar deadline_s: virtual time of its deadline; None without one.
    :ivar submitted_s: virtual time of its submission.
    :ivar progress_s: run time kept in its last checkpoint, in seconds.
    :ivar attempt: number of the next attempt.
    :ivar checkpoint_server: server that took its last checkpoint; empty
        without one.
    :ivar failed_on: servers on which attempts failed.
    :ivar cancelled: whether its member cancelled it.
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
        """Return the true processor usage.

        :returns: cores.
        """
        return self.used.processors_milli / _MILLI


class Job(NamedTuple):
    """Tasks submitted together.

    :ivar submit_s: virtual time of submission, in seconds.
    :ivar domain: index of the failure domain that receives it.
    :ivar tasks: tasks of the job.
    """

    submit_s: int
    domain: int
    tasks: list[Task]


def draw_jobs(
    deployment: Deployment,
    fault: Fault,
    kinds: dict[str, Kind],
    duration_s: int,
    rng: np.random.Generator,
) -> list[Job]:
    """Draw all jobs of a run.

    :param deployment: emulated deployment.
    :param fault: injected fault.
    :param kinds: interference, which decides the kind of a noisy wave.
    :param duration_s: length of the run, in seconds.
    :param rng: seeded generator.
    :returns: jobs in order of submission.
    """
    cores = VM_TOTAL.processors_milli - VM_RESERVED.processors_milli
    work = deployment.servers * cores / _MILLI * duration_s * _DEMAND
    count = int(work / (_MEAN_RUN_S * _MEAN_CORES * _MEAN_TASKS))
    spread = 1.0 if fault is Fault.wrong_declarations else 0.4
    times = np.sort(rng.integers(0, duration_s, count))
    # A quarter of the jobs is submitted at the start as an initial backlog.
    times = np.where(np.arange(count) < count // 4, 0, times)
    jobs = [
        _draw_job(
            str(index),
            int(submit_s),
            deployment,
            spread,
            duration_s,
            rng,
        )
        for index, submit_s in enumerate(times)
    ]
    if fault is Fault.noisy_wave:
        jobs += _draw_wave(deployment, kinds, duration_s, rng)
    return sorted(jobs, key=lambda job: job.submit_s)


def _draw_job(
    name: str,
    submit_s: int,
    deployment: Deployment,
    spread: float,
    duration_s: int,
    rng: np.random.Generator,
) -> Job:
    member = str(rng.choice(MEMBERS, p=_MEMBER_SHARES))
    team = str(rng.choice(_TEAMS))
    kind = str(rng.choice(KINDS))
    priority = int(rng.choice([0, 0, 20]))
    has_deadline = bool(rng.binomial(1, _DEADLINE_SHARE))
    deadline_s = duration_s * 0.95 if has_deadline else None
    cores = int(rng.integers(2, 7))
    declared = Resources(cores * _MILLI, int(rng.integers(4, 16)) * 1024, 0)
    if spread >= 1 and rng.random() < _IMPOSSIBLE_SHARE:
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
                submit_s,
            ),
            spread,
            rng,
        )
        for number in range(int(rng.integers(1, 7)))
    ]
    return Job(submit_s, int(rng.integers(deployment.domains)), tasks)


def _draw_task(
    task: Task,
    spread: float,
    rng: np.random.Generator,
) -> Task:
    task.run_s = float(_MEAN_RUN_S * np.exp(rng.normal(-0.18, 0.6)))
    task.declared_run_s = task.run_s * float(np.exp(rng.normal(0, spread)))
    factor = float(np.exp(rng.normal(-0.3, 0.5 * (spread - 0.2))))
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
    duration_s: int,
    rng: np.random.Generator,
) -> list[Job]:
    noisiest = max(kinds.values(), key=lambda kind: kind.effect).name
    submit_s = int(duration_s * 0.4)
    jobs = [
        _draw_job(
            f'{_WAVE}{index}',
            submit_s,
            deployment,
            0.4,
            duration_s,
            rng,
        )
        for index in range(int(deployment.servers * _WAVE_TASKS_PER_SERVER / 3))
    ]
    for job in jobs:
        for task in job.tasks:
            task.kind = noisiest
    return jobs


def is_wave(job: Job) -> bool:
    """Check whether a job belongs to the noisy wave.

    :param job: any job of the run.
    :returns: whether it does.
    """
    return f'.job{_WAVE}' in job.tasks[0].task_id
