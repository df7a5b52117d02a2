"""Log port over HTTP."""

from urllib.parse import urlencode

import msgspec

from waxwingford.adapters._sessions import (
    NoAnswer,
    NotSent,
    Session,
    WholeAnswer,
)
from waxwingford.adapters._wire import (
    decode_append_reply,
    decode_log_read,
)
from waxwingford.ports import (
    Appended,
    AppendOutcome,
    AppendRefused,
    AppendUnknown,
    LogUnavailable,
    ReadOutcome,
)

_CONNECTIONS = 16
_NOT_SENT_RETRY_MS = 500
_CREATED = 201
_OK = 200
#: Statuses that a server gives only before it touches the log.
_REFUSING_STATUSES = frozenset((400, 413, 429))


class HttpLog:
    """Speaks to the platform's log."""

    def __init__(self, url: str, timeout_ms: int) -> None:
        """Prepare; nothing is sent yet.

        :param url: base URL.
        :param timeout_ms: for each call, without the time of a held read, in
            milliseconds.
        """
        self._url = url.rstrip('/')
        self._timeout_ms = timeout_ms
        self._session = Session(_CONNECTIONS)

    async def append(self, stream: str, payload: bytes) -> AppendOutcome:
        """Append one entry.

        :param stream: its name.
        :param payload: at most 1 MiB.
        :returns: tagged outcome.
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
            case WholeAnswer():
                return _append_outcome(exchange)
            case NotSent(reason):
                return AppendRefused(reason, _NOT_SENT_RETRY_MS)
            case NoAnswer(reason):
                return AppendUnknown(reason)

    async def read(
        self,
        stream: str,
        from_offset: int,
        limit: int,
        wait_ms: int = 0,
    ) -> ReadOutcome:
        """Read entries forward.

        :param stream: its name.
        :param from_offset: first offset wanted.
        :param limit: entries at most.
        :param wait_ms: how long the log may hold the call, in milliseconds.
        :returns: tagged outcome.
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
            case WholeAnswer():
                return _read_outcome(exchange)
            case NotSent(reason) | NoAnswer(reason):
                return LogUnavailable(reason)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()


def _append_outcome(answer: WholeAnswer) -> AppendOutcome:
    if answer.status == _CREATED:
        try:
            return Appended(decode_append_reply(answer.body).offset)
        except msgspec.DecodeError as error:
            return AppendUnknown(f'unreadable answer: {error}')
    reason = f'log answered {answer.status}'
    if answer.status in _REFUSING_STATUSES or answer.not_run():
        return AppendRefused(reason, answer.retry_after_ms())
    return AppendUnknown(reason)


def _read_outcome(answer: WholeAnswer) -> ReadOutcome:
    if answer.status != _OK:
        return LogUnavailable(f'log answered {answer.status}')
    try:
        return decode_log_read(answer.body)
    except msgspec.DecodeError as error:
        return LogUnavailable(f'unreadable answer: {error}')
