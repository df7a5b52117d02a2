"""Routes of operators: submit, list, cancel and evict batch jobs."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any, NamedTuple

import msgspec
from aiohttp import web

from waxwingford.batch import (
    JobAcceptedOutcome,
    JobCancelledOutcome,
    JobRefused,
    JobRejected,
    JobUnknown,
    SubmissionOutcome,
)
from waxwingford.bundles import Unverified
from waxwingford.entry._answers import Explanation, explain, write_whole
from waxwingford.entry._bodies import BodyFault, BodyReader, NoBodyRoom
from waxwingford.entry._job_service import JobService, OperatorCheck
from waxwingford.entry._limits import EntryLimits
from waxwingford.entry._submissions import SubmissionFault, read_submission
from waxwingford.kernel import Clock

_BUSY_RETRY_MS = 1000
_INDEX = r'{index:\d{1,9}}'


class JobEntry(NamedTuple):
    """What the routes of jobs need.

    :ivar dispatcher: takes the jobs.
    :ivar verify: checks who signed a request.
    :ivar clock: wall time.
    :ivar limits: bounds.
    """

    dispatcher: JobService
    verify: OperatorCheck
    clock: Clock
    limits: EntryLimits = EntryLimits()


class _Signed(NamedTuple):
    member: str
    job_id: str
    body: bytes
    request: web.Request


def job_routes(entry: JobEntry) -> list[web.RouteDef]:
    """List the routes of jobs.

    :param entry: what they need.
    :returns: for ``aiohttp.web.Application.add_routes``.
    """
    routes = _JobRoutes(entry)
    one_job = '/v1/jobs/{job_id}'
    return [
        web.post('/v1/jobs', routes.route(routes.submit)),
        web.get('/v1/jobs', routes.route(routes.list_all)),
        web.get(one_job, routes.route(routes.show)),
        web.post(f'{one_job}/cancel', routes.route(routes.cancel)),
        web.post(
            f'{one_job}/tasks/{_INDEX}/evict',
            routes.route(routes.evict),
        ),
    ]


class _JobRoutes:
    def __init__(self, entry: JobEntry) -> None:
        self._entry = entry
        self._bodies = BodyReader(entry.limits)

    def route(
        self, action: Callable[[_Signed], Awaitable[web.Response]]
    ) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
        async def _handle(request: web.Request) -> web.StreamResponse:
            response = await self._checked(request, action)
            if not request.content.is_eof():
                response.force_close()
            return await write_whole(
                request, response, self._entry.limits.write_ms
            )

        return _handle

    async def submit(self, signed: _Signed) -> web.Response:
        wall_ms = self._entry.clock.wall_ms()
        job = read_submission(signed.body, signed.member, wall_ms)
        if isinstance(job, SubmissionFault):
            return _rejected(job.reason, HTTPStatus.UNPROCESSABLE_ENTITY)
        return _answer(await self._entry.dispatcher.submit(job))

    async def list_all(self, signed: _Signed) -> web.Response:
        return _json(self._entry.dispatcher.jobs(signed.member))

    async def show(self, signed: _Signed) -> web.Response:
        job = self._entry.dispatcher.job(signed.job_id, signed.member)
        return _no_job(signed) if job is None else _json(job)

    async def cancel(self, signed: _Signed) -> web.Response:
        if self._entry.dispatcher.job(signed.job_id, signed.member) is None:
            return _no_job(signed)
        return _answer(
            await self._entry.dispatcher.cancel(signed.job_id, signed.member)
        )

    async def evict(self, signed: _Signed) -> web.Response:
        if self._entry.dispatcher.job(signed.job_id, signed.member) is None:
            return _no_job(signed)
        index = int(signed.request.match_info['index'])
        if not self._entry.dispatcher.evict(f'{signed.job_id}/{index}'):
            return _rejected(
                'the task does not run on a backend server held here; '
                'GET /v1/status of each daemon shows who holds which',
                HTTPStatus.CONFLICT,
            )
        return explain(
            HTTPStatus.ACCEPTED, Explanation('accepted', 'eviction was asked')
        )

    async def _checked(
        self,
        request: web.Request,
        action: Callable[[_Signed], Awaitable[web.Response]],
    ) -> web.Response:
        reserved = self._bodies.reserve(request)
        match reserved:
            case BodyFault(reason=reason, status=status):
                return _rejected(reason, status)
            case NoBodyRoom():
                return _answer(
                    JobRefused('too many large bodies', _BUSY_RETRY_MS)
                )
        try:
            body = await self._bodies.read(request)
            if isinstance(body, BodyFault):
                return _rejected(body.reason, body.status)
            return await self._verified(request, body, action)
        finally:
            self._bodies.release(reserved)

    async def _verified(
        self,
        request: web.Request,
        body: bytes,
        action: Callable[[_Signed], Awaitable[web.Response]],
    ) -> web.Response:
        check = self._entry.verify(
            request.headers, request.method, request.path_qs, body
        )
        if isinstance(check, Unverified):
            return _rejected(check.reason, HTTPStatus.UNAUTHORIZED)
        job_id = request.match_info.get('job_id', '')
        return await action(_Signed(check.member, job_id, body, request))


def _answer(outcome: SubmissionOutcome) -> web.Response:
    match outcome:
        case JobAcceptedOutcome(job_id=job_id):
            return _accepted(job_id, 'accepted')
        case JobCancelledOutcome(job_id=job_id):
            return _accepted(job_id, 'cancelled')
        case JobRefused(reason=reason, retry_after_ms=retry_after_ms):
            return explain(
                HTTPStatus.SERVICE_UNAVAILABLE,
                Explanation('refused', reason, retry_after_ms),
            )
        case JobUnknown(reason=reason, retry_after_ms=retry_after_ms):
            return explain(
                HTTPStatus.GATEWAY_TIMEOUT,
                Explanation('unknown', reason, retry_after_ms),
            )
        case JobRejected(reason=reason):
            return _rejected(reason, HTTPStatus.UNPROCESSABLE_ENTITY)


def _accepted(job_id: str, outcome: str) -> web.Response:
    return explain(HTTPStatus.ACCEPTED, Explanation(outcome, job_id))


def _rejected(reason: str, status: int) -> web.Response:
    return explain(status, Explanation('rejected', reason))


def _no_job(signed: _Signed) -> web.Response:
    # The same answer whether it does not exist or is another member's.
    return _rejected(f'no job {signed.job_id!r}', HTTPStatus.NOT_FOUND)


def _json(payload: Any) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(_plain(payload)),
        content_type='application/json',
    )


def _plain(payload: Any) -> Any:
    """Turn named tuples into objects, so that fields keep their names.

    :param payload: views of jobs.
    :returns: the same as maps and lists.
    """
    if isinstance(payload, tuple) and hasattr(payload, '_asdict'):
        return {name: _plain(item) for name, item in payload._asdict().items()}
    if isinstance(payload, tuple | list):
        return [_plain(item) for item in payload]
    return payload
