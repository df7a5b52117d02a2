"""Reads requests from the bytes of a connection."""

import asyncio
import zlib
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple
from urllib import parse as url_parse

import httptools

from waxwingford.http_server._messages import Request
from waxwingford.inbound import Holder, Reservation

_KIB = 1024
#: Memory of a request that is handled, and of one of its headers, beside their bytes.
_REQUEST_BYTES = 8192
_HEADER_BYTES = 200
_VERSIONS = frozenset(('1.0', '1.1'))
_ENCODINGS = frozenset(('gzip', 'deflate'))
#: Makes zlib accept its own header and that of gzip.
_ANY_HEADER = 32
_ZLIB_METHOD_MASK = 0xF
_ZLIB_METHOD = 8


def _default_body_bytes() -> int:
    return _KIB * _KIB


class ServerLimits(NamedTuple):
    """Limits on what one connection may use.

    :ivar head_bytes: largest request line with its headers.
    :ivar body_bytes: returns the size of the largest body at present.
    :ivar write_s: time for a response to be read, in seconds.
    :ivar request_s: time for a request to arrive, in seconds.
    :ivar idle_s: time without a request after which a connection is closed, in
        seconds. Longer than load balancers keep theirs, so that none sends a
        request on a connection that is being closed.
    """

    head_bytes: int = 32_768
    body_bytes: Callable[[], int] = _default_body_bytes
    request_s: float = 60
    write_s: float = 60
    idle_s: float = 3630


class ReaderEvents(NamedTuple):
    """Callbacks of a reader.

    :ivar begun: a request has begun.
    :ivar awaiting_body: the client waits before it sends the body.
    :ivar complete: a request is complete.
    :ivar refused: no further request is read, and the status of the response
        that says why.
    """

    begun: Callable[[], None]
    awaiting_body: Callable[[], None]
    complete: Callable[[Request], None]
    refused: Callable[[HTTPStatus], None]


