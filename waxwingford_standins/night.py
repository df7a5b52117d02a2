"""Submits and cancels batch jobs and reads their state from the log."""

import asyncio
import dataclasses
import random
import time
from typing import NamedTuple

import msgspec

from waxwingford.adapters import HttpLog, encode_json
from waxwingford.ports import LogUnavailable, Resources
from waxwingford.records import DomainState, decode_group
from waxwingford_standins.deployment import JobPlan
from waxwingford_standins.layout import HOST
from waxwingford_standins.local_run import LocalRun
from waxwingford_standins.operator import ACCEPTED_STATUSES, Operator
from waxwingford_standins.server_tasks import Work

_MS_PER_S = 1000
_READ_LIMIT = 500
_LOG_TIMEOUT_MS = 2000


class SubmittedJob(NamedTuple):
    """A job and the response to its submission.

    :ivar plan: plan that the job was created from.
    :ivar status: HTTP status of the last response; 0 if there was none.
    :ivar reply: body of the last response.
    :ivar failure_domain: failure domain that the job was submitted to.
    """

    job_id: str
    plan: JobPlan
    status: int
    reply: str
    failure_domain: str


class JobFields(msgspec.Struct):
    """Body of ``POST /v1/jobs``; see :class:`waxwingford.records.JobSpec`."""

    job_id: str
    member: str
    team: str
    kind: str
    task_count: int
    resources: Resources
    run_ms: int
    priority: int
    finish_by_wall_ms: int
    lost_after_ms: int
    payload: str
    submitted_wall_ms: int


@dataclasses.dataclass(slots=True)
class DomainTracker:
    """Jobs of a failure domain, replayed from its log stream.

    :ivar state: state after the entries read so far.
    :ivar accepted: ids of accepted jobs.
    """

    state: DomainState = dataclasses.field(default_factory=DomainState)
    accepted: set[str] = dataclasses.field(default_factory=set)


class Night:
    """Batch load of a deployment during one run.

    :ivar submitted: jobs with the responses to their submission.
    """

    def __init__(self, local_run: LocalRun, label: str) -> None:
        """Create the batch load without submitting jobs.

        :param local_run: run with ready daemons.
        :param label: suffix that makes job ids unique in the log.
        """
        self.submitted: list[SubmittedJob] = []
        self._run = local_run
        self._operator = Operator(local_run)
        self._label = label
        self._random = random.Random(local_run.deployment.seed)

    async def run(self) -> None:
        """Submit and cancel every job of the deployment."""
        await asyncio.gather(
            *(
                self._run_job(plan, number)
                for plan in self._run.deployment.jobs
                for number in range(plan.jobs)
            )
        )

    async def _run_job(self, plan: JobPlan, number: int) -> None:
        await asyncio.sleep(plan.submit_at_ms / _MS_PER_S)
        job_id = f'{plan.member}.{plan.name}-{number}-{self._label}'
        daemon = self._random.choice(self._run.layout.daemons)
        body = encode_json(_job_request(plan, job_id))
        status, reply = await self._operator.post_until_final(
            plan.member, daemon, '/v1/jobs', body
        )
        domain = daemon.failure_domain
        self.submitted.append(SubmittedJob(job_id, plan, status, reply, domain))
        if plan.cancel_after_ms and status in ACCEPTED_STATUSES:
            await asyncio.sleep(plan.cancel_after_ms / _MS_PER_S)
            await self._operator.post_until_final(
                plan.member, daemon, f'/v1/jobs/{job_id}/cancel'
            )

    async def evict_all(self) -> int:
        """Request the eviction of every task of every submitted job.

        :returns: number of tasks whose eviction was accepted.
        """
        replies = await asyncio.gather(
            *(
                self._operator.post(
                    job.plan.member,
                    daemon,
                    f'/v1/jobs/{job.job_id}/tasks/{index}/evict',
                )
                for job in self.submitted
                for daemon in self._run.layout.daemons
                if daemon.failure_domain == job.failure_domain
                for index in range(job.plan.tasks)
            )
        )
        return sum(status in ACCEPTED_STATUSES for status, _ in replies)


async def read_tracker(local_run: LocalRun, domain: str) -> DomainTracker:
    """Replay the stream of a failure domain from the log.

    :param local_run: run whose platform holds the log.
    :param domain: name of the failure domain.
    :returns: jobs of the failure domain, up to the last entry that could be
        read.
    """
    port = local_run.layout.platform_port
    log = HttpLog(f'http://{HOST}:{port}', _LOG_TIMEOUT_MS)
    tracker = DomainTracker()
    try:
        has_more = True
        while has_more:
            has_more = await _apply_next_block(log, domain, tracker)
    finally:
        await log.close()
    return tracker


async def _apply_next_block(
    log: HttpLog, domain: str, tracker: DomainTracker
) -> bool:
    state = tracker.state
    block = await log.read(f'domain/{domain}', state.next_offset, _READ_LIMIT)
    if isinstance(block, LogUnavailable):
        return False
    for entry in block.entries:
        try:
            group = decode_group(entry.payload)
        except msgspec.DecodeError:
            state.skip(entry.offset)
            continue
        state.apply(entry.offset, group)
        tracker.accepted |= state.jobs_by_id.keys()
    return state.next_offset < block.next_offset


def _job_request(plan: JobPlan, job_id: str) -> JobFields:
    now_ms = _wall_ms()
    deadline_ms = now_ms + plan.finish_within_ms
    return JobFields(
        job_id,
        plan.member,
        plan.team,
        plan.kind,
        plan.tasks,
        Resources(plan.processors_milli, plan.memory_mb, plan.accelerators),
        plan.run_ms,
        plan.priority,
        deadline_ms if plan.finish_within_ms else 0,
        plan.lost_after_ms,
        _work_payload(plan),
        now_ms,
    )


def _work_payload(plan: JobPlan) -> str:
    uses = Resources(
        plan.real_processors_milli or plan.processors_milli,
        plan.real_memory_mb or plan.memory_mb,
        plan.accelerators,
    )
    work = Work(plan.real_run_ms or plan.run_ms, 'done', uses=uses)
    return encode_json(work).decode()


def _wall_ms() -> int:
    return int(time.time() * _MS_PER_S)
