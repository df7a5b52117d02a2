"""Port to backend servers over HTTP."""

import dataclasses
from urllib.parse import unquote

import msgspec

from waxwingford.adapters._sessions import (
    NoAnswer,
    NotSent,
    Session,
    WholeAnswer,
)
from waxwingford.adapters._wire import (
    DEADLINE_HEADER,
    REQUEST_ID_HEADER,
    decode_control_reply,
    encode_control_request,
)
from waxwingford.ports import (
    ControlOutcome,
    ControlRequest,
    ControlUnknown,
    ServiceAnswer,
    ServiceCall,
    ServiceNotRun,
    ServiceOutcome,
    ServiceUnknown,
)

#: Twice the usual slots, so that control never waits behind services, and
#: holder and successor together stay below a server's connections.
_CONNECTIONS_PER_SERVER = 16
_OK = 200
_DEFAULT_CONTENT_TYPE = 'application/octet-stream'


@dataclasses.dataclass(slots=True)
class AnswerCounts:
    """Answers that were never passed on.

    :ivar foreign: carried another request's id, or none.
    :ivar cut_off: ended before their length.
    """

    foreign: int = 0
    cut_off: int = 0


class HttpServers:
    """Speaks to backend servers.

    :ivar dropped: counts of answers that were not passed on.
    """

    def __init__(
        self, connections_per_server: int = _CONNECTIONS_PER_SERVER
    ) -> None:
        """Prepare; nothing is sent yet.

        :param connections_per_server: TCP connections at most to one server.
        """
        self.dropped = AnswerCounts()
        self._session = Session(connections_per_server)

    async def control(
        self,
        host: str,
        port: int,
        request: ControlRequest,
        timeout_ms: int,
    ) -> ControlOutcome:
        """Carry out one grouped control exchange.

        :param host: IP number.
        :param port: TCP port.
        :param request: the exchange.
        :param timeout_ms: give up after this time, in milliseconds.
        :returns: tagged outcome.
        """
        exchange = await self._session.exchange(
            'POST',
            f'http://{host}:{port}/control',
            timeout_ms,
            body=encode_control_request(request),
            headers={'Content-Type': 'application/json'},
        )
        match exchange:
            case WholeAnswer(status=status, body=body):
                return _control_outcome(status, body)
            case NotSent(reason):
                return ControlUnknown(reason, not_sent=True)
            case NoAnswer(reason):
                return ControlUnknown(reason)

    async def serve(
        self,
        host: str,
        port: int,
        call: ServiceCall,
    ) -> ServiceOutcome:
        """Run a service request, bounded by its deadline.

        :param host: IP number.
        :param port: TCP port.
        :param call: the request.
        :returns: tagged outcome.
        """
        if _leaves_its_service(call.path):
            return ServiceNotRun('path has relative segments')
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
            case WholeAnswer():
                return self._service_outcome(call, exchange)
            case NotSent(reason):
                return ServiceNotRun(reason)
            case NoAnswer(reason, cut_off):
                self.dropped.cut_off += cut_off
                return ServiceUnknown(reason)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    def _service_outcome(
        self, call: ServiceCall, answer: WholeAnswer
    ) -> ServiceOutcome:
        """Pass an answer on only if it belongs to the call.

        Without the check a server that mixes up answers would show one
        tenant's report to another; the caller could not notice.

        :param call: what was asked.
        :param answer: what came.
        :returns: tagged outcome.
        """
        request_id = answer.headers.get(REQUEST_ID_HEADER, '')
        if request_id != call.request_id:
            self.dropped.foreign += 1
            return ServiceUnknown('answer belongs to another request')
        if answer.not_run():
            return ServiceNotRun(f'server answered {answer.status}')
        return ServiceAnswer(
            request_id,
            answer.status,
            answer.headers.get('Content-Type', _DEFAULT_CONTENT_TYPE),
            answer.body,
        )


def _leaves_its_service(path: str) -> bool:
    """Tell whether a path would be normalised to one outside its service.

    Without the check a caller's path ``../../control`` would reach the
    control interface of the server with the caller's body; one would notice
    tasks that no daemon started.

    :param path: as the caller gave it.
    :returns: whether it has segments that point upwards.
    """
    segments = unquote(path.partition('?')[0]).replace('\\', '/').split('/')
    return not {'.', '..'}.isdisjoint(segments)


def _control_outcome(status: int, body: bytes) -> ControlOutcome:
    if status != _OK:
        return ControlUnknown(f'server answered {status}')
    try:
        return decode_control_reply(body)
    except msgspec.DecodeError as error:
        return ControlUnknown(f'unreadable answer: {error}')
