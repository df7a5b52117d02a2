"""Log lines and metrics of a daemon."""

import datetime
from collections.abc import Iterable

import logbook

from waxwingford.metrics import Metrics
from waxwingford.scheduling import Note

_log = logbook.Logger('shard')


class _EventRecord(logbook.LogRecord):
    """Record without arguments, exception and place in the code."""

    def heavy_init(self) -> None:
        """Set the time only: events are logged hundreds of times a second."""
        self.heavy_initialized = True
        self.time = datetime.datetime.utcnow()


class Observer:
    """Logs events and counts them."""

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics

    def record_event(self, event: str, **fields: object) -> None:
        """Log an event and count it.

        :param event: name of the event, for example ``shard.claimed``.
        :param fields: fields of the log line: ids, the inputs of a decision,
            their ages or versions, and the outcome.
        """
        _log.handle(
            _EventRecord(
                _log.name, logbook.INFO, event, extra=fields, dispatcher=_log
            )
        )
        self.metrics.count('events_total', event=event)

    def record_notes(self, notes: Iterable[Note]) -> None:
        """Log and count the notes of an engine.

        :param notes: notes, oldest first.
        """
        for note in notes:
            self.record_event(note.event, subject=note.subject, **note.fields)
            if note.event == 'run.planned':
                waited_ms = float(str(note.fields['waited_ms']))
                self.metrics.latency('run_wait', waited_ms)
