"""Structured logs: one event a line, as JSON or for people."""

import json
import sys
from typing import Any

import logbook

from waxwingford.settings import Logging
from waxwingford.timeline import Event


class LineFormat:
    """Formatter of logbook that names the daemon and its incarnation."""

    def __init__(self, form: str, daemon: str, incarnation: str) -> None:
        """Choose the form.

        :param form: ``json`` or ``text``.
        :param daemon: daemon id.
        :param incarnation: of this process.
        """
        self._form = form
        self._daemon = daemon
        self._incarnation = incarnation

    def __call__(self, record: Any, handler: logbook.Handler) -> str:
        """Write one record.

        :param record: of logbook; its ``extra`` holds request or task ids.
        :param handler: unused, part of logbook's interface.
        :returns: a line without its end.
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
        ids = ' '.join(f'{key}={text}' for key, text in extra.items())
        clock = record.time.isoformat(sep=' ', timespec='milliseconds')
        where = f'{self._daemon}#{self._incarnation}'
        return (
            f'{clock} {record.level_name:<7} {where} '
            f'{record.channel}: {record.message} {ids}'.rstrip()
        )


def _exception(record: Any) -> dict[str, str]:
    if record.exc_info is None:
        return {}
    return {'exception': record.formatted_exception}


def log_handler(
    settings: Logging, daemon: str, incarnation: str
) -> logbook.Handler:
    """Make the handler that the daemon pushes at its start.

    :param settings: form and level.
    :param daemon: daemon id.
    :param incarnation: of this process.
    :returns: handler that writes lines to standard error.
    """
    handler = logbook.StreamHandler(
        sys.stderr, level=settings.level.upper(), bubble=False
    )
    handler.formatter = LineFormat(settings.form, daemon, incarnation)
    return handler


_events = logbook.Logger('events')
#: Kinds of events that come with each request or exchange.
_FREQUENT = ('request.', 'forward.', 'control.', 'task.')


def log_event(event: Event) -> None:
    """Log an event of the time line, one line each.

    What comes with each request or task is logged at ``debug`` only.

    :param event: the event; its subject names the task, request or server.
    """
    about, _, name = event.subject.partition(':')
    extra = {about: name, 'detail': event.detail}
    if event.kind.startswith(_FREQUENT):
        _events.debug(event.kind, extra=extra)
    else:
        _events.info(event.kind, extra=extra)
