"""Plays an emulated day and tells what it was worth."""

from typing import NamedTuple

from waxwingford.scheduling import NO_FEATURES, Features
from waxwingford_bench.interference._cluster import FIRST_MS, EmulatedCluster
from waxwingford_bench.interference._workload import (
    EmulatedJob,
    Kind,
    Workload,
)

#: Time before the first jobs arrive, in which the long-running ones start.
WARM_UP_S = 6
#: Time after the last arrival for which jobs may still complete.
FINISH_S = 14
#: Worth of a job that is late, as a share; later than the factor it has none.
LATE_SHARE = 0.15
LATE_FACTOR = 3
#: Shares of a day's worth.
BEST_EFFORT_WEIGHT = 0.56
SERVING_WEIGHT = 0.36
URGENT_WEIGHT = 0.08
#: Factor of the time in which best-effort tasks push serving ones over the target.
OVER_TARGET_FACTOR = 4


class DayWorth(NamedTuple):
    """Worth of a day, and its parts, each from 0 to 1.

    :ivar in_time: share of the best-effort jobs that were in time, by number.
    :ivar busy_cores: mean CPU of best-effort runs, in cores.
    :ivar served: share of the best-effort jobs that were served, late ones
        included, by number; ``served_fifth`` and ``served_tenth`` are the same of the
        next largest fifth and of the largest tenth, and ``urgent_...`` of urgent
        jobs.
    :ivar urgent_in_time_fifth: share of the next largest fifth of the urgent jobs that
        was in time, and ``urgent_in_time_tenth`` of the largest tenth.
    :ivar urgent_wait_tenth_s: mean time by which the largest tenth of the urgent jobs
        took longer than its run times, in seconds; jobs that weren't completed count
        until the end of the day.
    :ivar refused: share of the best-effort jobs that were refused, by number.
    :ivar goodput_cores: work of the best-effort jobs that were in time, by the time of
        the day, in cores.
    """

    total: float
    best_effort: float
    urgent: float
    serving: float
    in_time: float
    busy_cores: float
    served: float
    served_fifth: float
    served_tenth: float
    urgent_served: float
    urgent_fifth: float
    urgent_tenth: float
    urgent_in_time_fifth: float
    urgent_in_time_tenth: float
    urgent_wait_tenth_s: float
    refused: float
    goodput_cores: float


def play(
    workload: Workload,
    seed: int,
    span_s: float = 34,
    features: Features = NO_FEATURES,
) -> DayWorth:
    """Play a day.

    :param span_s: time in which jobs arrive, in seconds.
    """
    cluster = EmulatedCluster(workload, seed, features)
    for job in cluster.draw.serving():
        cluster.submit(job)
    _run_until(cluster, WARM_UP_S)
    cluster.serving_ms = 0
    cluster.over_ms = 0
    jobs = cluster.draw.arrivals(span_s)
    started_ms = cluster.now_ms
    for job in jobs:
        while cluster.now_ms < started_ms + job.arrival_ms:
            cluster.tick()
        cluster.submit(job)
    _run_until(cluster, WARM_UP_S + span_s + FINISH_S)
    urgent_kind, best_effort_kind = workload.kinds
    over_share = cluster.over_ms / max(1, cluster.serving_ms)
    best_effort, in_time = _worth(cluster, jobs, best_effort_kind, started_ms)
    urgent, _ = _worth(cluster, jobs, urgent_kind, started_ms)
    serving = 1 - OVER_TARGET_FACTOR * over_share
    total = (
        BEST_EFFORT_WEIGHT * best_effort
        + URGENT_WEIGHT * urgent
        + SERVING_WEIGHT * serving
    )
    return DayWorth(
        total,
        best_effort,
        urgent,
        serving,
        in_time,
        cluster.used_core_s / (span_s + FINISH_S),
        *_served_by_size(cluster, jobs, best_effort_kind, started_ms),
        *_served_by_size(cluster, jobs, urgent_kind, started_ms),
        *_largest_in_time(cluster, jobs, urgent_kind, started_ms),
        *_refused_and_goodput(
            cluster, jobs, best_effort_kind, started_ms, span_s + FINISH_S
        ),
    )


def _run_until(cluster: EmulatedCluster, at_s: float) -> None:
    while cluster.now_ms < FIRST_MS + at_s * 1000:
        cluster.tick()


