"""Open-loop load generator for service requests.

Arrivals do not depend on responses.  Refused and unknown requests are retried
with the same idempotency key after the requested delay, and each response is
checked against the token of its request.
"""

import asyncio
import collections
import dataclasses
import enum
import itertools
import random
import ssl
from typing import NamedTuple

import aiohttp
import msgspec

from waxwingford_standins.deployment import CallerPlan, Deployment
from waxwingford_standins.layout import Layout
from waxwingford_standins.server_service import ServiceEcho

_MS_PER_S = 1000
_TIMEOUT_MARGIN_S = 1
_DEFAULT_RETRY_S = 0.2
_MAX_RETRY_S = 5
_OK = 200


class CallOutcome(enum.StrEnum):
    """Outcome of an attempt or a call, as observed by the caller."""

    answered = 'answered'
    refused = 'refused'
    unknown = 'unknown'
    rejected = 'rejected'
    foreign = 'foreign'
    broken_off = 'broken_off'
    unreachable = 'unreachable'


#: Outcomes that guarantee that the request was not executed.
NOT_RUN_OUTCOMES = frozenset((CallOutcome.refused, CallOutcome.unreachable))
_FINAL_OUTCOMES = frozenset(
    (CallOutcome.answered, CallOutcome.rejected, CallOutcome.foreign)
)


