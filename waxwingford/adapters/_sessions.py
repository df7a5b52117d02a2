"""HTTP session that records whether a request may have reached the server.

A request that fails before a connection exists cannot have run; after any
other failure the outcome is unknown.
"""

import dataclasses
from types import SimpleNamespace
from typing import Any

import aiohttp

from waxwingford.adapters._wire import (
    NOT_RUN_HEADER,
    RETRY_AFTER_MS_HEADER,
)

_MS_IN_S = 1000
_DEFAULT_RETRY_AFTER_MS = 500
#: Fraction of the total timeout that is available for connecting.
_CONNECT_FRACTION = 0.5
_MAX_CONNECT_S = 2
_MIB = 1_048_576
_MAX_RESPONSE_BYTES = 8 * _MIB


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteResponse:
    """Response that was received completely."""

    status: int
    headers: Any
    body: bytes

    def not_run(self) -> bool:
        """Check whether the server states that it did not run the request.

        :returns: whether the ``Waxwingford-Not-Run`` header is set.
        """
        return self.headers.get(NOT_RUN_HEADER) == '1'

    def retry_after_ms(self) -> int:
        """Parse the retry delay.

        :returns: delay in milliseconds; a default without a valid header.
        """
        milliseconds = self.headers.get(RETRY_AFTER_MS_HEADER, '')
        if milliseconds.isdigit():
            return int(milliseconds)
        seconds = self.headers.get('Retry-After', '')
        if seconds.isdigit():
            return int(seconds) * _MS_IN_S
        return _DEFAULT_RETRY_AFTER_MS


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """No connection was made, so the request did not reach the server.

    :ivar reason: human-readable explanation.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoResponse:
    """The request may have run, but no complete response was received.

    :ivar reason: human-readable explanation.
    :ivar truncated: whether a response began but is not complete.
    """

    reason: str
    truncated: bool = False


ExchangeOutcome = CompleteResponse | NotSent | NoResponse


class HttpSession:
    """HTTP client session with a limit on connections to each server."""

    def __init__(self, connections_per_server: int) -> None:
        """Initialize; the client session opens with the first exchange.

        :param connections_per_server: maximum number of TCP connections to one
            server.
        """
        self._connections = connections_per_server
        self._client: aiohttp.ClientSession | None = None

    async def exchange(
        self,
        method: str,
        url: str,
        timeout_ms: int,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> ExchangeOutcome:
        """Send one request and read the complete response.

        :param method: HTTP method; a ``POST`` is never resent.
        :param url: full URL.
        :param timeout_ms: total timeout, in milliseconds.
        """
        progress = SimpleNamespace(connected=False, response_started=False)
        client = self._open_client()
        request = client.request(
            method,
            url,
            data=body,
            headers=headers,
            timeout=_client_timeout(timeout_ms),
            trace_request_ctx=progress,
            allow_redirects=False,
        )
        try:
            async with request as response:
                progress.response_started = True
                return await _read_response(response)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return _classify_error(error, progress)

    async def close(self) -> None:
        """Close all connections."""
        if self._client is not None:
            await self._client.close()
            self._client = None

    def _open_client(self) -> aiohttp.ClientSession:
        if self._client is None:
            self._client = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=0, limit_per_host=self._connections
                ),
                trace_configs=[_connection_tracing()],
                auto_decompress=False,
                cookie_jar=aiohttp.DummyCookieJar(),
            )
        return self._client


def _client_timeout(timeout_ms: int) -> aiohttp.ClientTimeout:
    total_s = max(timeout_ms, 1) / _MS_IN_S
    return aiohttp.ClientTimeout(
        total=total_s,
        connect=min(total_s * _CONNECT_FRACTION, _MAX_CONNECT_S),
        ceil_threshold=_MAX_CONNECT_S * _MS_IN_S,
    )


def _connection_tracing() -> aiohttp.TraceConfig:
    """Build hooks that record when a request may have been sent.

    :returns: hooks that set ``connected`` before the first byte is written.
    """

    async def _mark_connected(_session, trace, _event) -> None:
        trace.trace_request_ctx.connected = True

    tracing = aiohttp.TraceConfig()
    tracing.on_connection_create_end.append(_mark_connected)
    tracing.on_connection_reuseconn.append(_mark_connected)
    return tracing


async def _read_response(response: aiohttp.ClientResponse) -> ExchangeOutcome:
    """Read the body and check its length.

    Keeps a body truncated by a failing server from being taken for complete.

    :param response: response whose headers have been received.
    """
    length = response.content_length
    chunked = 'chunked' in response.headers.get('Transfer-Encoding', '')
    if length is None and not chunked:
        return NoResponse(
            'response has neither Content-Length nor chunked encoding',
            truncated=True,
        )
    if length is not None and length > _MAX_RESPONSE_BYTES:
        return NoResponse('response exceeds the size limit', truncated=True)
    body = bytearray()
    async for part in response.content.iter_any():
        body += part
        if len(body) > _MAX_RESPONSE_BYTES:
            response.close()
            return NoResponse('response exceeds the size limit', truncated=True)
    if length is not None and len(body) != length:
        return NoResponse(
            'response is shorter than its Content-Length', truncated=True
        )
    return CompleteResponse(response.status, response.headers, bytes(body))


def _classify_error(
    error: Exception, progress: SimpleNamespace
) -> ExchangeOutcome:
    reason = f'{type(error).__name__}: {error}'
    if progress.connected:
        return NoResponse(reason, truncated=progress.response_started)
    return NotSent(reason)
