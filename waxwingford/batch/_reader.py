"""Long polls of the failure domain's stream."""

import asyncio

import msgspec

from waxwingford.batch._messages import LogAway, LogEntries, ReadGroup
from waxwingford.batch._settings import BatchSettings
from waxwingford.kernel import Clock
from waxwingford.ports import LogEntry, LogPort, LogRead, LogUnavailable
from waxwingford.records import decode_group

_MS_IN_S = 1000
_POLL_MS = 1000
_READ_ENTRIES = 256
#: Gathers entries of several daemons into one read.
_PAUSE_MS = 50
_AWAY_PAUSE_MS = 250


class StreamReader:
    """Reads the stream forward and types what it reads."""

    def __init__(
        self, settings: BatchSettings, log: LogPort, clock: Clock
    ) -> None:
        """Bind the log.

        :param settings: names the failure domain.
        :param log: the log.
        :param clock: source of time.
        """
        self._stream = f'domain/{settings.failure_domain}'
        self._log = log
        self._clock = clock

    async def read(self, from_offset: int) -> LogEntries | LogAway:
        """Read once, waiting for something new.

        :param from_offset: first offset wanted.
        :returns: what the controller handles.
        """
        started_ms = self._clock.monotonic_ms()
        outcome = await self._log.read(
            self._stream, from_offset, _READ_ENTRIES, _POLL_MS
        )
        match outcome:
            case LogUnavailable(reason=reason):
                return LogAway(reason)
            case LogRead():
                return LogEntries(
                    tuple(read_group(entry) for entry in outcome.entries),
                    started_ms,
                    outcome.next_offset,
                    outcome.oldest_offset,
                )

    async def pause(self, message: LogEntries | LogAway) -> None:
        """Wait before the next read.

        :param message: what the last one gave.
        """
        is_away = isinstance(message, LogAway)
        pause_ms = _AWAY_PAUSE_MS if is_away else _PAUSE_MS
        await asyncio.sleep(pause_ms / _MS_IN_S)


def read_group(entry: LogEntry) -> ReadGroup:
    """Decode an entry.

    :param entry: as read.
    :returns: its group, or none where the payload is not one.
    """
    try:
        return ReadGroup(entry.offset, decode_group(entry.payload))
    except msgspec.DecodeError:
        return ReadGroup(entry.offset, None)
