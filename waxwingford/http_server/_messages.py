"""Requests and responses of the HTTP server."""

import time
from http import HTTPStatus

import msgspec

from waxwingford.inbound import Reservation

#: Value of the ``Retry-After`` header of a refusal for want of memory, in seconds.
RETRY_AFTER_S = 1
TEXT_CONTENT_TYPE = 'text/plain; charset=utf-8'


class Request(msgspec.Struct):
    """A complete request.

    :ivar path: decoded path without the query.
    :ivar header_by_name: first value of each header, by name in lower case.
    :ivar received_s: loop time at which its headers were complete.
    :ivar keep_alive: whether the client may send another request.
    :ivar reservation: memory that the request holds until it is answered.
    """

    method: str
    path: str
    header_by_name: dict[str, str]
    received_s: float
    keep_alive: bool
    version: str = '1.1'
    body: bytes = b''
    reservation: Reservation | None = None

    def reserve(self, size: int) -> HTTPStatus:
        """Reserve memory for the answer, until the request is answered.

        :param size: memory in bytes.
        :returns: 200, 503 if there is too little of it at present, or 413 if the
            request can never have it.
        """
        reservation = self.reservation
        if reservation is None or reservation.grow(size):
            return HTTPStatus.OK
        if reservation.size + size > reservation.max_bytes:
            return HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        return HTTPStatus.SERVICE_UNAVAILABLE

    def release(self) -> None:
        """Give the memory of the request back; a second call does nothing."""
        if self.reservation is not None:
            self.reservation.release()


class Response(msgspec.Struct):
    """A response.

    :ivar header_by_name: headers in addition to those of every response.
    :ivar close: whether the connection is closed after it.
    """

    status: int = HTTPStatus.OK
    body: bytes = b''
    content_type: str = TEXT_CONTENT_TYPE
    header_by_name: dict[str, str] = {}
    close: bool = False


def refusal(status: int) -> Response:
    """Create the response to a request that isn't read, and never runs.

    :param status: status, with a ``Retry-After`` header if it is 503.
    """
    busy = status == HTTPStatus.SERVICE_UNAVAILABLE
    headers = {'Retry-After': str(RETRY_AFTER_S)} if busy else {}
    return Response(status, header_by_name=headers, close=True)


def encode_response(
    response: Response, request: Request | None, closing: bool
) -> bytes:
    """Encode a response.

    :param request: request that it answers, None if that was invalid.
    :param closing: whether the connection is closed after it.
    """
    lines = [
        f'HTTP/1.1 {int(response.status)} {HTTPStatus(response.status).phrase}',
        f'Content-Length: {len(response.body)}',
        f'Date: {_format_date()}',
        *(f'{name}: {text}' for name, text in response.header_by_name.items()),
    ]
    if response.body:
        lines.append(f'Content-Type: {response.content_type}')
    if closing:
        lines.append('Connection: close')
    elif request is not None and request.version == '1.0':
        lines.append('Connection: keep-alive')
    head = '\r\n'.join((*lines, '\r\n')).encode('latin-1')
    if request is not None and request.method == 'HEAD':
        return head
    return head + response.body


def _format_date() -> str:
    return time.strftime('%a, %d %b %Y %H:%M:%S GMT', time.gmtime())
