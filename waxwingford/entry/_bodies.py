"""Reading bodies of callers: bounded in size, time and together."""

import asyncio
import dataclasses
from http import HTTPStatus

from aiohttp import web

from waxwingford.entry._limits import EntryLimits

_MS_IN_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class BodyFault:
    """The caller's body is wrong; the request did not run.

    :ivar reason: for people.
    :ivar status: HTTP status.
    """

    reason: str
    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class NoBodyRoom:
    """Bodies of other requests fill the memory set aside for them."""


class BodyReader:
    """Reads bodies and counts the bytes of those in progress."""

    def __init__(self, limits: EntryLimits) -> None:
        """Start without bodies.

        :param limits: bounds.
        """
        self._limits = limits
        self._held_bytes = 0

    def reserve(self, request: web.Request) -> int | BodyFault | NoBodyRoom:
        """Set memory aside before the first byte is read.

        A thousand callers with a large body each would otherwise exhaust the
        memory of the VM; one would notice the daemon killed under load.

        :param request: the request.
        :returns: bytes to give back with :meth:`release`, or why not.
        """
        most = self._limits.body_bytes
        if request.headers.get('Content-Encoding', 'identity') != 'identity':
            return BodyFault(
                'Content-Encoding is not supported, send the body as it is',
                HTTPStatus.UNSUPPORTED_MEDIA_TYPE,
            )
        length = request.content_length
        wanted = most if length is None and request.can_read_body else length
        if (wanted or 0) > most:
            return _too_large(most)
        if self._held_bytes + (wanted or 0) > self._limits.all_bodies_bytes:
            return NoBodyRoom()
        self._held_bytes += wanted or 0
        return wanted or 0

    def release(self, reserved: int) -> None:
        """Give memory back.

        :param reserved: what :meth:`reserve` returned.
        """
        self._held_bytes -= reserved

    async def read(self, request: web.Request) -> bytes | BodyFault:
        """Read the whole body.

        :param request: the request.
        :returns: the body, or why it cannot be had.
        """
        try:
            async with asyncio.timeout(self._limits.read_ms / _MS_IN_S):
                return await _read_bounded(request, self._limits.body_bytes)
        except TimeoutError:
            return BodyFault(
                f'the body did not arrive within {self._limits.read_ms} ms',
                HTTPStatus.REQUEST_TIMEOUT,
            )
        except (web.RequestPayloadError, ConnectionError):
            return BodyFault('the body is not whole', HTTPStatus.BAD_REQUEST)


async def _read_bounded(request: web.Request, most: int) -> bytes | BodyFault:
    chunks: list[bytes] = []
    size = 0
    async for chunk in request.content.iter_any():
        size += len(chunk)
        if size > most:
            return _too_large(most)
        chunks.append(chunk)
    return b''.join(chunks)


def _too_large(most: int) -> BodyFault:
    return BodyFault(
        f'the body is larger than {most} bytes',
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    )
