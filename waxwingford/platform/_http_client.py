"""HTTP client for the platform's store, workers and services."""

import asyncio
import dataclasses
from collections.abc import Mapping

import aiohttp
import msgspec

#: Maximum number of connections to one address: a long poll, concurrent
#: orders, and a spare for a connection that no longer responds.
CONNECTIONS_PER_ADDRESS = 6
#: Timeout for opening a connection, in seconds: many round trips within a
#: region, and below the 1 s after which the kernel retransmits a lost SYN.
CONNECT_TIMEOUT_S = 0.5
KEEP_ALIVE_S = 20.0

_json_encoder = msgspec.json.Encoder()


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response.

    :ivar body: undecoded response body.
    """

    status: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class NoResponse:
    """No complete response; the server may have processed the request.

    :ivar reason: error type and message.
    :ivar connection_closed: whether the connection was closed or reset, as
        opposed to a timeout on an open connection.
    """

    reason: str
    connection_closed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """No connection could be opened, so no byte of the request was sent.

    Proves to callers that the server has not processed the request and never
    will.

    :ivar reason: error type and message.
    """

    reason: str


RequestOutcome = HttpResponse | NoResponse | NotSent


class HttpClient:
    """Sends HTTP requests over pooled connections."""

    def __init__(self) -> None:
        """Create the client; the session is opened by the first request."""
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
    ) -> RequestOutcome:
        """Send a GET request.

        :param address: IP address and port of the server.
        :param timeout_s: timeout for the complete response, in seconds.
        """
        return await self._request(
            'GET', address, path, query, None, {}, timeout_s
        )

    async def post(
        self,
        address: str,
        path: str,
        query: Mapping[str, str],
        body: bytes,
        timeout_s: float,
    ) -> RequestOutcome:
        """Send a POST request with a binary body.

        :param address: IP address and port of the server.
        :param timeout_s: timeout for the complete response, in seconds.
        """
        return await self._request(
            'POST', address, path, query, body, {}, timeout_s
        )

    async def post_json(
        self,
        address: str,
        path: str,
        content: object,
        headers: Mapping[str, str],
        timeout_s: float,
    ) -> RequestOutcome:
        """Send a POST request with a JSON body.

        :param address: IP address and port of the server.
        :param content: object to encode as the request body.
        :param headers: headers in addition to the content type.
        :param timeout_s: timeout for the complete response, in seconds.
        """
        all_headers = {'Content-Type': 'application/json', **headers}
        body = _json_encoder.encode(content)
        return await self._request(
            'POST', address, path, {}, body, all_headers, timeout_s
        )

    async def _request(
        self,
        method: str,
        address: str,
        path: str,
        query: Mapping[str, str],
        body: bytes | None,
        headers: Mapping[str, str],
        timeout_s: float,
    ) -> RequestOutcome:
        timeout = aiohttp.ClientTimeout(
            total=timeout_s, sock_connect=CONNECT_TIMEOUT_S
        )
        try:
            async with self._get_session().request(
                method,
                f'http://{address}{path}',
                params=query or None,
                data=body,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                return HttpResponse(response.status, await response.read())
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            # Only raised before the request is written; later failures, also
            # on a reused connection, raise other types. aiohttp retries only
            # idempotent requests. Redirects are disabled, as the first server
            # may have processed the request before the second one fails.
            return NotSent(f'{type(error).__name__}: {error}')
        except asyncio.TimeoutError as error:
            return NoResponse(f'{type(error).__name__}: {error}')
        except (aiohttp.ClientError, OSError) as error:
            return NoResponse(
                f'{type(error).__name__}: {error}', connection_closed=True
            )

    def _get_session(self) -> aiohttp.ClientSession:
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
