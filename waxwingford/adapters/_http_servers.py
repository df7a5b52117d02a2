"""HTTP adapter of the backend servers."""

import dataclasses
from urllib.parse import unquote

import msgspec

from waxwingford.adapters._sessions import (
    CompleteResponse,
    HttpSession,
    NoResponse,
    NotSent,
)
from waxwingford.adapters._wire import (
    DEADLINE_HEADER,
    REQUEST_ID_HEADER,
    decode_control_reply,
    encode_control_request,
)
from waxwingford.ports import (
    ControlOutcome,
    ControlOutcomeUnknown,
    ControlRequest,
    ServiceAnswer,
    ServiceCall,
    ServiceNotRun,
    ServiceOutcome,
    ServiceOutcomeUnknown,
)

#: Twice the usual number of request slots, so that control exchanges do not
#: wait for service requests, and small enough for a server to accept both the
#: lease holder and its successor.
_MAX_CONNECTIONS_PER_SERVER = 16
_OK = 200
_DEFAULT_CONTENT_TYPE = 'application/octet-stream'


@dataclasses.dataclass(slots=True)
class DiscardedResponses:
    """Counts of responses that were discarded.

    :ivar mismatched: responses with a missing or different request ID.
    :ivar truncated: responses without a complete body.
    """

    mismatched: int = 0
    truncated: int = 0


class HttpServers:
    """Client of the backend servers."""

    def __init__(
        self, connections_per_server: int = _MAX_CONNECTIONS_PER_SERVER
    ) -> None:
        """Initialize without connecting.

        :param connections_per_server: maximum number of TCP connections to one
            server.
        """
        self.discarded_responses = DiscardedResponses()
        self._session = HttpSession(connections_per_server)

    async def control(
        self,
        host: str,
        port: int,
        request: ControlRequest,
        timeout_ms: int,
    ) -> ControlOutcome:
        """Send a batched control request.

        :param host: IP address.
        :param request: lease renewals and commands.
        :param timeout_ms: timeout of the exchange, in milliseconds.
        :returns: granted, denied or unknown.
        """
        exchange = await self._session.exchange(
            'POST',
            f'http://{host}:{port}/control',
            timeout_ms,
            body=encode_control_request(request),
            headers={'Content-Type': 'application/json'},
        )
        match exchange:
            case CompleteResponse(status=status, body=body):
                return _control_outcome(status, body)
            case NotSent(reason):
                return ControlOutcomeUnknown(reason, not_sent=True)
            case NoResponse(reason):
                return ControlOutcomeUnknown(reason)

    async def serve(
        self,
        host: str,
        port: int,
        call: ServiceCall,
    ) -> ServiceOutcome:
        """Send a service request, with its deadline as the timeout.

        :param host: IP address.
        :returns: the server's response, not run, or unknown.
        """
        if _has_dot_segments(call.path):
            return ServiceNotRun('path contains dot segments')
        exchange = await self._session.exchange(
            'POST',
            f'http://{host}:{port}/services/{call.service}/{call.path}',
            call.deadline_ms,
            body=call.body,
            headers={
                REQUEST_ID_HEADER: call.request_id,
                DEADLINE_HEADER: str(call.deadline_ms),
                'Content-Type': _DEFAULT_CONTENT_TYPE,
            },
        )
        match exchange:
            case CompleteResponse():
                return self._service_outcome(call, exchange)
            case NotSent(reason):
                return ServiceNotRun(reason)
            case NoResponse(reason, truncated):
                self.discarded_responses.truncated += truncated
                return ServiceOutcomeUnknown(reason)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    def _service_outcome(
        self, call: ServiceCall, response: CompleteResponse
    ) -> ServiceOutcome:
        """Check that a response belongs to the request.

        Keeps a server that mixes up responses from sending data of one tenant
        to another.
        """
        request_id = response.headers.get(REQUEST_ID_HEADER, '')
        if request_id != call.request_id:
            self.discarded_responses.mismatched += 1
            return ServiceOutcomeUnknown(
                'response has the ID of another request'
            )
        if response.not_run():
            return ServiceNotRun(
                f'server returned HTTP status {response.status}'
            )
        return ServiceAnswer(
            request_id,
            response.status,
            response.headers.get('Content-Type', _DEFAULT_CONTENT_TYPE),
            response.body,
        )


def _has_dot_segments(path: str) -> bool:
    """Check a path for dot segments, which the HTTP client would resolve.

    Keeps a path such as ``../../control`` from reaching the control interface
    of the server.

    :param path: path from the caller, possibly percent-encoded.
    :returns: whether a segment is ``.`` or ``..``.
    """
    segments = unquote(path.partition('?')[0]).replace('\\', '/').split('/')
    return not {'.', '..'}.isdisjoint(segments)


def _control_outcome(status: int, body: bytes) -> ControlOutcome:
    if status != _OK:
        return ControlOutcomeUnknown(f'server returned HTTP status {status}')
    try:
        return decode_control_reply(body)
    except msgspec.DecodeError as error:
        return ControlOutcomeUnknown(f'cannot decode response: {error}')
