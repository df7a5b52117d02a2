"""Answers to callers: tagged outcomes as HTTP, whole or visibly broken."""

import asyncio
import math
import socket
import struct
from http import HTTPStatus

import msgspec
from aiohttp import web

from waxwingford.routing import Answered, Outcome, Refused, Rejected, Unknown

OUTCOME_HEADER = 'Waxwingford-Outcome'
REQUEST_ID_HEADER = 'Waxwingford-Request-Id'
RETRY_AFTER_MS_HEADER = 'Waxwingford-Retry-After-Ms'
_RETRY_AFTER_HEADER = 'Retry-After'
_MS_IN_S = 1000
_JSON = 'application/json'
#: ``struct linger``: on, 0 seconds.
_NO_LINGER = struct.pack('ii', 1, 0)


class Explanation(msgspec.Struct):
    """Body of every answer that is not a backend server's own.

    :ivar outcome: tag, as in the header.
    :ivar reason: for people.
    :ivar retry_after_ms: when to come back, in milliseconds; 0 if coming
        back does not help.
    """

    outcome: str
    reason: str
    retry_after_ms: int = 0


def build_answer(outcome: Outcome, request_id: str) -> web.Response:
    """Write a request's outcome.

    :param outcome: the outcome.
    :param request_id: of the request.
    :returns: the whole answer.
    """
    response = _of_outcome(outcome)
    response.headers[REQUEST_ID_HEADER] = request_id
    return response


def _of_outcome(outcome: Outcome) -> web.Response:
    match outcome:
        case Answered(status=status, content_type=kind, body=body):
            return web.Response(
                status=status,
                body=body,
                headers={'Content-Type': kind, OUTCOME_HEADER: 'answered'},
            )
        case Refused(reason=reason, retry_after_ms=retry_after_ms):
            return explain(
                HTTPStatus.SERVICE_UNAVAILABLE,
                Explanation('refused', reason, retry_after_ms),
            )
        case Unknown(reason=reason, retry_after_ms=retry_after_ms):
            return explain(
                HTTPStatus.GATEWAY_TIMEOUT,
                Explanation('unknown', reason, retry_after_ms),
            )
        case Rejected(reason=reason, status=status):
            return explain(status, Explanation('rejected', reason))


def explain(status: int, explanation: Explanation) -> web.Response:
    """Write an answer that is not a backend server's own.

    :param status: HTTP status.
    :param explanation: what happened, and when to come back.
    :returns: the whole answer.
    """
    headers = {OUTCOME_HEADER: explanation.outcome}
    if explanation.retry_after_ms:
        seconds = math.ceil(explanation.retry_after_ms / _MS_IN_S)
        headers[_RETRY_AFTER_HEADER] = str(seconds)
        headers[RETRY_AFTER_MS_HEADER] = str(explanation.retry_after_ms)
    return web.Response(
        status=status,
        body=msgspec.json.encode(explanation),
        content_type=_JSON,
        headers=headers,
    )


async def write_whole(
    request: web.Request, response: web.Response, write_ms: int
) -> web.Response:
    """Write an answer to the end, or break the connection off visibly.

    A caller that does not read would otherwise hold its answer, its body and
    its connection for ever.  Closing the connection in the usual way would
    let the answer look like one that ended early; a reset cannot be mistaken.

    :param request: the request.
    :param response: its answer, with a length.
    :param write_ms: longest time, in milliseconds.
    :returns: the response, written or broken off.
    """
    transport = request.transport
    if transport is None:
        return response
    # Any byte not yet taken by the system counts as not written.
    transport.set_write_buffer_limits(high=0)
    _bound_unread_time(transport, write_ms)
    try:
        async with asyncio.timeout(write_ms / _MS_IN_S):
            await response.prepare(request)
            await response.write_eof()
    except TimeoutError:
        _reset(transport)
    except ConnectionError:
        # The caller has gone; nobody is left to tell.
        return response
    return response


def _reset(transport: asyncio.Transport) -> None:
    raw = transport.get_extra_info('socket')
    if raw is not None:
        # Without lingering the close sends a reset instead of an orderly end.
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    transport.abort()


def _bound_unread_time(transport: asyncio.Transport, limit_ms: int) -> None:
    """Let the system reset a connection whose peer takes nothing.

    Bytes that the system holds for a peer that is gone, or that never reads,
    are out of the program's sight; the connection would stay open for many
    minutes.

    :param transport: of the connection.
    :param limit_ms: longest time that bytes may wait, in milliseconds.
    """
    raw = transport.get_extra_info('socket')
    if raw is not None:
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)
