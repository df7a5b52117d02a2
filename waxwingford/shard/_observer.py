"""What a daemon tells about itself: log lines and metrics, in one place."""

from collections.abc import Iterable

import logbook

from waxwingford.metrics import Metrics
from waxwingford.scheduling import Note

_log = logbook.Logger('shard')


class Observer:
    """Writes each decision to the log and counts it.

    :ivar metrics: counters and latencies.
    """

    def __init__(self, metrics: Metrics) -> None:
        """Use metrics.

        :param metrics: of the daemon.
        """
        self.metrics = metrics

    def tell(self, event: str, **inputs: object) -> None:
        """Log an event and count it.

        :param event: what happened, for example ``shard.claimed``.
        :param inputs: ids, what decided it, its age or version, the outcome.
        """
        _log.info(event, extra=inputs)
        self.metrics.count('events_total', event=event)

    def tell_all(self, notes: Iterable[Note]) -> None:
        """Log and count what an engine noted.

        :param notes: in order.
        """
        for note in notes:
            self.tell(note.event, subject=note.subject, **note.inputs)
            if note.event == 'run.planned':
                waited_ms = float(str(note.inputs['waited_ms']))
                self.metrics.latency('run_wait', waited_ms)