class RequestReader:
    """Parser of the requests of one connection.

    :ivar receiving: whether a request has begun and isn't complete.
    :ivar ended: whether the client has asked for another protocol, so that no
        further request can be read.
    """

    def __init__(
        self, limits: ServerLimits, events: ReaderEvents, holder: Holder
    ) -> None:
        """Create a reader.

        :param holder: connection, for which memory is reserved.
        """
        self.receiving = False
        self.ended = False
        self._limits = limits
        self._events = events
        self._holder = holder
        self._reservation = Reservation(holder)
        self._reserved_body_bytes = 0
        self._parser = httptools.HttpRequestParser(self)
        self._url = bytearray()
        self._header_by_name: dict[str, str] = {}
        self._body = bytearray()
        self._head_bytes = 0
        self._in_head = False
        self._has_advanced = False
        self._request: Request | None = None

    def feed(self, data: bytes) -> None:
        """Parse a part of a request; nothing is read after a refusal."""
        if self.ended:
            return
        was_in_head = self._in_head
        self._has_advanced = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request is answered as if it asked for no other protocol.
            self.ended = True
            return
        except httptools.HttpParserError:
            self.refuse(HTTPStatus.BAD_REQUEST)
            return
        if (was_in_head and self._in_head) or not self._has_advanced:
            # Callbacks are called for complete headers only, and for those that
            # follow a body in chunks.
            self._head_bytes += len(data)
            self._reserve(len(data))
            self._check_head()

    def refuse(self, status: HTTPStatus) -> None:
        """Read no further request, and have a response sent that says why."""
        if not self.ended:
            self.ended = True
            self.drop()
            self._events.refused(status)

    def drop(self) -> None:
        """Forget the request that is arriving, and give its memory back."""
        self._forget()
        self._reservation.release()

    def close(self) -> None:
        """Read nothing more, and refer to nothing that refers to this reader."""
        self.ended = True
        self._parser = None
        self._events = None

    def on_message_begin(self) -> None:
        """Start a request."""
        self._has_advanced = True
        self._url.clear()
        self._body.clear()
        self._header_by_name = {}
        self._head_bytes = 0
        self._in_head = True
        self._reserved_body_bytes = 0
        if not self.ended:
            self.receiving = True
            self._reservation = Reservation(self._holder)
            self._reserve(_REQUEST_BYTES)
            self._events.begun()

    def on_url(self, part: bytes) -> None:
        """Collect a part of the URL."""
        self._url += part
        self._reserve(len(part))

    def on_header(self, name: bytes, text: bytes) -> None:
        """Collect a header."""
        if self.ended:
            return
        self._head_bytes += len(name) + len(text)
        self._reserve(len(name) + len(text) + _HEADER_BYTES)
        self._check_head()
        key = name.decode('latin-1').lower()
        if key == 'host' and key in self._header_by_name:
            self.refuse(HTTPStatus.BAD_REQUEST)
        self._header_by_name.setdefault(key, text.decode('latin-1').strip())

    def on_headers_complete(self) -> None:
        """Check the head, and let a client send the body that waits for it."""
        self._in_head = False
        self._has_advanced = True
        if self.ended:
            return
        self._head_bytes += len(self._url)
        self._check_head()
        version = self._parser.get_http_version()
        if version not in _VERSIONS:
            self.refuse(HTTPStatus.BAD_REQUEST)
        length = self._header_by_name.get('content-length', '')
        self._reserve_body(int(length) if length.isdecimal() else 0)
        if self.ended:
            return
        path = httptools.parse_url(bytes(self._url)).path or b'/'
        self._request = Request(
            self._parser.get_method().decode(),
            url_parse.unquote(path.decode('latin-1')),
            self._header_by_name,
            asyncio.get_running_loop().time(),
            self._parser.should_keep_alive(),
            version,
            reservation=self._reservation,
        )
        expected = self._header_by_name.get('expect', '').lower()
        if expected == '100-continue':
            self._events.awaiting_body()

    def on_body(self, part: bytes) -> None:
        """Collect a part of the body."""
        self._has_advanced = True
        if not self.ended:
            self._reserve_body(len(self._body) + len(part))
        if not self.ended:
            self._body += part

    def on_message_complete(self) -> None:
        """Hand over the request."""
        self._has_advanced = True
        if self.ended:
            return
        encoding = self._header_by_name.get('content-encoding', '').lower()
        if encoding in _ENCODINGS and self._body:
            # How much a body expands isn't known before it has.
            self._reserve(self._limits.body_bytes())
        if self.ended:
            return
        try:
            self._request.body = _decode_body(
                self._body, encoding, self._limits.body_bytes()
            )
        except zlib.error:
            self.refuse(HTTPStatus.BAD_REQUEST)
            return
        self._check_body(len(self._request.body))
        if not self.ended:
            request = self._request
            self._forget()
            # The memory is the request's now.
            self._reservation = Reservation(self._holder)
            self._events.complete(request)

    def _forget(self) -> None:
        self.receiving = False
        self._request = None
        self._header_by_name = {}
        self._body = bytearray()

    def _check_head(self) -> None:
        if self._head_bytes > self._limits.head_bytes:
            self.refuse(HTTPStatus.BAD_REQUEST)

    def _reserve_body(self, size_bytes: int) -> None:
        """Reserve what a body needs, at once if its length is announced."""
        self._check_body(size_bytes)
        if size_bytes > self._reserved_body_bytes:
            self._reserve(size_bytes - self._reserved_body_bytes)
            self._reserved_body_bytes = size_bytes

    def _check_body(self, size_bytes: int) -> None:
        if size_bytes > self._limits.body_bytes():
            self.refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def _reserve(self, size: int) -> None:
        if not self.ended and not self._reservation.grow(size):
            self.refuse(HTTPStatus.SERVICE_UNAVAILABLE)


def _decode_body(body: bytearray, encoding: str, max_bytes: int) -> bytes:
    """Expand a body.

    :returns: body, with one byte more than permitted if it is too large.
    :raises zlib.error: if it can't be expanded, or is incomplete.
    """
    if encoding not in _ENCODINGS or not body:
        return bytes(body)
    has_header = (
        encoding == 'gzip' or body[0] & _ZLIB_METHOD_MASK == _ZLIB_METHOD
    )
    decoder = zlib.decompressobj(
        zlib.MAX_WBITS | _ANY_HEADER if has_header else -zlib.MAX_WBITS
    )
    expanded = decoder.decompress(body, max_bytes + 1)
    if not decoder.eof and len(expanded) <= max_bytes:
        raise zlib.error('incomplete body')
    return expanded
