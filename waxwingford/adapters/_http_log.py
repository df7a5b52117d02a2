"""HTTP adapter of the log."""

from urllib.parse import urlencode

import msgspec

from waxwingford.adapters._sessions import (
    CompleteResponse,
    HttpSession,
    NoResponse,
    NotSent,
)
from waxwingford.adapters._wire import (
    decode_append_reply,
    decode_log_read,
)
from waxwingford.ports import (
    Appended,
    AppendOutcome,
    AppendOutcomeUnknown,
    AppendRefused,
    LogUnavailable,
    ReadOutcome,
)

_MAX_CONNECTIONS = 16
_NOT_SENT_RETRY_AFTER_MS = 500
_CREATED = 201
_OK = 200
#: Statuses that guarantee that nothing was appended.
_REFUSED_STATUSES = frozenset((400, 413, 429))


class HttpLog:
    """Client of the platform's log."""

    def __init__(self, url: str, timeout_ms: int) -> None:
        """Initialize without connecting.

        :param url: base URL.
        :param timeout_ms: timeout of each call, in milliseconds; the wait time
            of a read is added to it.
        """
        self._url = url.rstrip('/')
        self._timeout_ms = timeout_ms
        self._session = HttpSession(_MAX_CONNECTIONS)

    async def append(self, stream: str, payload: bytes) -> AppendOutcome:
        """Append one entry.

        :param payload: payload of at most 1 MiB.
        :returns: appended, refused (nothing was appended) or unknown.
        """
        query = urlencode({'stream': stream})
        exchange = await self._session.exchange(
            'POST',
            f'{self._url}/v1/log/append?{query}',
            self._timeout_ms,
            body=payload,
            headers={'Content-Type': 'application/octet-stream'},
        )
        match exchange:
            case CompleteResponse():
                return _append_outcome(exchange)
            case NotSent(reason):
                return AppendRefused(reason, _NOT_SENT_RETRY_AFTER_MS)
            case NoResponse(reason):
                return AppendOutcomeUnknown(reason)

    async def read(
        self,
        stream: str,
        from_offset: int,
        limit: int,
        wait_ms: int = 0,
    ) -> ReadOutcome:
        """Read entries in ascending order of offset.

        :param from_offset: first offset to read.
        :param limit: maximum number of entries.
        :param wait_ms: time for which the log may wait for new entries before
            it responds, in milliseconds.
        """
        query = urlencode(
            {
                'stream': stream,
                'from': from_offset,
                'limit': limit,
                'wait_ms': wait_ms,
            }
        )
        exchange = await self._session.exchange(
            'GET',
            f'{self._url}/v1/log/read?{query}',
            self._timeout_ms + wait_ms,
        )
        match exchange:
            case CompleteResponse():
                return _read_outcome(exchange)
            case NotSent(reason) | NoResponse(reason):
                return LogUnavailable(reason)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()


def _append_outcome(response: CompleteResponse) -> AppendOutcome:
    if response.status == _CREATED:
        try:
            return Appended(decode_append_reply(response.body).offset)
        except msgspec.DecodeError as error:
            return AppendOutcomeUnknown(f'cannot decode response: {error}')
    reason = f'log returned HTTP status {response.status}'
    if response.status in _REFUSED_STATUSES or response.not_run():
        return AppendRefused(reason, response.retry_after_ms())
    return AppendOutcomeUnknown(reason)


def _read_outcome(response: CompleteResponse) -> ReadOutcome:
    if response.status != _OK:
        return LogUnavailable(f'log returned HTTP status {response.status}')
    try:
        return decode_log_read(response.body)
    except msgspec.DecodeError as error:
        return LogUnavailable(f'cannot decode response: {error}')
