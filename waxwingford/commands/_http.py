"""HTTP client that commands use to reach daemons."""

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
class HttpResponse:
    """Response of a daemon.

    :ivar retry_after: header ``Retry-After``, empty if absent.
    """

    status: int
    body: bytes
    retry_after: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionFailed:
    """No connection was made, so the daemon did not get the request.

    :ivar reason: error message.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoResponse:
    """No response came; the daemon may have got the request.

    :ivar reason: error message.
    """

    reason: str


HttpOutcome = HttpResponse | ConnectionFailed | NoResponse


async def send_request(
    fleet: Fleet,
    address: str,
    method: str,
    path: str,
    body: bytes = b'',
    headers: Mapping[str, str] = _NO_HEADERS,
    timeout_s: float = _TIMEOUT_S,
) -> HttpOutcome:
    """Send an HTTP request to one daemon.

    :param fleet: fleet that the daemon belongs to, for its CA certificate.
    :param address: address of the daemon as ``ADDRESS:PORT``.
    :param path: path with query.
    :param headers: additional headers.
    :param timeout_s: time for the whole exchange, in seconds.
    """
    scheme = 'https' if fleet.authority_file else 'http'
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(
                method,
                f'{scheme}://{address}{path}',
                data=body,
                headers=headers,
                ssl=_ssl_context(fleet),
            ) as response,
        ):
            return HttpResponse(
                response.status,
                await response.read(),
                response.headers.get('Retry-After', ''),
            )
    except aiohttp.ClientConnectorError as error:
        return ConnectionFailed(str(error))
    except aiohttp.InvalidURL:
        return ConnectionFailed(f'{address!r} is not ADDRESS:PORT')
    except (aiohttp.ClientError, TimeoutError) as error:
        return NoResponse(str(error) or type(error).__name__)


def get_from_all(
    fleet: Fleet,
    addresses: Iterable[str],
    path: str,
    sign: Callable[[], Mapping[str, str]] = dict,
) -> dict[str, HttpOutcome]:
    """Send a GET request to several daemons concurrently.

    :param fleet: fleet that the daemons belong to, for its CA certificate.
    :param addresses: addresses of the daemons as ``ADDRESS:PORT``.
    :param path: path with query.
    :param sign: makes the headers of one request; none by default.
    :returns: outcome by address.
    """

    async def _gather_responses() -> list[HttpOutcome]:
        return await asyncio.gather(
            *(
                send_request(fleet, address, 'GET', path, headers=sign())
                for address in addresses
            )
        )

    return dict(zip(addresses, asyncio.run(_gather_responses()), strict=True))


def _ssl_context(fleet: Fleet) -> ssl.SSLContext | bool:
    if not fleet.authority_file:
        return True
    return ssl.create_default_context(cafile=pathlib.Path(fleet.authority_file))
