"""Requests and responses of the HTTP server."""

import time
from http import HTTPStatus

import msgspec

TEXT_CONTENT_TYPE = 'text/plain; charset=utf-8'


class Request(msgspec.Struct):
    """A complete request.

    :ivar path: decoded path without the query.
    :ivar header_by_name: first value of each header, by name in lower case.
    :ivar received_s: loop time at which its headers were complete.
    :ivar keep_alive: whether the client may send another request.
    """

    method: str
    path: str
    header_by_name: dict[str, str]
    received_s: float
    keep_alive: bool
    version: str = '1.1'
    body: bytes = b''


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