def _worth(
    cluster: EmulatedCluster,
    jobs: list[EmulatedJob],
    kind: Kind,
    started_ms: int,
) -> tuple[float, float]:
    """Compute the worth of a kind of jobs, and the share that was in time."""
    own = [job for job in jobs if job.kind is kind]
    mean_work = sum(job.work for job in own) / max(1, len(own))
    earned: float = 0
    owed: float = 0
    in_time = 0
    for job in own:
        worth = min(4, 0.3 + 0.7 * job.work / mean_work)
        owed += worth
        finished_ms = cluster.finished_ms_by_job.get(job.spec.job_id)
        if finished_ms is None:
            continue
        took_ms = finished_ms - started_ms - job.arrival_ms
        if took_ms <= job.objective_ms:
            earned += worth
            in_time += 1
        elif took_ms <= LATE_FACTOR * job.objective_ms:
            earned += LATE_SHARE * worth
    return earned / max(owed, 1e-9), in_time / max(1, len(own))


def _served_by_size(
    cluster: EmulatedCluster,
    jobs: list[EmulatedJob],
    kind: Kind,
    started_ms: int,
) -> tuple[float, float, float]:
    """Compute the shares of jobs that were served, late ones included.

    :returns: shares of all, of the next largest fifth and the largest tenth.
    """
    fifth, tenth = _largest(jobs, kind)
    own = [job for job in jobs if job.kind is kind]
    return tuple(
        _share([_is_served(cluster, job, started_ms) for job in part])
        for part in (own, fifth, tenth)
    )


def _largest_in_time(
    cluster: EmulatedCluster,
    jobs: list[EmulatedJob],
    kind: Kind,
    started_ms: int,
) -> tuple[float, float, float]:
    """Compute how the largest jobs of a kind fared.

    :returns: shares in time of the next largest fifth and the largest tenth, and mean
        wait of the latter in seconds.
    """
    fifth, tenth = _largest(jobs, kind)
    waits_ms = [
        _took_ms(cluster, job, started_ms) - sum(map(max, job.length_ms))
        for job in tenth
    ]
    in_time = [
        _share(
            [
                _took_ms(cluster, job, started_ms) <= job.objective_ms
                and job.spec.job_id in cluster.finished_ms_by_job
                for job in part
            ]
        )
        for part in (fifth, tenth)
    ]
    return *in_time, sum(waits_ms) / max(1, len(waits_ms)) / 1000


def _largest(
    jobs: list[EmulatedJob], kind: Kind
) -> tuple[list[EmulatedJob], list[EmulatedJob]]:
    """Select the next largest fifth and the largest tenth of a kind of jobs."""
    own = sorted((job for job in jobs if job.kind is kind), key=_work)
    fifth, tenth = (round(share * len(own)) for share in (0.7, 0.9))
    return own[fifth:tenth], own[tenth:]


def _took_ms(
    cluster: EmulatedCluster, job: EmulatedJob, started_ms: int
) -> float:
    """Compute how long a job took, until now if it isn't completed, in ms."""
    finished_ms = cluster.finished_ms_by_job.get(
        job.spec.job_id, cluster.now_ms
    )
    return finished_ms - started_ms - job.arrival_ms


def _refused_and_goodput(
    cluster: EmulatedCluster,
    jobs: list[EmulatedJob],
    kind: Kind,
    started_ms: int,
    day_s: float,
) -> tuple[float, float]:
    """Compute the share of jobs that were refused, and the work that was in time.

    :returns: share by number, and the work in cores.
    """
    own = [job for job in jobs if job.kind is kind]
    refused = [job.spec.job_id in cluster.refused for job in own]
    in_time = (
        job.work
        for job in own
        if _is_served(cluster, job, started_ms, most_objectives=1)
    )
    return _share(refused), sum(in_time) / day_s


def _work(job: EmulatedJob) -> float:
    return job.work


def _is_served(
    cluster: EmulatedCluster,
    job: EmulatedJob,
    started_ms: int,
    most_objectives: float = LATE_FACTOR,
) -> bool:
    finished_ms = cluster.finished_ms_by_job.get(job.spec.job_id)
    if finished_ms is None:
        return False
    took_ms = finished_ms - started_ms - job.arrival_ms
    return took_ms <= most_objectives * job.objective_ms


def _share(served: list[bool]) -> float:
    return sum(served) / max(1, len(served))


__all__ = ('DayWorth', 'play')
