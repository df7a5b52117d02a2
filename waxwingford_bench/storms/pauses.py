"""Pauses of a daemon's loops, with and without jitter."""

import random

from waxwingford.batch import BatchSettings, SubmissionOutcome
from waxwingford.batch._reader import away_pause_ms
from waxwingford.batch._shell import add_retry_jitter, list_pause_ms

_POLL_PAUSE_MS = 50
_READ_RETRY_MS = 250
_LIST_POLL_MS = 1000
_LOAD_RETRY_MS = 1000


class Pauses:
    """Pauses with jitter, computed by the functions of the daemon."""

    def __init__(self, seed: int) -> None:
        """Seed the jitter.

        :param seed: seed of the random generator.
        """
        self._rng = random.Random(seed)

    def read_ms(self, failures: int) -> int:
        """Pause before the next read of the stream.

        :param failures: consecutive reads that failed.
        :returns: pause in milliseconds.
        """
        if failures:
            return away_pause_ms(failures, self._rng)
        return _POLL_PAUSE_MS

    def load_ms(self, failures: int) -> int:
        """Pause before snapshots are read again.

        :param failures: consecutive loads that failed.
        :returns: pause in milliseconds.
        """
        return away_pause_ms(failures, self._rng)

    def list_ms(self) -> int:
        """Pause before the platform's VM list is read again.

        :returns: pause in milliseconds.
        """
        return list_pause_ms(self._rng)

    def add_reply_jitter(self, outcome: SubmissionOutcome) -> SubmissionOutcome:
        """Add jitter to the retry delay of a refused submission.

        :param outcome: outcome that the controller decided.
        :returns: outcome to send to the submitter.
        """
        return add_retry_jitter(outcome, self._rng)

    def adjust_settings(self, settings: BatchSettings) -> BatchSettings:
        """Shorten the snapshot interval so that a restart finds a snapshot.

        :param settings: settings of a daemon.
        :returns: changed settings.
        """
        return settings._replace(snapshot_entries=400, snapshot_ms=60_000)


class FixedPauses(Pauses):
    """Pauses without jitter, as the baseline of comparisons."""

    def read_ms(self, failures: int) -> int:
        """Pause before the next read of the stream.

        :param failures: consecutive reads that failed.
        :returns: pause in milliseconds.
        """
        return _READ_RETRY_MS if failures else _POLL_PAUSE_MS

    def load_ms(self, failures: int) -> int:
        """Pause before snapshots are read again.

        :param failures: consecutive loads that failed.
        :returns: pause in milliseconds.
        """
        return _LOAD_RETRY_MS

    def list_ms(self) -> int:
        """Pause before the platform's VM list is read again.

        :returns: pause in milliseconds.
        """
        return _LIST_POLL_MS

    def add_reply_jitter(self, outcome: SubmissionOutcome) -> SubmissionOutcome:
        """Leave the retry delay of a refused submission unchanged.

        :param outcome: outcome that the controller decided.
        :returns: the same outcome.
        """
        return outcome

    def adjust_settings(self, settings: BatchSettings) -> BatchSettings:
        """Remove the jitter of lease retries as well.

        :param settings: settings of a daemon.
        :returns: changed settings.
        """
        changed = super().adjust_settings(settings)
        return changed._replace(times=changed.times._replace(retry_spread=0))
