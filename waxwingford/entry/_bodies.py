"""Reads request bodies within limits on size, time and total memory."""

import asyncio
import dataclasses
from http import HTTPStatus

from aiohttp import web

from waxwingford.entry._limits import HttpLimits

_MS_IN_S = 1000


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
    ) -> int | InvalidBody | BodyMemoryExhausted:
        """Reserve memory for a body before any of it is read.

        Keeps concurrent large bodies from exhausting the memory of the VM.

        :param request: request whose body is to be read; without a
            Content-Length the maximum body size is reserved.
        :returns: reserved size in bytes, to be passed to :meth:`release`, or
            the reason why the body is not accepted.
        """
        max_bytes = self._limits.body_bytes
        if request.headers.get('Content-Encoding', 'identity') != 'identity':
            return InvalidBody(
                'Content-Encoding is not supported; send the body unencoded',
                HTTPStatus.UNSUPPORTED_MEDIA_TYPE,
            )
        length = request.content_length
        requested_bytes = (
            max_bytes if length is None and request.can_read_body else length
        )
        if (requested_bytes or 0) > max_bytes:
            return _body_too_large(max_bytes)
        if (
            self._reserved_bytes + (requested_bytes or 0)
            > self._limits.all_bodies_bytes
        ):
            return BodyMemoryExhausted()
        self._reserved_bytes += requested_bytes or 0
        return requested_bytes or 0

    def release(self, reserved: int) -> None:
        """Release memory reserved for a body.

        :param reserved: size returned by :meth:`reserve`, in bytes.
        """
        self._reserved_bytes -= reserved

    async def read(self, request: web.Request) -> bytes | InvalidBody:
        """Read a complete request body.

        :param request: request for which memory was reserved.
        :returns: the body, or the reason why it could not be read.
        """
        try:
            async with asyncio.timeout(self._limits.read_ms / _MS_IN_S):
                return await _read_bounded(request, self._limits.body_bytes)
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
    request: web.Request, max_bytes: int
) -> bytes | InvalidBody:
    chunks: list[bytes] = []
    size = 0
    async for chunk in request.content.iter_any():
        size += len(chunk)
        if size > max_bytes:
            return _body_too_large(max_bytes)
        chunks.append(chunk)
    return b''.join(chunks)


def _body_too_large(max_bytes: int) -> InvalidBody:
    return InvalidBody(
        f'request body exceeds {max_bytes} bytes',
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    )
