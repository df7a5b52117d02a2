"""Pauses of a daemon's loops: as they were at first, and as they are now."""

import random

from waxwingford.batch import BatchSettings, SubmissionOutcome
from waxwingford.batch._reader import away_pause_ms
from waxwingford.batch._shell import list_pause_ms, spread_retry

_POLL_PAUSE_MS = 50
_AWAY_MS = 250
_LIST_MS = 1000
_LOAD_MS = 1000


class Pauses:
    """Pauses with a random part, by the functions that the daemon uses."""

    def __init__(self, seed: int) -> None:
        """Seed them.

        :param seed: of the random parts.
        """
        self._rng = random.Random(seed)

    def read_ms(self, failures: int) -> int:
        """Pause before the next read of the stream.

        :param failures: reads in a row that failed.
        :returns: milliseconds.
        """
        if failures:
            return away_pause_ms(failures, self._rng)
        return _POLL_PAUSE_MS

    def load_ms(self, failures: int) -> int:
        """Pause before snapshots are read again.

        :param failures: tries in a row that failed.
        :returns: milliseconds.
        """
        return away_pause_ms(failures, self._rng)

    def list_ms(self) -> int:
        """Pause before the platform's list is read again.

        :returns: milliseconds.
        """
        return list_pause_ms(self._rng)

    def spread_reply(self, outcome: SubmissionOutcome) -> SubmissionOutcome:
        """Say when a submitter may come back.

        :param outcome: as the controller decided it.
        :returns: as it is answered.
        """
        return spread_retry(outcome, self._rng)

    def settings(self, settings: BatchSettings) -> BatchSettings:
        """Let snapshots be due soon, so that a restart finds one.

        :param settings: of a daemon.
        :returns: changed settings.
        """
        return settings._replace(snapshot_entries=400, snapshot_ms=60_000)


class FixedPauses(Pauses):
    """Pauses without a random part, as they were before the measurement."""

    def read_ms(self, failures: int) -> int:
        """Pause before the next read of the stream.

        :param failures: reads in a row that failed.
        :returns: milliseconds.
        """
        return _AWAY_MS if failures else _POLL_PAUSE_MS

    def load_ms(self, failures: int) -> int:
        """Pause before snapshots are read again.

        :param failures: tries in a row that failed.
        :returns: milliseconds.
        """
        return _LOAD_MS

    def list_ms(self) -> int:
        """Pause before the platform's list is read again.

        :returns: milliseconds.
        """
        return _LIST_MS

    def spread_reply(self, outcome: SubmissionOutcome) -> SubmissionOutcome:
        """Say when a submitter may come back.

        :param outcome: as the controller decided it.
        :returns: the same.
        """
        return outcome

    def settings(self, settings: BatchSettings) -> BatchSettings:
        """Let ownership try again after a fixed time as well.

        :param settings: of a daemon.
        :returns: changed settings.
        """
        changed = super().settings(settings)
        return changed._replace(times=changed.times._replace(retry_spread=0))
