"""The night's batch in small: submits, cancels and follows jobs."""

import asyncio
import dataclasses
import random
import time
from typing import NamedTuple

import aiohttp
import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
)

from waxwingford.adapters import HttpLog, encode_json
from waxwingford.bundles import sign_request
from waxwingford.ports import LogUnavailable, Resources
from waxwingford.records import DomainState, decode_group
from waxwingford_standins.deployment import JobPlan
from waxwingford_standins.layout import HOST, DaemonPlace
from waxwingford_standins.local_run import LocalRun
from waxwingford_standins.server_tasks import Work

_MS_IN_S = 1000
_RETRY_S = 0.3
_HTTP_S = 5
_TRIES = 20
_READ_LIMIT = 500
_LOG_TIMEOUT_MS = 2000
_FINAL_STATUSES = frozenset((200, 201, 202, 400, 409, 413, 422))
ACCEPTED_STATUSES = frozenset((200, 201, 202))


class Submitted(NamedTuple):
    """A job and what became of its submission.

    :ivar job_id: which job.
    :ivar plan: where it came from.
    :ivar status: HTTP status of the last answer; 0 without one.
    :ivar reply: text of that answer.
    """

    job_id: str
    plan: JobPlan
    status: int
    reply: str


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
class DomainLedger:
    """Jobs of a failure domain as its stream tells them.

    :ivar state: fold of the stream so far.
    :ivar accepted: ids of accepted jobs.
    """

    state: DomainState = dataclasses.field(default_factory=DomainState)
    accepted: set[str] = dataclasses.field(default_factory=set)


class Night:
    """Jobs of a deployment over one run.

    :ivar submitted: jobs and what became of their submission.
    """

    def __init__(self, local_run: LocalRun, label: str) -> None:
        """Prepare.

        :param local_run: where the daemons are.
        :param label: makes job ids unique in the log.
        """
        self.submitted: list[Submitted] = []
        self._run = local_run
        self._label = label
        self._random = random.Random(local_run.deployment.seed)

    async def run(self) -> None:
        """Submit and cancel every job of the deployment."""
        await asyncio.gather(
            *(
                self._job(plan, number)
                for plan in self._run.deployment.jobs
                for number in range(plan.jobs)
            )
        )

    async def _job(self, plan: JobPlan, number: int) -> None:
        await asyncio.sleep(plan.submit_at_ms / _MS_IN_S)
        job_id = f'{plan.member}.{plan.name}-{number}-{self._label}'
        daemon = self._random.choice(self._run.layout.daemons)
        body = encode_json(_fields(plan, job_id))
        status, reply = await self._post(plan, daemon, '/v1/jobs', body)
        self.submitted.append(Submitted(job_id, plan, status, reply))
        if plan.cancel_after_ms and status in ACCEPTED_STATUSES:
            await asyncio.sleep(plan.cancel_after_ms / _MS_IN_S)
            await self._post(plan, daemon, f'/v1/jobs/{job_id}/cancel', b'')

    async def _post(
        self, plan: JobPlan, daemon: DaemonPlace, path: str, body: bytes
    ) -> tuple[int, str]:
        """Send a signed request until it has a final answer.

        Always to one failure domain, whose stream makes a repeated submission
        harmless; another daemon of it stands in for one that is away.

        :param plan: whose member signs.
        :param daemon: first choice.
        :param path: of the request.
        :param body: of the request.
        :returns: status and text of the last answer.
        """
        key = self._run.key_by_member[plan.member]
        nearby = [
            place
            for place in self._run.layout.daemons
            if place.failure_domain == daemon.failure_domain
        ]
        status, reply = 0, ''
        for attempt in range(_TRIES):
            place = nearby[attempt % len(nearby)] if attempt else daemon
            status, reply = await self._send(key, plan, place, path, body)
            if status in _FINAL_STATUSES:
                break
            await asyncio.sleep(_RETRY_S)
        return status, reply

    async def _send(
        self,
        key: Ed25519PrivateKey,
        plan: JobPlan,
        place: DaemonPlace,
        path: str,
        body: bytes,
    ) -> tuple[int, str]:
        headers = sign_request(key, plan.member, 'POST', path, body, _wall_ms())
        try:
            async with self._run.switches.client.post(
                f'{place.url}{path}',
                data=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=_HTTP_S),
            ) as answer:
                return answer.status, await answer.text()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return 0, f'{type(error).__name__}: {error}'


async def read_ledger(local_run: LocalRun, domain: str) -> DomainLedger:
    """Fold the stream of a failure domain, straight from the log.

    :param local_run: where the log is.
    :param domain: name of the failure domain.
    :returns: its jobs; as far as the log could be read.
    """
    port = local_run.layout.platform_port
    log = HttpLog(f'http://{HOST}:{port}', _LOG_TIMEOUT_MS)
    ledger = DomainLedger()
    try:
        more = True
        while more:
            more = await _fold_more(log, domain, ledger)
    finally:
        await log.close()
    return ledger


async def _fold_more(log: HttpLog, domain: str, ledger: DomainLedger) -> bool:
    state = ledger.state
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
        ledger.accepted |= state.jobs_by_id.keys()
    return state.next_offset < block.next_offset


def _fields(plan: JobPlan, job_id: str) -> JobFields:
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
        _payload(plan),
        now_ms,
    )


def _payload(plan: JobPlan) -> str:
    uses = Resources(
        plan.real_processors_milli or plan.processors_milli,
        plan.real_memory_mb or plan.memory_mb,
        plan.accelerators,
    )
    work = Work(plan.real_run_ms or plan.run_ms, 'done', uses=uses)
    return encode_json(work).decode()


def _wall_ms() -> int:
    return int(time.time() * _MS_IN_S)
