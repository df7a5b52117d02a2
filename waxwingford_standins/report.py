"""Report of a run, and its text format."""

import collections
import itertools
from collections.abc import Iterable, Iterator, Sequence

import msgspec

from waxwingford_standins.audit import (
    Finding,
    FinishedJob,
    audit_attempts,
    audit_calls,
    audit_jobs,
    audit_leaving,
)
from waxwingford_standins.backend_server import ServerAudit
from waxwingford_standins.latencies import LatencyRow, latency_rows
from waxwingford_standins.load import Callers
from waxwingford_standins.night import DomainTracker, SubmittedJob
from waxwingford_standins.operator import ACCEPTED_STATUSES

_MAX_FINDINGS = 20
_MAX_REASONS = 12


class BatchReport(msgspec.Struct):
    """Batch work of a run.

    :ivar submitted: number of submitted jobs.
    :ivar accepted: number of jobs recorded as accepted in the log.
    :ivar finished: number of jobs without open tasks.
    :ivar unfinished: ids of accepted jobs with open tasks.
    :ivar tasks_done: number of completed tasks of finished jobs.
    :ivar tasks_failed: number of permanently failed tasks of finished jobs.
    :ivar tasks_cancelled: number of cancelled tasks of finished jobs.
    :ivar attempts_by_phase: number of attempts on servers by final phase;
        ``checkpointed`` attempts were evicted.
    :ivar told_impossible: responses to jobs that fit on no server.
    """

    submitted: int
    accepted: int
    finished: int
    unfinished: list[str]
    tasks_done: int
    tasks_failed: int
    tasks_cancelled: int
    attempts_by_phase: dict[str, int]
    told_impossible: list[str]


class RunReport(msgspec.Struct):
    """Results of a run.

    :ivar deployment: name of the deployment.
    :ivar seconds: duration of the load, in seconds.
    :ivar attempts_by_outcome: number of request attempts by outcome.
    :ivar reasons: number of unanswered attempts by outcome and reason.
    :ivar server_refusals: number of requests refused by servers because all
        slots were busy.
    :ivar platform: counters of the platform.
    """

    deployment: str
    seconds: float
    latencies: list[LatencyRow]
    attempts_by_outcome: dict[str, int]
    reasons: dict[str, int]
    server_refusals: int
    batch: BatchReport
    findings: list[Finding]
    platform: dict[str, int]


def make_report(
    deployment: str,
    seconds: float,
    callers: Callers,
    servers: Sequence[ServerAudit],
    submitted: Sequence[SubmittedJob],
    trackers: Sequence[DomainTracker],
    platform: dict[str, int],
) -> RunReport:
    """Audit a run and create its report.

    :param deployment: name of the deployment.
    :param seconds: duration of the load, in seconds.
    :param callers: load generator with the completed calls.
    :param trackers: replayed streams of all failure domains.
    :param platform: counters of the platform.
    """
    in_log = frozenset().union(*(tracker.accepted for tracker in trackers))
    finished = list(_finished_jobs(trackers))
    acknowledged = (
        job.job_id for job in submitted if job.status in ACCEPTED_STATUSES
    )
    findings = [
        *audit_calls(callers.calls, servers),
        *audit_attempts(servers),
        *audit_leaving(servers),
        *audit_jobs(acknowledged, in_log, finished, servers),
    ]
    outcomes = itertools.chain.from_iterable(
        call.outcomes for call in callers.calls
    )
    return RunReport(
        deployment,
        seconds,
        latency_rows(callers.calls),
        dict(collections.Counter(outcome.value for outcome in outcomes)),
        dict(callers.reasons.most_common(_MAX_REASONS)),
        sum(server.refused for server in servers),
        _batch_report(submitted, in_log, finished, trackers, servers),
        findings,
        platform,
    )


def report_text(report: RunReport) -> str:
    """Format a report as text."""
    return '\n'.join((*_report_lines(report), ''))


def _finished_jobs(trackers: Iterable[DomainTracker]) -> Iterator[FinishedJob]:
    for tracker in trackers:
        for job in tracker.state.finished.summary_by_id.values():
            yield FinishedJob(job.job_id, job.done, job.failed, job.cancelled)


def _batch_report(
    submitted: Sequence[SubmittedJob],
    in_log: frozenset[str],
    finished: Sequence[FinishedJob],
    trackers: Iterable[DomainTracker],
    servers: Iterable[ServerAudit],
) -> BatchReport:
    phases = collections.Counter(
        run.phase for server in servers for run in server.attempts
    )
    unfinished = itertools.chain.from_iterable(
        tracker.state.jobs_by_id for tracker in trackers
    )
    return BatchReport(
        len(submitted),
        len(in_log),
        len(finished),
        sorted(unfinished),
        sum(job.done for job in finished),
        sum(job.failed for job in finished),
        sum(job.cancelled for job in finished),
        dict(phases),
        [
            f'{job.job_id}: {job.status} {job.reply.strip()}'
            for job in submitted
            if job.plan.never_fits
        ],
    )


def _report_lines(report: RunReport) -> Iterator[str]:
    yield f'deployment {report.deployment}, load of {report.seconds:.0f} s'
    yield from _request_lines(report)
    yield from _batch_lines(report.batch)
    yield f'platform: {_format_counts(report.platform)}'
    yield f'audit: {len(report.findings)} findings'
    yield from (
        f'  {finding.check}: {finding.detail}'
        for finding in report.findings[:_MAX_FINDINGS]
    )


def _request_lines(report: RunReport) -> Iterator[str]:
    yield 'requests, from first attempt to last answer, network included (ms)'
    titles = ('count', 'p50', 'p99', 'p99.9')
    columns = ''.join(f'{title:>9}' for title in titles)
    yield f'{"caller":<16}{"outcome":<12}{columns}'
    yield from (
        f'{row.caller:<16}{row.outcome:<12}{row.count:>9}'
        f'{row.p50_ms:>9.1f}{row.p99_ms:>9.1f}{row.p999_ms:>9.1f}'
        for row in report.latencies
    )
    yield f'attempts by outcome: {_format_counts(report.attempts_by_outcome)}'
    yield from (
        f'  {count:>6} {reason}' for reason, count in report.reasons.items()
    )
    yield f'refused by servers since all slots were busy: {report.server_refusals}'


def _batch_lines(batch: BatchReport) -> Iterator[str]:
    yield (
        f'jobs: {batch.submitted} submitted, {batch.accepted} accepted, '
        f'{batch.finished} finished, {len(batch.unfinished)} unfinished'
    )
    yield (
        f'tasks of finished jobs: {batch.tasks_done} done, '
        f'{batch.tasks_failed} failed, {batch.tasks_cancelled} cancelled'
    )
    yield f'attempts by final phase: {_format_counts(batch.attempts_by_phase)}'
    evictions = batch.attempts_by_phase.get('checkpointed', 0)
    yield f'evictions (checkpointed attempts): {evictions}'
    yield from (
        f'job that fits on no server: {line}' for line in batch.told_impossible
    )


def _format_counts(count_by_name: dict[str, int]) -> str:
    return ', '.join(
        f'{name} {count}' for name, count in sorted(count_by_name.items())
    )
