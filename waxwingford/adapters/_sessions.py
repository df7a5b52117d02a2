"""Shared HTTP session of an adapter that knows whether anything was sent.

What goes wrong without it: a timeout looks the same before and after the
request left.  Tagged wrongly, a request that ran is reported as not run and a
caller runs it twice.  The session therefore notes when a connection was
there; until then nothing can have reached the server.
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
#: Share of the whole time that connecting may take.
_CONNECT_SHARE = 0.5
_MOST_CONNECT_S = 2
_MIB = 1_048_576
_MOST_ANSWER_BYTES = 8 * _MIB


@dataclasses.dataclass(frozen=True, slots=True)
class WholeAnswer:
    """An answer that came in full.

    :ivar status: HTTP status.
    :ivar headers: of the answer.
    :ivar body: whole body, as long as its Content-Length says.
    """

    status: int
    headers: Any
    body: bytes

    def not_run(self) -> bool:
        """Tell whether the server promises that it did nothing.

        :returns: whether the header says so.
        """
        return self.headers.get(NOT_RUN_HEADER) == '1'

    def retry_after_ms(self) -> int:
        """Read when to come back.

        :returns: milliseconds; a default without a readable header.
        """
        exact = self.headers.get(RETRY_AFTER_MS_HEADER, '')
        if exact.isdigit():
            return int(exact)
        seconds = self.headers.get('Retry-After', '')
        if seconds.isdigit():
            return int(seconds) * _MS_IN_S
        return _DEFAULT_RETRY_AFTER_MS


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """Certainly nothing reached the server.

    :ivar reason: for people.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoAnswer:
    """Something may have reached the server, but no whole answer came back.

    :ivar reason: for people.
    :ivar cut_off: whether an answer began and was broken off.
    """

    reason: str
    cut_off: bool = False


Exchange = WholeAnswer | NotSent | NoAnswer


class Session:
    """One client session with bounded connections to each server."""

    def __init__(self, connections_per_server: int) -> None:
        """Prepare; the session opens with the first exchange.

        :param connections_per_server: TCP connections at most to one server.
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
    ) -> Exchange:
        """Send one request and read its whole answer.

        :param method: HTTP method; ``POST`` is never sent twice.
        :param url: full URL.
        :param timeout_ms: for everything, in milliseconds.
        :param body: request body.
        :param headers: request headers.
        :returns: tagged outcome.
        """
        progress = SimpleNamespace(connected=False, answering=False)
        client = self._open()
        request = client.request(
            method,
            url,
            data=body,
            headers=headers,
            timeout=_timeout(timeout_ms),
            trace_request_ctx=progress,
            allow_redirects=False,
        )
        try:
            async with request as response:
                progress.answering = True
                return await _whole(response)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return _failed(error, progress)

    async def close(self) -> None:
        """Close all connections."""
        if self._client is not None:
            await self._client.close()
            self._client = None

    def _open(self) -> aiohttp.ClientSession:
        if self._client is None:
            self._client = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=0, limit_per_host=self._connections
                ),
                trace_configs=[_tracing()],
                auto_decompress=False,
                cookie_jar=aiohttp.DummyCookieJar(),
            )
        return self._client


def _timeout(timeout_ms: int) -> aiohttp.ClientTimeout:
    whole_s = max(timeout_ms, 1) / _MS_IN_S
    return aiohttp.ClientTimeout(
        total=whole_s,
        connect=min(whole_s * _CONNECT_SHARE, _MOST_CONNECT_S),
        ceil_threshold=_MOST_CONNECT_S * _MS_IN_S,
    )


def _tracing() -> aiohttp.TraceConfig:
    """Note the moment from which something may have been sent.

    :returns: hooks that set ``connected`` before the first byte is written.
    """

    async def _connected(_session, trace, _event) -> None:
        trace.trace_request_ctx.connected = True

    tracing = aiohttp.TraceConfig()
    tracing.on_connection_create_end.append(_connected)
    tracing.on_connection_reuseconn.append(_connected)
    return tracing


async def _whole(response: aiohttp.ClientResponse) -> Exchange:
    """Read the body and check its length.

    Without the check a body cut off by a dying server, sent without chunks,
    would be passed on as if it were whole; the caller would notice a document
    that ends in the middle.

    :param response: answer whose headers are there.
    :returns: the whole answer, or that none came.
    """
    length = response.content_length
    chunked = 'chunked' in response.headers.get('Transfer-Encoding', '')
    if length is None and not chunked:
        return NoAnswer('answer does not tell its length', cut_off=True)
    if length is not None and length > _MOST_ANSWER_BYTES:
        return NoAnswer('answer is too large', cut_off=True)
    body = await response.read()
    if length is not None and len(body) != length:
        return NoAnswer('answer is shorter than it says', cut_off=True)
    return WholeAnswer(response.status, response.headers, body)


def _failed(error: Exception, progress: SimpleNamespace) -> Exchange:
    reason = f'{type(error).__name__}: {error}'
    if progress.connected:
        return NoAnswer(reason, cut_off=progress.answering)
    return NotSent(reason)
