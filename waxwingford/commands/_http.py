"""HTTP calls of commands to daemons."""

import asyncio
import dataclasses
import pathlib
import ssl
from collections.abc import Callable, Iterable, Mapping

import aiohttp

from waxwingford.commands._fleet import Fleet

_TIMEOUT_S = 10
_NO_HEADERS: Mapping[str, str] = {}


@dataclasses.dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A daemon answered.

    :ivar status: HTTP status.
    :ivar body: whole body.
    :ivar retry_after: header ``Retry-After``, empty without one.
    """

    status: int
    body: bytes
    retry_after: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class NotReached:
    """No connection: the daemon has certainly not seen the call.

    :ivar reason: for people.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoAnswer:
    """The call was sent and its answer is missing.

    :ivar reason: for people.
    """

    reason: str


HttpOutcome = HttpAnswer | NotReached | NoAnswer


async def call(
    fleet: Fleet,
    address: str,
    method: str,
    path: str,
    body: bytes = b'',
    headers: Mapping[str, str] = _NO_HEADERS,
) -> HttpOutcome:
    """Call one daemon.

    :param fleet: for its authority of certificates.
    :param address: ``ADDRESS:PORT``.
    :param method: HTTP method.
    :param path: path with query.
    :param body: whole body.
    :param headers: to add.
    :returns: tagged outcome.
    """
    scheme = 'https' if fleet.authority_file else 'http'
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(
                method,
                f'{scheme}://{address}{path}',
                data=body,
                headers=headers,
                ssl=_context(fleet),
            ) as answer,
        ):
            return HttpAnswer(
                answer.status,
                await answer.read(),
                answer.headers.get('Retry-After', ''),
            )
    except aiohttp.ClientConnectorError as error:
        return NotReached(str(error))
    except aiohttp.InvalidURL:
        return NotReached(f'{address!r} is not ADDRESS:PORT')
    except (aiohttp.ClientError, TimeoutError) as error:
        return NoAnswer(str(error) or type(error).__name__)


def ask_all(
    fleet: Fleet,
    addresses: Iterable[str],
    path: str,
    sign: Callable[[], Mapping[str, str]] = dict,
) -> dict[str, HttpOutcome]:
    """Ask daemons at the same time.

    :param fleet: for its authority of certificates.
    :param addresses: ``ADDRESS:PORT`` of each.
    :param path: what to get.
    :param sign: makes the headers of one call; none by default.
    :returns: outcome by address.
    """

    async def _ask() -> list[HttpOutcome]:
        return await asyncio.gather(
            *(
                call(fleet, address, 'GET', path, headers=sign())
                for address in addresses
            )
        )

    return dict(zip(addresses, asyncio.run(_ask()), strict=True))


def _context(fleet: Fleet) -> ssl.SSLContext | bool:
    if not fleet.authority_file:
        return True
    return ssl.create_default_context(cafile=pathlib.Path(fleet.authority_file))
