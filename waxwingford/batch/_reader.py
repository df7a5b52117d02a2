"""Long polls of the failure domain's stream."""

import asyncio
import random

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
_BATCHING_PAUSE_MS = 50
_BASE_BACKOFF_MS = 250
_MAX_BACKOFF_MS = 2000
_MAX_DOUBLINGS = 3


def away_pause_ms(failures: int, rng: random.Random) -> int:
    """Choose the pause before asking a platform that is away once more.

    An outage fails the calls of all daemons in one moment.  With a fixed pause
    they would all call again in step until it ends; one would notice spikes in
    the platform's own load.  Doubled pauses with a random half part them.

    :param failures: calls in a row that failed, from 1.
    :param rng: source of the random half.
    :returns: milliseconds.
    """
    doublings = min(failures, _MAX_DOUBLINGS)
    ceiling_ms = min(_BASE_BACKOFF_MS << doublings, _MAX_BACKOFF_MS)
    return rng.randint(ceiling_ms // 2, ceiling_ms)


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
        self._rng = random.Random()
        self._failures = 0

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
        pause_ms = _BATCHING_PAUSE_MS
        if isinstance(message, LogAway):
            self._failures += 1
            pause_ms = away_pause_ms(self._failures, self._rng)
        else:
            self._failures = 0
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
