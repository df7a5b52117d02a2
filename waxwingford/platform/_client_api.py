"""HTTP API for clients: submission, state, cancellation and count of jobs."""

import re
from http import HTTPStatus

import msgspec

from waxwingford.http_server import Request, Response
from waxwingford.platform._records import (
    DEFAULT_BODY_BYTES,
    Configuration,
    QueuePath,
    decode_submission,
    describe_fault,
    estimate_decoded_bytes,
)
from waxwingford.scheduling import JobSpec
from waxwingford.shard import (
    CancelNotKnown,
    IntakeOutcome,
    JobInvalid,
    JobKnown,
    JobNotKnown,
    MayBeStored,
    NotAnswered,
    NotStored,
    RowRejected,
    ShardFrontend,
    Stored,
)

#: Timeout of a request without a deadline header, in ms.
DEFAULT_DEADLINE_MS = 3000
#: Longest timeout that a request may name, in digits of ms.
MAX_DEADLINE_DIGITS = 9
#: Part of the timeout reserved for the transfer of the response, in ms.
RESPONSE_MARGIN_MS = 150
#: Value of the ``Retry-After`` header of a rejected request, in seconds.
RETRY_AFTER_S = 1
_MS_PER_S = 1000
_JOB_ID = re.compile('[0-9a-f]{16}')
_JSON_CONTENT_TYPE = 'application/json'


class ClientApi:
    """Translates between HTTP and the operations of the shard frontend."""

    def __init__(self, frontend: ShardFrontend) -> None:
        self.configuration: Configuration | None = None
        self.closing = False
        self._frontend = frontend

    def max_body_bytes(self) -> int:
        """Return the size of the largest body, in bytes."""
        if self.configuration is None:
            return DEFAULT_BODY_BYTES
        return self.configuration.body_bytes

    async def handle(self, request: Request) -> Response:
        """Handle one request.

        :returns: the response, with status 503 until a configuration is set.
        """
        response = await self._dispatch(request)
        if self.closing:
            # Makes the client reconnect, and so reach another daemon.
            response.close = True
        return response

    async def _dispatch(self, request: Request) -> Response:
        if self.configuration is None:
            return _retry_later(HTTPStatus.SERVICE_UNAVAILABLE)
        path = self._match_path(request)
        if path is None:
            return _empty_response(HTTPStatus.NOT_FOUND)
        job_id = request.path[len(path.prefix) :]
        if not job_id:
            return await self._count_pending(path)
        if not _JOB_ID.fullmatch(job_id):
            return _empty_response(HTTPStatus.NOT_FOUND)
        return await self._dispatch_job(request, path, job_id)

    async def _dispatch_job(
        self, request: Request, path: QueuePath, job_id: str
    ) -> Response:
        match request.method:
            case 'POST':
                return await self._submit(request, path, job_id)
            case 'GET':
                return await self._get_phase(job_id)
            case 'DELETE':
                return await self._cancel(request, path, job_id)
            case _:
                return _empty_response(HTTPStatus.METHOD_NOT_ALLOWED)

    async def _submit(
        self, request: Request, path: QueuePath, job_id: str
    ) -> Response:
        deadline_s = _deadline_s(request, path)
        max_bytes = self.configuration.body_bytes
        if len(request.body) > max_bytes:
            return _too_large(
                f'body: {len(request.body)} bytes, expected at most {max_bytes}'
            )
        reserved = request.reserve(estimate_decoded_bytes(request.body))
        if reserved is HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
            return _too_large('body: decoded, it has no room in memory')
        if reserved is not HTTPStatus.OK:
            return _retry_later(reserved)
        try:
            submission = decode_submission(request.body)
        except msgspec.MsgspecError as error:
            return Response(HTTPStatus.BAD_REQUEST, f'{error}\n'.encode())
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
        outcome = await self._frontend.submit(spec, deadline_s)
        if isinstance(outcome, JobInvalid):
            text = f'{describe_fault(outcome.fault)}\n'
            return Response(HTTPStatus.BAD_REQUEST, text.encode())
        return _store_response(outcome)

    async def _cancel(
        self, request: Request, path: QueuePath, job_id: str
    ) -> Response:
        outcome = await self._frontend.cancel(
            job_id, _deadline_s(request, path)
        )
        match outcome:
            case CancelNotKnown():
                return _empty_response(HTTPStatus.GONE)
            case NotAnswered():
                return _retry_later(HTTPStatus.SERVICE_UNAVAILABLE)
            case _:
                return _store_response(outcome)

    async def _get_phase(self, job_id: str) -> Response:
        match await self._frontend.phase(job_id):
            case JobKnown(phase):
                return _json_response({'state': phase.value})
            case JobNotKnown():
                return _empty_response(HTTPStatus.GONE)
            case _:
                return _retry_later(HTTPStatus.SERVICE_UNAVAILABLE)

    async def _count_pending(self, path: QueuePath) -> Response:
        count = await self._frontend.pending(path.queue)
        return (
            _retry_later(HTTPStatus.SERVICE_UNAVAILABLE)
            if count is None
            else _json_response({'pending': count})
        )

    def _match_path(self, request: Request) -> QueuePath | None:
        host = request.header_by_name.get('host', '').partition(':')[0]
        return next(
            (
                path
                for path in self.configuration.paths
                if path.host == host and request.path.startswith(path.prefix)
            ),
            None,
        )


def _deadline_s(request: Request, path: QueuePath) -> float:
    requested = request.header_by_name.get('x-deadline-ms', '')
    known = requested.isdecimal() and len(requested) <= MAX_DEADLINE_DIGITS
    limit_ms = int(requested) if known else DEFAULT_DEADLINE_MS
    if path.timeout_ms:
        limit_ms = min(limit_ms, path.timeout_ms)
    remaining_ms = max(0, limit_ms - RESPONSE_MARGIN_MS)
    return request.received_s + remaining_ms / _MS_PER_S


def _store_response(outcome: IntakeOutcome) -> Response:
    match outcome:
        case Stored():
            return _json_response({})
        case NotStored(_, retry_after_s):
            return _retry_later(HTTPStatus.SERVICE_UNAVAILABLE, retry_after_s)
        case RowRejected(reason):
            return _too_large(f'spec and steps: {reason}')
        case MayBeStored():
            return _empty_response(HTTPStatus.GATEWAY_TIMEOUT)


def _json_response(content: object) -> Response:
    return Response(
        body=msgspec.json.encode(content), content_type=_JSON_CONTENT_TYPE
    )


def _empty_response(status: int) -> Response:
    return Response(status)


def _too_large(text: str) -> Response:
    return Response(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, f'{text}\n'.encode())


def _retry_later(status: int, retry_after_s: int = RETRY_AFTER_S) -> Response:
    return Response(status, header_by_name={'Retry-After': str(retry_after_s)})
