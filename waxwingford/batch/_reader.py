"""Reads the failure domain's stream by long polling."""

import asyncio
import random

import msgspec

from waxwingford.batch._messages import LogEntries, LogReadFailed, ReadGroup
from waxwingford.batch._settings import BatchSettings
from waxwingford.kernel import Clock
from waxwingford.ports import LogEntry, LogPort, LogRead, LogUnavailable
from waxwingford.records import decode_group

_MS_IN_S = 1000
_POLL_MS = 1000
_READ_ENTRIES = 256
#: Pause after a read, so that the next one returns several entries.
_BATCHING_PAUSE_MS = 50
_BASE_BACKOFF_MS = 250
_MAX_BACKOFF_MS = 2000
_MAX_DOUBLINGS = 3


def away_pause_ms(failures: int, rng: random.Random) -> int:
    """Choose the pause before the next call after failed platform calls.

    Exponential backoff with jitter, so that daemons whose calls fail together
    do not retry in step.

    :param failures: number of consecutive failed calls, from 1.
    :param rng: source of the jitter.
    :returns: pause, in milliseconds.
    """
    doublings = min(failures, _MAX_DOUBLINGS)
    ceiling_ms = min(_BASE_BACKOFF_MS << doublings, _MAX_BACKOFF_MS)
    return rng.randint(ceiling_ms // 2, ceiling_ms)


class StreamReader:
    """Reads the stream forward and decodes its entries."""

    def __init__(
        self, settings: BatchSettings, log: LogPort, clock: Clock
    ) -> None:
        self._stream = f'domain/{settings.failure_domain}'
        self._log = log
        self._clock = clock
        self._rng = random.Random()
        self._failures = 0

    async def read(self, from_offset: int) -> LogEntries | LogReadFailed:
        """Read once, waiting for new entries.

        :param from_offset: first offset to read.
        """
        started_ms = self._clock.monotonic_ms()
        outcome = await self._log.read(
            self._stream, from_offset, _READ_ENTRIES, _POLL_MS
        )
        match outcome:
            case LogUnavailable(reason=reason):
                return LogReadFailed(reason)
            case LogRead():
                return LogEntries(
                    tuple(decode_entry(entry) for entry in outcome.entries),
                    started_ms,
                    outcome.next_offset,
                    outcome.oldest_offset,
                )

    async def pause(self, message: LogEntries | LogReadFailed) -> None:
        """Wait before the next read.

        :param message: result of the last read.
        """
        pause_ms = _BATCHING_PAUSE_MS
        if isinstance(message, LogReadFailed):
            self._failures += 1
            pause_ms = away_pause_ms(self._failures, self._rng)
        else:
            self._failures = 0
        await asyncio.sleep(pause_ms / _MS_IN_S)


def decode_entry(entry: LogEntry) -> ReadGroup:
    """Decode an entry of the log.

    :returns: the entry with its group; None if the payload is no group.
    """
    try:
        return ReadGroup(entry.offset, decode_group(entry.payload))
    except msgspec.DecodeError:
        return ReadGroup(entry.offset, None)
