"""Checks responses and the log of a run against what the servers executed."""

import collections
import itertools
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from waxwingford_standins.backend_server import ServerAudit
from waxwingford_standins.load import NOT_RUN_OUTCOMES, Call, CallOutcome
from waxwingford_standins.server_tasks import AttemptRun

#: Time for a server's leaving state to reach all daemons, in milliseconds.
_LEAVING_GRACE_MS = 3000
_STILL_RUNNING = float('inf')
_RUNNING = 'running'


class Finding(NamedTuple):
    """A violated invariant.

    :ivar check: name of the check that failed.
    :ivar detail: ids, counts and times.
    """

    check: str
    detail: str


class FinishedJob(NamedTuple):
    """Task counts of a finished job, as recorded in the log.

    :ivar failed: number of tasks that failed permanently.
    """

    job_id: str
    done: int
    failed: int
    cancelled: int


def audit_calls(
    calls: Iterable[Call], servers: Sequence[ServerAudit]
) -> list[Finding]:
    """Check that responses agree with what the servers executed.

    :param calls: completed calls, as observed by their callers.
    """
    runs_by_key: collections.Counter[str] = collections.Counter()
    runs_by_token: collections.Counter[str] = collections.Counter()
    for server in servers:
        runs_by_key.update(server.runs_by_key)
        runs_by_token.update(server.runs_by_token)
    duplicates = [
        Finding('key_ran_twice', f'{key} ran {count} times')
        for key, count in runs_by_key.items()
        if count > 1
    ]
    call_findings = (
        _audit_call(call, runs_by_token[call.token]) for call in calls
    )
    return [*duplicates, *itertools.chain.from_iterable(call_findings)]


def audit_attempts(servers: Sequence[ServerAudit]) -> list[Finding]:
    """Check that the attempts of a task neither overlap nor lose progress."""
    runs_by_task: dict[str, list[AttemptRun]] = collections.defaultdict(list)
    for run in itertools.chain.from_iterable(
        server.attempts for server in servers
    ):
        runs_by_task[run.task_id].append(run)
    return list(
        itertools.chain.from_iterable(
            _audit_task(task_id, sorted(runs, key=_by_start))
            for task_id, runs in runs_by_task.items()
        )
    )


def audit_leaving(servers: Iterable[ServerAudit]) -> list[Finding]:
    """Check that leaving servers received no new work."""
    return [
        Finding(
            'work_on_leaving_server',
            f'{server.server_id} received work '
            f'{server.newest_work_after_leaving_ms} ms after it began to leave',
        )
        for server in servers
        if server.newest_work_after_leaving_ms > _LEAVING_GRACE_MS
    ]


def audit_jobs(
    acknowledged: Iterable[str],
    in_log: frozenset[str],
    finished: Iterable[FinishedJob],
    servers: Sequence[ServerAudit],
) -> list[Finding]:
    """Check that no accepted job is lost and no task completed without a run.

    :param acknowledged: ids of jobs whose submission was acknowledged.
    :param in_log: ids of jobs recorded as accepted in the log.
    :param finished: finished jobs recorded in the log.
    """
    lost = [
        Finding('job_lost', f'{job_id} was accepted but is not in the log')
        for job_id in acknowledged
        if job_id not in in_log
    ]
    done_by_job = collections.Counter(
        run.task_id.rpartition('/')[0]
        for server in servers
        for run in server.attempts
        if run.phase == 'done'
    )
    not_run = [
        Finding(
            'done_without_run',
            f'{job.job_id}: {job.done} done in the log, '
            f'{done_by_job[job.job_id]} on servers',
        )
        for job in finished
        if done_by_job[job.job_id] < job.done
    ]
    return [*lost, *not_run]


def _audit_call(call: Call, runs: int) -> Iterator[Finding]:
    outcomes = ', '.join(call.outcomes)
    if CallOutcome.foreign in call.outcomes:
        yield Finding('foreign_answer', f'{call.token}: {outcomes}')
    if runs and NOT_RUN_OUTCOMES.issuperset(call.outcomes):
        yield Finding(
            'false_refusal',
            f'{call.token}: {outcomes}, but it ran {runs} times',
        )
    if call.outcome is CallOutcome.answered and not runs:
        yield Finding('answer_without_run', f'{call.token}: {outcomes}')


def _audit_task(task_id: str, runs: list[AttemptRun]) -> Iterator[Finding]:
    """Check all attempts of one task.

    :param runs: its attempts, ordered by start time.
    """
    yield from _find_duplicates(task_id, runs)
    checkpoint = ''
    for before, after in itertools.pairwise(runs):
        if after.started_ms < (before.ended_ms or _STILL_RUNNING):
            yield Finding(
                'task_in_two_places',
                f'{_describe_run(before)} and {_describe_run(after)}',
            )
        if before.phase == 'checkpointed':
            checkpoint = before.detail
        if after.resume_from != checkpoint:
            yield Finding(
                'resumed_from_elsewhere',
                f'{_describe_run(after)} resumed from {after.resume_from!r}, '
                f'expected {checkpoint!r}',
            )


def _find_duplicates(task_id: str, runs: list[AttemptRun]) -> Iterator[Finding]:
    starts = collections.Counter(run.attempt for run in runs)
    yield from (
        Finding(
            'attempt_started_twice', f'{task_id} attempt {attempt}: {count}'
        )
        for attempt, count in starts.items()
        if count > 1
    )
    done = sum(run.phase == 'done' for run in runs)
    if done > 1:
        yield Finding('task_done_twice', f'{task_id}: {done}')


def _describe_run(run: AttemptRun) -> str:
    ended = run.ended_ms or _RUNNING
    return (
        f'{run.task_id} attempt {run.attempt} on {run.server_id} '
        f'({run.started_ms} to {ended} ms, {run.phase})'
    )


def _by_start(run: AttemptRun) -> tuple[int, int]:
    return run.started_ms, run.attempt