class AttemptResult(NamedTuple):
    """Result of one attempt of a call.

    :ivar retry_after_s: delay before the next attempt, in seconds.
    :ivar reason: reason given by the daemon, or type of the client error.
    :ivar daemon_id: daemon that received the attempt.
    """

    outcome: CallOutcome
    retry_after_s: float = _DEFAULT_RETRY_S
    reason: str = ''
    daemon_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A completed call with all its attempts.

    :ivar caller: name of the caller plan.
    :ivar token: unique token, also sent as idempotency key unless the call is
        idempotent.
    :ivar idempotent: whether the call may be executed more than once.
    :ivar outcomes: outcomes of the attempts, in order.
    :ivar latency_ms: time from the first attempt to completion, in
        milliseconds.
    :ivar daemon_id: daemon that received the last attempt.
    :ivar started_s: monotonic time of the first attempt, in seconds.
    """

    caller: str
    token: str
    idempotent: bool
    outcomes: tuple[CallOutcome, ...]
    latency_ms: float
    daemon_id: str = ''
    started_s: float = 0

    @property
    def outcome(self) -> CallOutcome:
        """Final outcome of the call.

        :returns: outcome of the last attempt.
        """
        return self.outcomes[-1]


class _ErrorBody(msgspec.Struct):
    reason: str


class Callers:
    """Load generator for all callers of a deployment.

    :ivar reasons: number of unanswered attempts by outcome and reason.
    """

    def __init__(
        self,
        deployment: Deployment,
        layout: Layout,
        label: str = 'call',
        tls: ssl.SSLContext | bool = True,
    ) -> None:
        """Create the load generator without sending requests.

        :param deployment: callers and network latencies.
        :param label: prefix of every token; unique among concurrent loads.
        :param tls: TLS context, or whether to verify certificates.
        """
        self.calls: list[Call] = []
        self.reasons: collections.Counter[str] = collections.Counter()
        self._deployment = deployment
        self._daemons = layout.daemons
        self._label = label
        self._tls = tls
        self._random = random.Random(deployment.seed)
        self._call_numbers = itertools.count(1)

    async def run(self, seconds: float) -> None:
        """Generate load, then wait until all calls have completed.

        :param seconds: duration in which calls are started, in seconds.
        """
        connector = aiohttp.TCPConnector(limit=0, ssl=self._tls)
        async with (
            aiohttp.ClientSession(connector=connector) as client,
            asyncio.TaskGroup() as group,
        ):
            for plan in self._deployment.callers:
                group.create_task(
                    self._generate_arrivals(group, client, plan, seconds)
                )

    async def _generate_arrivals(
        self,
        group: asyncio.TaskGroup,
        client: aiohttp.ClientSession,
        plan: CallerPlan,
        seconds: float,
    ) -> None:
        if not plan.requests_per_s:
            return
        loop = asyncio.get_running_loop()
        next_s = loop.time()
        until_s = next_s + seconds
        while next_s < until_s:
            next_s += self._random.expovariate(plan.requests_per_s)
            await asyncio.sleep(max(next_s - loop.time(), 0))
            group.create_task(self._make_call(client, plan))

    async def _make_call(
        self, client: aiohttp.ClientSession, plan: CallerPlan
    ) -> None:
        token = f'{self._label}-{plan.name}-{next(self._call_numbers)}'
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        outcomes: list[CallOutcome] = []
        for attempt in range(1, plan.attempts + 1):
            age_ms = int((loop.time() - start_s) * _MS_PER_S)
            headers = _headers(plan, token, attempt, age_ms)
            result = await self._attempt(client, plan, token, headers)
            outcomes.append(result.outcome)
            if result.outcome is not CallOutcome.answered:
                self.reasons[f'{result.outcome}: {result.reason}'] += 1
            if result.outcome in _FINAL_OUTCOMES or attempt == plan.attempts:
                break
            await asyncio.sleep(min(result.retry_after_s, _MAX_RETRY_S))
        latency_ms = (loop.time() - start_s) * _MS_PER_S
        self.calls.append(
            Call(
                plan.name,
                token,
                plan.idempotent,
                tuple(outcomes),
                latency_ms,
                result.daemon_id,
                start_s,
            )
        )

    async def _attempt(
        self,
        client: aiohttp.ClientSession,
        plan: CallerPlan,
        token: str,
        headers: dict[str, str],
    ) -> AttemptResult:
        service = self._deployment.service.name
        daemon = self._random.choice(self._daemons)
        client_s = self._deployment.network.client_ms / _MS_PER_S
        await asyncio.sleep(client_s)
        try:
            async with client.post(
                f'{daemon.url}/v1/services/{service}/{plan.path}',
                data=_body(plan, token),
                headers=headers,
                timeout=aiohttp.ClientTimeout(
                    total=plan.deadline_ms / _MS_PER_S + _TIMEOUT_MARGIN_S
                ),
            ) as answer:
                result = _classify_response(answer, await answer.read(), token)
        except aiohttp.ClientConnectorError:
            result = AttemptResult(CallOutcome.unreachable)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            result = AttemptResult(
                CallOutcome.broken_off, reason=type(error).__name__
            )
        await asyncio.sleep(client_s)
        return result._replace(daemon_id=daemon.daemon_id)


def _headers(
    plan: CallerPlan, token: str, attempt: int, age_ms: int
) -> dict[str, str]:
    headers = {
        'Content-Type': 'application/json',
        'Waxwingford-Member': plan.member,
        'Waxwingford-Deadline-Ms': str(plan.deadline_ms),
        'Waxwingford-Urgency': plan.urgency,
        'Waxwingford-Idempotent': 'true' if plan.idempotent else 'false',
        'Waxwingford-Attempt': str(attempt),
        'Waxwingford-Age-Ms': str(age_ms),
    }
    if not plan.idempotent:
        headers['Idempotency-Key'] = token
    return headers


def _body(plan: CallerPlan, token: str) -> bytes:
    key = '' if plan.idempotent else token
    return msgspec.json.encode(ServiceEcho(token=token, key=key))


def _classify_response(
    answer: aiohttp.ClientResponse, body: bytes, token: str
) -> AttemptResult:
    """Classify a response.

    :param answer: status and headers of the response.
    :param token: token of the request, which an answer must repeat.
    """
    tag = answer.headers.get('Waxwingford-Outcome', '')
    if tag == CallOutcome.answered:
        return AttemptResult(_check_echo(answer.status, body, token))
    retry_ms = answer.headers.get('Waxwingford-Retry-After-Ms', '')
    retry_after_s = (
        int(retry_ms) / _MS_PER_S if retry_ms.isdigit() else _DEFAULT_RETRY_S
    )
    outcome = CallOutcome.unknown
    if tag in {CallOutcome.refused, CallOutcome.rejected}:
        outcome = CallOutcome(tag)
    return AttemptResult(
        outcome, retry_after_s, _read_reason(answer.status, body)
    )


def _read_reason(status: int, body: bytes) -> str:
    try:
        return msgspec.json.decode(body, type=_ErrorBody).reason
    except msgspec.DecodeError:
        return f'status {status}'


def _check_echo(status: int, body: bytes, token: str) -> CallOutcome:
    try:
        echo = msgspec.json.decode(body, type=ServiceEcho)
    except msgspec.DecodeError:
        return CallOutcome.foreign
    is_own = status == _OK and echo.token == token
    return CallOutcome.answered if is_own else CallOutcome.foreign
