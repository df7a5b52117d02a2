"""Requests of clients: submissions, states, cancellings, counts."""

import asyncio
import re
from http import HTTPStatus

import msgspec
from aiohttp import web

from waxwingford.platform._records import (
    Configuration,
    EntryPath,
    decode_submission,
)
from waxwingford.scheduling import JobSpec
from waxwingford.shard import (
    CancelNotKnown,
    IntakeOutcome,
    JobKnown,
    JobNotKnown,
    MayBeStored,
    NotAnswered,
    NotStored,
    ShardDesk,
    Stored,
)

#: Time for a request that names no deadline, in ms.
DEFAULT_DEADLINE_MS = 3000
#: Kept back from a request's time for the answer's way, in ms.
ANSWER_MARGIN_MS = 150
#: When a client may come back after a refusal, in seconds.
COME_BACK_S = '1'
_MS_IN_S = 1000
_JOB_ID = re.compile('[0-9a-f]{16}')
_JSON = 'application/json'


class Entry:
    """Translates requests of clients."""

    def __init__(self, desk: ShardDesk) -> None:
        """Use a desk.

        :param desk: does what is asked.
        """
        self.configuration: Configuration | None = None
        self.closing = False
        self._desk = desk

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request.

        :param request: of a client.
        :returns: the answer.
        """
        response = await self._answer(request)
        if self.closing:
            # The client's next request then goes to another daemon.
            response.force_close()
        return response

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        if self.configuration is None:
            return _come_back(HTTPStatus.SERVICE_UNAVAILABLE)
        path = self._path(request)
        if path is None:
            return _empty(HTTPStatus.NOT_FOUND)
        job_id = request.path[len(path.prefix) :]
        if not job_id:
            return await self._pending(path)
        if not _JOB_ID.fullmatch(job_id):
            return _empty(HTTPStatus.NOT_FOUND)
        return await self._answer_job(request, path, job_id)

    async def _answer_job(
        self, request: web.BaseRequest, path: EntryPath, job_id: str
    ) -> web.Response:
        match request.method:
            case 'POST':
                return await self._submit(request, path, job_id)
            case 'GET':
                return await self._phase(job_id)
            case 'DELETE':
                return await self._cancel(request, path, job_id)
            case _:
                return _empty(HTTPStatus.METHOD_NOT_ALLOWED)

    async def _submit(
        self, request: web.BaseRequest, path: EntryPath, job_id: str
    ) -> web.Response:
        until_s = _until_s(request, path)
        raw = await request.read()
        if len(raw) > self.configuration.body_bytes:
            return _empty(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        try:
            submission = decode_submission(raw)
        except msgspec.MsgspecError as error:
            return web.Response(
                status=HTTPStatus.BAD_REQUEST, text=f'{error}\n'
            )
        terms = self.configuration.terms.queue_by_name[path.queue]
        spec = JobSpec(
            job_id,
            path.queue,
            submission.spec,
            submission.step_specs(),
            submission.start_at_ms,
            submission.interval_ms,
            submission.repeat_count,
            terms,
        )
        return _stored(await self._desk.submit(spec, until_s))

    async def _cancel(
        self, request: web.BaseRequest, path: EntryPath, job_id: str
    ) -> web.Response:
        outcome = await self._desk.cancel(job_id, _until_s(request, path))
        match outcome:
            case CancelNotKnown():
                return _empty(HTTPStatus.GONE)
            case NotAnswered():
                return _come_back(HTTPStatus.SERVICE_UNAVAILABLE)
            case _:
                return _stored(outcome)

    async def _phase(self, job_id: str) -> web.Response:
        match await self._desk.phase(job_id):
            case JobKnown(phase):
                return _json({'state': phase.value})
            case JobNotKnown():
                return _empty(HTTPStatus.GONE)
            case _:
                return _come_back(HTTPStatus.SERVICE_UNAVAILABLE)

    async def _pending(self, path: EntryPath) -> web.Response:
        count = await self._desk.pending(path.queue)
        return (
            _come_back(HTTPStatus.SERVICE_UNAVAILABLE)
            if count is None
            else _json({'pending': count})
        )

    def _path(self, request: web.BaseRequest) -> EntryPath | None:
        host = request.headers.get('Host', '').partition(':')[0]
        return next(
            (
                path
                for path in self.configuration.paths
                if path.host == host and request.path.startswith(path.prefix)
            ),
            None,
        )


def _until_s(request: web.BaseRequest, path: EntryPath) -> float:
    asked = request.headers.get('X-Deadline-Ms', '')
    limit_ms = int(asked) if asked.isdecimal() else DEFAULT_DEADLINE_MS
    if path.timeout_ms:
        limit_ms = min(limit_ms, path.timeout_ms)
    left_ms = max(0, limit_ms - ANSWER_MARGIN_MS)
    return asyncio.get_running_loop().time() + left_ms / _MS_IN_S


def _stored(outcome: IntakeOutcome) -> web.Response:
    match outcome:
        case Stored():
            return _json({})
        case NotStored():
            return _come_back(HTTPStatus.SERVICE_UNAVAILABLE)
        case MayBeStored():
            return _empty(HTTPStatus.GATEWAY_TIMEOUT)


def _json(content: object) -> web.Response:
    return web.Response(body=msgspec.json.encode(content), content_type=_JSON)


def _empty(status: int) -> web.Response:
    return web.Response(status=status)


def _come_back(status: int) -> web.Response:
    return web.Response(status=status, headers={'Retry-After': COME_BACK_S})
