"""HTTP responses to callers, with the tagged outcome in a header."""

import asyncio
import math
import socket
import struct
from http import HTTPStatus

import msgspec
from aiohttp import web

from waxwingford.entry._connections import new_reservation
from waxwingford.routing import Answered, Outcome, Refused, Rejected, Unknown

OUTCOME_HEADER = 'Waxwingford-Outcome'
REQUEST_ID_HEADER = 'Waxwingford-Request-Id'
RETRY_AFTER_MS_HEADER = 'Waxwingford-Retry-After-Ms'
_RETRY_AFTER_HEADER = 'Retry-After'
_MS_IN_S = 1000
_JSON = 'application/json'
#: ``struct linger``: enabled, 0 seconds, so that close() sends a reset.
_LINGER_ZERO = struct.pack('ii', 1, 0)


class OutcomeBody(msgspec.Struct):
    """Body of every response that does not come from a backend server.

    :ivar outcome: outcome tag, the same as in the ``Waxwingford-Outcome``
        header.
    :ivar reason: human-readable explanation.
    :ivar retry_after_ms: delay before a retry, in milliseconds; 0 if a retry
        does not help.
    """

    outcome: str
    reason: str
    retry_after_ms: int = 0


def build_response(outcome: Outcome, request_id: str) -> web.Response:
    """Convert the outcome of a service request to an HTTP response.

    :param request_id: ID of the request, returned in a header.
    """
    response = _response_for(outcome)
    response.headers[REQUEST_ID_HEADER] = request_id
    return response


def _response_for(outcome: Outcome) -> web.Response:
    match outcome:
        case Answered(status=status, content_type=media_type, body=body):
            return web.Response(
                status=status,
                body=body,
                headers={
                    'Content-Type': media_type,
                    OUTCOME_HEADER: 'answered',
                },
            )
        case Refused(reason=reason, retry_after_ms=retry_after_ms):
            return outcome_response(
                HTTPStatus.SERVICE_UNAVAILABLE,
                OutcomeBody('refused', reason, retry_after_ms),
            )
        case Unknown(reason=reason, retry_after_ms=retry_after_ms):
            return outcome_response(
                HTTPStatus.GATEWAY_TIMEOUT,
                OutcomeBody('unknown', reason, retry_after_ms),
            )
        case Rejected(reason=reason, status=status):
            return outcome_response(status, OutcomeBody('rejected', reason))


def outcome_response(status: int, payload: OutcomeBody) -> web.Response:
    """Build a response that does not come from a backend server.

    :returns: the response, with the outcome and retry headers.
    """
    headers = {OUTCOME_HEADER: payload.outcome}
    if payload.retry_after_ms:
        seconds = math.ceil(payload.retry_after_ms / _MS_IN_S)
        headers[_RETRY_AFTER_HEADER] = str(seconds)
        headers[RETRY_AFTER_MS_HEADER] = str(payload.retry_after_ms)
    return web.Response(
        status=status,
        body=msgspec.json.encode(payload),
        content_type=_JSON,
        headers=headers,
    )


async def write_response(
    request: web.Request, response: web.Response, timeout_ms: int
) -> web.Response:
    """Write a complete response, or reset the connection on timeout.

    A caller that does not read would otherwise hold the response and the
    connection indefinitely.  After an orderly close a truncated response could
    pass for a complete one; after a reset it cannot.

    :param response: response with a known length.
    :param timeout_ms: time limit for the write, in milliseconds.
    :returns: the same response, whether or not all of it was sent.
    """
    transport = request.transport
    if transport is None:
        return response
    held = new_reservation(request)
    if held is None or not held.grow(_size(response)):
        _reset_connection(transport)
        return response
    request.protocol.begin_response()
    # Makes write_eof() wait until the kernel has accepted every byte.
    transport.set_write_buffer_limits(high=0)
    _set_user_timeout(transport, timeout_ms)
    try:
        async with asyncio.timeout(timeout_ms / _MS_IN_S):
            await response.prepare(request)
            await response.write_eof()
    except TimeoutError:
        _reset_connection(transport)
    except ConnectionError:
        # The caller has closed the connection.
        return response
    finally:
        held.release()
    return response


def _size(response: web.Response) -> int:
    """Return the memory of a response, 0 for one without a large body."""
    return len(response.body or b'')


def _reset_connection(transport: asyncio.Transport) -> None:
    sock = transport.get_extra_info('socket')
    if sock is not None:
        # With a linger time of 0, close() sends RST instead of FIN.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    transport.abort()


def _set_user_timeout(transport: asyncio.Transport, limit_ms: int) -> None:
    """Set TCP_USER_TIMEOUT, so that the kernel drops an unresponsive peer.

    Data in the kernel's send buffer is not covered by the write timeout.
    Without a limit of its own such a connection stays open for many minutes.

    :param limit_ms: time that sent data may remain unacknowledged, in
        milliseconds.
    """
    sock = transport.get_extra_info('socket')
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)
