"""Reads request bodies within limits on size, time and total memory."""

import asyncio
import dataclasses
from http import HTTPStatus

from aiohttp import web

from waxwingford.entry._connections import new_reservation
from waxwingford.entry._limits import HttpLimits
from waxwingford.inbound import Reservation

_MS_IN_S = 1000
#: Times that a body is in memory: as it has arrived, and joined.
BODY_COPIES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidBody:
    """The request body is invalid; the request was not run.

    :ivar reason: human-readable explanation.
    """

    reason: str
    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class BodyMemoryExhausted:
    """The memory for request bodies is taken up by other requests."""


class BodyReader:
    """Reads request bodies and accounts for the memory that they use."""

    def __init__(self, limits: HttpLimits) -> None:
        """Initialize without reservations.

        :param limits: limits on body size, total memory and read time.
        """
        self._limits = limits
        self._reserved_bytes = 0

    def reserve(
        self, request: web.Request
    ) -> 'ReservedBody | InvalidBody | BodyMemoryExhausted':
        """Reserve memory for a body before any of it is read.

        Keeps concurrent large bodies from exhausting the memory of the VM.

        :param request: request whose body is to be read; without a
            Content-Length memory is reserved as the body arrives.
        :returns: reservation, to be passed to :meth:`release`, or the reason why
            the body is not accepted.
        """
        reservation = new_reservation(request)
        if reservation is None:
            return InvalidBody(
                'the connection was lost', HTTPStatus.BAD_REQUEST
            )
        max_bytes = min(
            self._limits.body_bytes, reservation.max_bytes // BODY_COPIES
        )
        if request.headers.get('Content-Encoding', 'identity') != 'identity':
            return InvalidBody(
                'Content-Encoding is not supported; send the body unencoded',
                HTTPStatus.UNSUPPORTED_MEDIA_TYPE,
            )
        length = request.content_length or 0
        if length > max_bytes:
            return _body_too_large(max_bytes)
        body = ReservedBody(reservation, max_bytes)
        return body if self._grow(body, length) else BodyMemoryExhausted()

    def release(self, body: 'ReservedBody') -> None:
        """Release memory reserved for a body.

        :param body: reservation returned by :meth:`reserve`.
        """
        self._reserved_bytes -= body.size
        body.reservation.release()

    async def read(
        self, request: web.Request, body: 'ReservedBody'
    ) -> bytes | InvalidBody | BodyMemoryExhausted:
        """Read a complete request body.

        :param request: request for which memory was reserved.
        :param body: reservation, which grows with what arrives.
        :returns: the body, or the reason why it could not be read.
        """
        try:
            async with asyncio.timeout(self._limits.read_ms / _MS_IN_S):
                return await self._read_bounded(request, body)
        except TimeoutError:
            return InvalidBody(
                f'request body not received within {self._limits.read_ms} ms',
                HTTPStatus.REQUEST_TIMEOUT,
            )
        except (web.RequestPayloadError, ConnectionError):
            return InvalidBody(
                'request body is incomplete', HTTPStatus.BAD_REQUEST
            )

    async def _read_bounded(
        self, request: web.Request, body: 'ReservedBody'
    ) -> bytes | InvalidBody | BodyMemoryExhausted:
        chunks: list[bytes] = []
        size = 0
        async for chunk in request.content.iter_any():
            size += len(chunk)
            if size > body.max_bytes:
                return _body_too_large(body.max_bytes)
            if not self._grow(body, size - body.size):
                return BodyMemoryExhausted()
            chunks.append(chunk)
        return b''.join(chunks)

    def _grow(self, body: 'ReservedBody', size: int) -> bool:
        """Reserve more for a body.

        :param size: size in bytes, 0 or less if enough is reserved.
        """
        if size <= 0:
            return True
        if self._reserved_bytes + size > self._limits.all_bodies_bytes:
            return False
        if not body.reservation.grow(size * BODY_COPIES):
            return False
        self._reserved_bytes += size
        body.size += size
        return True


@dataclasses.dataclass(slots=True)
class ReservedBody:
    """Memory for a body.

    :ivar max_bytes: largest size of the body, in bytes.
    :ivar size: reserved size of the body, in bytes.
    """

    reservation: Reservation
    max_bytes: int
    size: int = 0


def _body_too_large(max_bytes: int) -> InvalidBody:
    return InvalidBody(
        f'request body exceeds {max_bytes} bytes',
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    )
