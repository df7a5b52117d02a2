"""Log lines of the scheduler daemon: JSON on standard output.

A line is written at once or not at all: nobody may read the pipe, and a
daemon that waits for a reader answers nobody. What comes too often is counted
and summarised each second; what is about leadership, dependencies and the
daemon's life is always written.
"""

import collections
import datetime
import itertools
import os
import random
import time

import logbook
import msgspec

from waxwingford.settings import Logging

#: Lines a second before the frequent events are summarised: above the rate of
#: a busy day, below what costs a small VM a twentieth of its core.
MOST_LINES_PER_S = 300
_KIB = 1024
#: Bytes that wait for a reader at most; what doesn't fit is counted.
MOST_WAITING_BYTES = _KIB * _KIB // 4
#: Events that come with each run; all others are never summarised.
FREQUENT = ('run.', 'job.', 'task.', 'request.')
_SUMMARY_EVERY_S = 1
_PROCESS_BITS = 24

_encoder = msgspec.json.Encoder(enc_hook=str)


class LineWriter:
    """Writes lines to a descriptor that never blocks."""

    def __init__(self, descriptor: int) -> None:
        """Take a descriptor over.

        :param descriptor: of the output; it is made non-blocking.
        """
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._waiting = bytearray()
        self.dropped = 0

    def write(self, line: bytes) -> bool:
        """Write a line, or keep it, or count it as dropped.

        :param line: with its end.
        :returns: whether it was written or kept.
        """
        self._flush()
        kept = len(self._waiting) + len(line) <= MOST_WAITING_BYTES
        if kept:
            self._waiting += line
            self._flush()
        else:
            self.dropped += 1
        return kept

    def _flush(self) -> None:
        try:
            written = os.write(self._descriptor, self._waiting)
        except OSError:
            # Nobody reads at present, or the reader has gone; what waits is
            # bounded and what is too much is counted.
            return
        del self._waiting[:written]


class JsonLines(logbook.Handler):
    """Handler of logbook: one JSON object a line, bounded in rate."""

    def __init__(self, settings: Logging, daemon_id: str, writer: LineWriter):
        """Name the daemon in each line.

        :param settings: level.
        :param daemon_id: of this process.
        :param writer: of the lines.
        """
        super().__init__(level=settings.level.upper())
        self._daemon_id = daemon_id
        self._writer = writer
        self._process = f'{random.getrandbits(_PROCESS_BITS):06x}'
        self._sequence = itertools.count(1)
        self._second = 0
        self._lines = 0
        self._count_by_event: collections.Counter[str] = collections.Counter()

    def emit(self, record: logbook.LogRecord) -> None:
        """Write or count one record.

        :param record: its ``extra`` holds ids and inputs.
        """
        second = int(time.monotonic()) // _SUMMARY_EVERY_S
        if second != self._second:
            self._summarise()
            self._second = second
            self._lines = 0
        self._lines += 1
        frequent = record.message.startswith(FREQUENT)
        if frequent and self._lines > MOST_LINES_PER_S:
            self._count_by_event[record.message] += 1
        else:
            self._writer.write(self._line(record))

    def _summarise(self) -> None:
        if not self._count_by_event and not self._writer.dropped:
            return
        line = {
            'time': datetime.datetime.utcnow().isoformat(
                timespec='milliseconds'
            ),
            'daemon': self._daemon_id,
            'process': self._process,
            'sequence': next(self._sequence),
            'event': 'log.summarised',
            'count_by_event': self._count_by_event,
            'dropped': self._writer.dropped,
        }
        if self._writer.write(_encode(line)):
            self._count_by_event = collections.Counter()
            self._writer.dropped = 0

    def _line(self, record: logbook.LogRecord) -> bytes:
        line = {
            'time': record.time.isoformat(timespec='milliseconds'),
            'level': record.level_name.lower(),
            'daemon': self._daemon_id,
            'process': self._process,
            'sequence': next(self._sequence),
            'part': record.channel,
            'event': record.message,
            **record.extra,
        }
        if record.exc_info is not None:
            line['exception'] = record.formatted_exception
        return _encode(line)


def _encode(line: dict[str, object]) -> bytes:
    return b''.join((_encoder.encode(line), b'\n'))


def log_lines(
    settings: Logging, daemon_id: str, descriptor: int
) -> logbook.Handler:
    """Make the handler of a daemon.

    :param settings: level.
    :param daemon_id: of this process.
    :param descriptor: of the output.
    :returns: handler that writes JSON lines.
    """
    return JsonLines(settings, daemon_id, LineWriter(descriptor))
