"""HTTP calls to the platform's store, its workers and its services."""

import asyncio
import dataclasses
from collections.abc import Mapping

import aiohttp
import msgspec

#: Connections to one address at a time: a look that waits, orders beside it,
#: and one to spare for a connection that has gone silent.
CONNECTIONS_PER_ADDRESS = 6
#: Time to open a connection, in seconds: many round trips of one area, and
#: less than the second after which the kernel repeats a lost packet.
CONNECT_TIMEOUT_S = 0.5
#: An idle connection is kept for this long, in seconds.
KEEP_ALIVE_S = 20.0

_json_encoder = msgspec.json.Encoder()


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer.

    :ivar status: of HTTP.
    :ivar body: as it came.
    """

    status: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class NoAnswer:
    """No whole answer; the call may have been carried out.

    :ivar reason: what happened.
    :ivar broken: whether the other end, or the way there, closed the connection.
    """

    reason: str
    broken: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """No connection could be opened: not a byte of the call has left.

    Callers act on it as on a proof that nothing was, or will be, carried out.

    :ivar reason: what happened.
    """

    reason: str


CallOutcome = Answer | NoAnswer | NotSent


class Calls:
    """Opens connections and makes calls."""

    def __init__(self) -> None:
        """Open no connection yet."""
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def get(
        self,
        address: str,
        path: str,
        query: Mapping[str, str],
        timeout_s: float,
    ) -> CallOutcome:
        """Read.

        :param address: IP number and port.
        :param path: of the call.
        :param query: its parameters.
        :param timeout_s: for the whole answer, in seconds.
        :returns: the answer, or why there is none.
        """
        return await self._call(
            'GET', address, path, query, None, {}, timeout_s
        )

    async def post(
        self,
        address: str,
        path: str,
        query: Mapping[str, str],
        body: bytes,
        timeout_s: float,
    ) -> CallOutcome:
        """Send raw bytes.

        :param address: IP number and port.
        :param path: of the call.
        :param query: its parameters.
        :param body: what to send.
        :param timeout_s: for the whole answer, in seconds.
        :returns: the answer, or why there is none.
        """
        return await self._call(
            'POST', address, path, query, body, {}, timeout_s
        )

    async def post_json(
        self,
        address: str,
        path: str,
        content: object,
        headers: Mapping[str, str],
        timeout_s: float,
    ) -> CallOutcome:
        """Send JSON.

        :param address: IP number and port.
        :param path: of the call.
        :param content: what to send.
        :param headers: besides the usual ones.
        :param timeout_s: for the whole answer, in seconds.
        :returns: the answer, or why there is none.
        """
        full = {'Content-Type': 'application/json', **headers}
        body = _json_encoder.encode(content)
        return await self._call(
            'POST', address, path, {}, body, full, timeout_s
        )

    async def _call(
        self,
        method: str,
        address: str,
        path: str,
        query: Mapping[str, str],
        body: bytes | None,
        headers: Mapping[str, str],
        timeout_s: float,
    ) -> CallOutcome:
        timeout = aiohttp.ClientTimeout(
            total=timeout_s, sock_connect=CONNECT_TIMEOUT_S
        )
        try:
            async with self._opened().request(
                method,
                f'http://{address}{path}',
                params=query or None,
                data=body,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                return Answer(response.status, await response.read())
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            # Raised before anything is written. What fails later has other
            # types, also on a kept connection. The client repeats only reads by
            # itself, and would follow a redirect, which is forbidden above: the
            # first address may have carried the call out.
            return NotSent(f'{type(error).__name__}: {error}')
        except asyncio.TimeoutError as error:
            return NoAnswer(f'{type(error).__name__}: {error}')
        except (aiohttp.ClientError, OSError) as error:
            return NoAnswer(f'{type(error).__name__}: {error}', broken=True)

    def _opened(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(
                limit=0,
                limit_per_host=CONNECTIONS_PER_ADDRESS,
                keepalive_timeout=KEEP_ALIVE_S,
                use_dns_cache=False,
            )
            self._session = aiohttp.ClientSession(
                connector=connector,
                cookie_jar=aiohttp.DummyCookieJar(),
                auto_decompress=False,
                skip_auto_headers=('User-Agent', 'Accept-Encoding', 'Accept'),
            )
        return self._session
