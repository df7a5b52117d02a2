"""Log lines and metrics of a daemon."""

import datetime
from collections.abc import Iterable

import logbook

from waxwingford.metrics import Metrics
from waxwingford.scheduling import JobPhase, Note

#: Fields of notes by which jobs are counted.
_LATE_LABELS = ('queue', 'size', 'expired', 'begun')
_ENDED_LABELS = ('queue', 'size', 'phase', 'lateness')
_FAILED_LABELS = ('queue', 'reason')
#: Counters of notes of other kinds, and the fields that label them.
_COUNTER_BY_EVENT = {
    'job.late': ('jobs_late_total', _LATE_LABELS),
    'run.preempted': ('runs_preempted_total', ('queue',)),
    'run.copied': ('copies_started_total', ()),
    'copy.won': ('copies_won_total', ('copy',)),
    'room.reservation_ended': ('room_reservations_ended_total', ('how',)),
}

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
            match note.event:
                case 'run.planned' if note.fields['waited_ms'] is not None:
                    waited_ms = float(str(note.fields['waited_ms']))
                    self.metrics.latency('run_wait', waited_ms)
                case 'copy.wasted':
                    core_ms = int(str(note.fields['core_ms']))
                    self.metrics.count('copies_wasted_core_ms_total', core_ms)
                case 'job.ended':
                    self._count_end(note)
                case event if event in _COUNTER_BY_EVENT:
                    name, labels = _COUNTER_BY_EVENT[event]
                    self._count(name, note, labels)

    def _count_end(self, note: Note) -> None:
        """Count the end of a job; one that is long-running has no size."""
        if 'size' in note.fields:
            self._count('jobs_ended_total', note, _ENDED_LABELS)
        if note.fields['phase'] == JobPhase.failed.value:
            self._count('jobs_failed_total', note, _FAILED_LABELS)

    def _count(self, name: str, note: Note, names: Iterable[str]) -> None:
        labels = {label: str(note.fields[label]).lower() for label in names}
        self.metrics.count(name, **labels)
