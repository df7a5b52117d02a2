"""Structured logging, one event per line, as JSON or text."""

import json
import sys
from typing import Any

import logbook

from waxwingford.settings import Logging
from waxwingford.timeline import Event


class LineFormatter:
    """Logbook formatter that adds the daemon and its incarnation."""

    def __init__(self, form: str, daemon: str, incarnation: str) -> None:
        """Create a formatter.

        :param form: output format, ``json`` or ``text``.
        :param daemon: daemon id.
        :param incarnation: random id of this run of the process.
        """
        self._form = form
        self._daemon = daemon
        self._incarnation = incarnation

    def __call__(self, record: Any, handler: logbook.Handler) -> str:
        """Format a log record.

        :param record: logbook record; its ``extra`` holds additional fields.
        :param handler: unused, required by logbook's interface.
        :returns: log line without a line break.
        """
        extra = {key: str(text) for key, text in dict(record.extra).items()}
        if self._form == 'json':
            return json.dumps(
                {
                    'time': record.time.isoformat(timespec='milliseconds'),
                    'level': record.level_name.lower(),
                    'daemon': self._daemon,
                    'incarnation': self._incarnation,
                    'part': record.channel,
                    'event': record.message,
                    **extra,
                    **_exception(record),
                }
            )
        fields = ' '.join(f'{key}={text}' for key, text in extra.items())
        timestamp = record.time.isoformat(sep=' ', timespec='milliseconds')
        process = f'{self._daemon}#{self._incarnation}'
        return (
            f'{timestamp} {record.level_name:<7} {process} '
            f'{record.channel}: {record.message} {fields}'.rstrip()
        )


def _exception(record: Any) -> dict[str, str]:
    if record.exc_info is None:
        return {}
    return {'exception': record.formatted_exception}


def log_handler(
    settings: Logging, daemon: str, incarnation: str
) -> logbook.Handler:
    """Create the daemon's log handler.

    :param settings: output format and log level.
    :param daemon: daemon id.
    :param incarnation: random id of this run of the process.
    :returns: handler that writes to standard error.
    """
    handler = logbook.StreamHandler(
        sys.stderr, level=settings.level.upper(), bubble=False
    )
    handler.formatter = LineFormatter(settings.form, daemon, incarnation)
    return handler


_events = logbook.Logger('events')
#: Prefixes of event kinds that occur per request, exchange or task.
_DEBUG_PREFIXES = ('request.', 'forward.', 'control.', 'task.')


def log_event(event: Event) -> None:
    """Log a timeline event.

    Events that occur per request or task are logged at level ``debug``.

    :param event: event to log; its subject becomes a field of the log line.
    """
    subject_type, _, subject_id = event.subject.partition(':')
    extra = {subject_type: subject_id, 'detail': event.detail}
    if event.kind.startswith(_DEBUG_PREFIXES):
        _events.debug(event.kind, extra=extra)
    else:
        _events.info(event.kind, extra=extra)
