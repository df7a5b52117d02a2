"""Log lines of the scheduler daemon: JSON on standard output."""

import sys

import logbook
import msgspec

from waxwingford.settings import Logging

_encoder = msgspec.json.Encoder(enc_hook=str)


class JsonLines:
    """Formatter of logbook: one object a line."""

    def __init__(self, daemon_id: str) -> None:
        """Name the daemon in each line.

        :param daemon_id: of this process.
        """
        self._daemon_id = daemon_id

    def __call__(self, record, handler: logbook.Handler) -> str:
        """Write one record.

        :param record: of logbook; its ``extra`` holds ids and inputs.
        :param handler: unused, part of logbook's interface.
        :returns: a line without its end.
        """
        line = {
            'time': record.time.isoformat(timespec='milliseconds'),
            'level': record.level_name.lower(),
            'daemon': self._daemon_id,
            'part': record.channel,
            'event': record.message,
            **dict(record.extra),
        }
        if record.exc_info is not None:
            line['exception'] = record.formatted_exception
        return _encoder.encode(line).decode()


def log_lines(settings: Logging, daemon_id: str) -> logbook.Handler:
    """Make the handler of a daemon.

    :param settings: level.
    :param daemon_id: of this process.
    :returns: handler that writes to standard output.
    """
    handler = logbook.StreamHandler(
        sys.stdout, level=settings.level.upper(), bubble=False
    )
    handler.formatter = JsonLines(daemon_id)
    return handler
