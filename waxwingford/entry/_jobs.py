"""HTTP routes of operators: submit, list and cancel jobs, evict tasks."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any, NamedTuple

import msgspec
from aiohttp import web

from waxwingford.batch import (
    JobAcceptedOutcome,
    JobCancelledOutcome,
    JobOutcomeUnknown,
    JobRefused,
    JobRejected,
    SubmissionOutcome,
)
from waxwingford.bundles import Unverified
from waxwingford.entry._bodies import (
    BodyMemoryExhausted,
    BodyReader,
    InvalidBody,
)
from waxwingford.entry._job_service import JobService, SignatureVerifier
from waxwingford.entry._limits import HttpLimits
from waxwingford.entry._responses import (
    OutcomeBody,
    outcome_response,
    write_response,
)
from waxwingford.entry._submissions import InvalidSubmission, read_submission
from waxwingford.kernel import Clock

_BUSY_RETRY_AFTER_MS = 1000
_TASK_INDEX = r'{index:\d{1,9}}'


class JobRoutesConfig(NamedTuple):
    """Dependencies of the job routes.

    :ivar clock: source of the submission time.
    :ivar limits: limits on bodies and response time.
    """

    dispatcher: JobService
    verify: SignatureVerifier
    clock: Clock
    limits: HttpLimits = HttpLimits()


class _SignedRequest(NamedTuple):
    member: str
    job_id: str
    body: bytes
    request: web.Request


def job_routes(entry: JobRoutesConfig) -> list[web.RouteDef]:
    """Build the job routes.

    :returns: routes for ``aiohttp.web.Application.add_routes``.
    """
    routes = _JobRoutes(entry)
    job_path = '/v1/jobs/{job_id}'
    return [
        web.post('/v1/jobs', routes.handler(routes.submit)),
        web.get('/v1/jobs', routes.handler(routes.list_all)),
        web.get(job_path, routes.handler(routes.show)),
        web.post(f'{job_path}/cancel', routes.handler(routes.cancel)),
        web.post(
            f'{job_path}/tasks/{_TASK_INDEX}/evict',
            routes.handler(routes.evict),
        ),
    ]


class _JobRoutes:
    def __init__(self, entry: JobRoutesConfig) -> None:
        self._entry = entry
        self._bodies = BodyReader(entry.limits)

    def handler(
        self, action: Callable[[_SignedRequest], Awaitable[web.Response]]
    ) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
        async def _handle(request: web.Request) -> web.StreamResponse:
            response = await self._handle_request(request, action)
            if not request.content.is_eof():
                response.force_close()
            return await write_response(
                request, response, self._entry.limits.write_ms
            )

        return _handle

    async def submit(self, signed: _SignedRequest) -> web.Response:
        wall_ms = self._entry.clock.wall_ms()
        job = read_submission(signed.body, signed.member, wall_ms)
        if isinstance(job, InvalidSubmission):
            return _rejected(job.reason, HTTPStatus.UNPROCESSABLE_ENTITY)
        return _submission_response(await self._entry.dispatcher.submit(job))

    async def list_all(self, signed: _SignedRequest) -> web.Response:
        return _json_response(self._entry.dispatcher.jobs(signed.member))

    async def show(self, signed: _SignedRequest) -> web.Response:
        job = self._entry.dispatcher.job(signed.job_id, signed.member)
        return _job_not_found(signed) if job is None else _json_response(job)

    async def cancel(self, signed: _SignedRequest) -> web.Response:
        if self._entry.dispatcher.job(signed.job_id, signed.member) is None:
            return _job_not_found(signed)
        return _submission_response(
            await self._entry.dispatcher.cancel(signed.job_id, signed.member)
        )

    async def evict(self, signed: _SignedRequest) -> web.Response:
        if self._entry.dispatcher.job(signed.job_id, signed.member) is None:
            return _job_not_found(signed)
        index = int(signed.request.match_info['index'])
        if not self._entry.dispatcher.evict(f'{signed.job_id}/{index}'):
            return _rejected(
                'task does not run on a backend server leased by this daemon; '
                'GET /v1/status on each daemon lists its servers',
                HTTPStatus.CONFLICT,
            )
        return outcome_response(
            HTTPStatus.ACCEPTED, OutcomeBody('accepted', 'eviction requested')
        )

    async def _handle_request(
        self,
        request: web.Request,
        action: Callable[[_SignedRequest], Awaitable[web.Response]],
    ) -> web.Response:
        reserved = self._bodies.reserve(request)
        match reserved:
            case InvalidBody(reason=reason, status=status):
                return _rejected(reason, status)
            case BodyMemoryExhausted():
                return _out_of_memory()
        try:
            body = await self._bodies.read(request, reserved)
            match body:
                case InvalidBody(reason=reason, status=status):
                    return _rejected(reason, status)
                case BodyMemoryExhausted():
                    return _out_of_memory()
            return await self._handle_signed(request, body, action)
        finally:
            self._bodies.release(reserved)

    async def _handle_signed(
        self,
        request: web.Request,
        body: bytes,
        action: Callable[[_SignedRequest], Awaitable[web.Response]],
    ) -> web.Response:
        verification = self._entry.verify(
            request.headers, request.method, request.path_qs, body
        )
        if isinstance(verification, Unverified):
            return _rejected(verification.reason, HTTPStatus.UNAUTHORIZED)
        job_id = request.match_info.get('job_id', '')
        return await action(
            _SignedRequest(verification.member, job_id, body, request)
        )


def _out_of_memory() -> web.Response:
    return _submission_response(
        JobRefused(
            'memory for request bodies is exhausted', _BUSY_RETRY_AFTER_MS
        )
    )


def _submission_response(outcome: SubmissionOutcome) -> web.Response:
    match outcome:
        case JobAcceptedOutcome(job_id=job_id):
            return _accepted(job_id, 'accepted')
        case JobCancelledOutcome(job_id=job_id):
            return _accepted(job_id, 'cancelled')
        case JobRefused(reason=reason, retry_after_ms=retry_after_ms):
            return outcome_response(
                HTTPStatus.SERVICE_UNAVAILABLE,
                OutcomeBody('refused', reason, retry_after_ms),
            )
        case JobOutcomeUnknown(reason=reason, retry_after_ms=retry_after_ms):
            return outcome_response(
                HTTPStatus.GATEWAY_TIMEOUT,
                OutcomeBody('unknown', reason, retry_after_ms),
            )
        case JobRejected(reason=reason):
            return _rejected(reason, HTTPStatus.UNPROCESSABLE_ENTITY)


def _accepted(job_id: str, outcome: str) -> web.Response:
    return outcome_response(HTTPStatus.ACCEPTED, OutcomeBody(outcome, job_id))


def _rejected(reason: str, status: int) -> web.Response:
    return outcome_response(status, OutcomeBody('rejected', reason))


def _job_not_found(signed: _SignedRequest) -> web.Response:
    # Must not reveal whether the job exists and belongs to another member.
    return _rejected(f'no such job {signed.job_id!r}', HTTPStatus.NOT_FOUND)


def _json_response(payload: Any) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(_to_builtins(payload)),
        content_type='application/json',
    )


def _to_builtins(payload: Any) -> Any:
    """Convert named tuples to dicts, so that JSON keeps the field names."""
    if isinstance(payload, tuple) and hasattr(payload, '_asdict'):
        return {
            name: _to_builtins(item) for name, item in payload._asdict().items()
        }
    if isinstance(payload, tuple | list):
        return [_to_builtins(item) for item in payload]
    return payload
