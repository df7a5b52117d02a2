"""Logging of the scheduler daemon: JSON lines on standard output.

Writes never block, so that a stalled reader cannot stop the daemon. Frequent
events above a rate limit are counted and summarised each second.
"""

import asyncio
import collections
import datetime
import itertools
import os
import random
import time

import logbook
import msgspec

from waxwingford.settings import SchedulerLogging

#: Lines per second above which frequent events are summarised, to limit the CPU
#: time spent on logging.
MAX_LINES_PER_S = 300
_KIB = 1024
#: Maximum size of unwritten lines, in bytes; further lines are dropped.
MAX_BUFFERED_BYTES = _KIB * _KIB // 4
#: Prefixes of the only events that are summarised above the rate limit.
FREQUENT_EVENT_PREFIXES = ('run.', 'job.', 'task.', 'request.')
_SUMMARY_INTERVAL_S = 1
#: Time for which lines are collected before they are written, in seconds: one
#: system call then writes the lines of several decisions.
FLUSH_DELAY_S = 0.02
_PROCESS_ID_BITS = 24

_encoder = msgspec.json.Encoder(enc_hook=str)


class NonBlockingWriter:
    """Writes lines to a descriptor without blocking."""

    def __init__(self, descriptor: int) -> None:
        """Make a descriptor non-blocking and write to it."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._flush_timer: asyncio.TimerHandle | None = None
        self.dropped = 0

    def write(self, line: bytes) -> bool:
        """Write or buffer a line; drop and count it if the buffer is full.

        :param line: line with its line break.
        :returns: whether it was written or buffered.
        """
        if len(self._buffer) + len(line) > MAX_BUFFERED_BYTES:
            self.flush()
        accepted = len(self._buffer) + len(line) <= MAX_BUFFERED_BYTES
        if accepted:
            self._buffer += line
        else:
            self.dropped += 1
        self._schedule_flush()
        return accepted

    def _schedule_flush(self) -> None:
        if self._flush_timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._flush_timer = loop.call_later(FLUSH_DELAY_S, self.flush)

    def flush(self) -> None:
        """Write what the descriptor takes."""
        self._flush_timer = None
        if not self._buffer:
            return
        try:
            written = os.write(self._descriptor, self._buffer)
        except OSError:
            # The pipe is full or closed; the buffer is bounded.
            return
        del self._buffer[:written]


class JsonLineHandler(logbook.Handler):
    """Rate-limited logbook handler that writes one JSON object per line."""

    def __init__(
        self,
        settings: SchedulerLogging,
        daemon_id: str,
        writer: NonBlockingWriter,
    ):
        super().__init__(level=settings.level.upper())
        self._daemon_id = daemon_id
        self._writer = writer
        self._process_id = f'{random.getrandbits(_PROCESS_ID_BITS):06x}'
        self._sequence = itertools.count(1)
        self._interval = 0
        self._line_count = 0
        self._count_by_event: collections.Counter[str] = collections.Counter()

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record, or count it if the rate limit is exceeded.

        :param record: record whose ``extra`` becomes keys of the line.
        """
        interval = int(time.monotonic()) // _SUMMARY_INTERVAL_S
        if interval != self._interval:
            self._write_summary()
            self._interval = interval
            self._line_count = 0
        self._line_count += 1
        if _is_frequent(record) and self._line_count > MAX_LINES_PER_S:
            self._count_by_event[record.message] += 1
        else:
            self._writer.write(self._format_line(record))

    def close(self) -> None:
        """Write the collected lines."""
        self._writer.flush()

    def _write_summary(self) -> None:
        if not self._count_by_event and not self._writer.dropped:
            return
        line = {
            'time': datetime.datetime.utcnow().isoformat(
                timespec='milliseconds'
            ),
            'daemon': self._daemon_id,
            'process': self._process_id,
            'sequence': next(self._sequence),
            'event': 'log.summarised',
            'count_by_event': self._count_by_event,
            'dropped': self._writer.dropped,
        }
        if self._writer.write(_encode_line(line)):
            self._count_by_event = collections.Counter()
            self._writer.dropped = 0

    def _format_line(self, record: logbook.LogRecord) -> bytes:
        line = {
            'time': record.time.isoformat(timespec='milliseconds'),
            'level': record.level_name.lower(),
            'daemon': self._daemon_id,
            'process': self._process_id,
            'sequence': next(self._sequence),
            'part': record.channel,
            'event': record.message,
            **record.extra,
        }
        if record.exc_info is not None:
            line['exception'] = record.formatted_exception
        return _encode_line(line)


def _is_frequent(record: logbook.LogRecord) -> bool:
    """Whether a line may be left out above the rate limit.

    The line about a failed job is the only one that says what it rests on.
    """
    failed = record.extra.get('phase') == 'failed'
    return record.message.startswith(FREQUENT_EVENT_PREFIXES) and not failed


def _encode_line(line: dict[str, object]) -> bytes:
    return b''.join((_encoder.encode(line), b'\n'))


def make_log_handler(
    settings: SchedulerLogging, daemon_id: str, descriptor: int
) -> logbook.Handler:
    """Create the log handler of a daemon.

    :param settings: logging settings, with the minimum level.
    :param daemon_id: id of the daemon, written in each line.
    :param descriptor: file descriptor of the output.
    """
    return JsonLineHandler(settings, daemon_id, NonBlockingWriter(descriptor))
