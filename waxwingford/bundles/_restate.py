"""Decides when a daemon restates the bundle in force in the log."""

import random

from waxwingford.bundles._record import RejectedBundle, decode_record
from waxwingford.bundles._verdicts import (
    AlreadyInForce,
    InForce,
    Verdict,
)

#: Number of changes after which the bundle in force is restated.
MAX_CHANGES_BETWEEN_RESTATEMENTS = 64

_RESTATE_INTERVAL_MS = 1_800_000
_MAX_JITTER_MS = 60_000


class RestatementSchedule:
    """Schedules restatements so that the log always retains one.

    Without a retained record that has the whole body, patches can't be
    applied, and a new VM finds no bundle and stays not ready.  Every daemon
    restates after a random delay, unless another one does so first;
    duplicates are harmless.
    """

    def __init__(self, rng: random.Random) -> None:
        """Create a schedule without a known restatement.

        :param rng: source of the jitter between daemons.
        """
        self._rng = rng
        self._change_count = 0
        self._as_of = 0
        self._interval_start_ms: int | None = None
        self._due_ms: int | None = None

    def reset(self, as_of: int, next_offset: int) -> None:
        """Restart from a position in the stream.

        :param as_of: first offset that was folded into the chain.
        :param next_offset: offset of the head.
        """
        self._as_of = as_of
        self._change_count = next_offset - as_of
        self._interval_start_ms = None

    def observe_entry(
        self, payload: bytes, offset: int, verdict: Verdict
    ) -> None:
        """Update the schedule with one entry of the stream.

        :param verdict: result of offering the entry to the chain.
        """
        match verdict:
            case InForce():
                self._change_count += 1
            case AlreadyInForce():
                record = decode_record(payload)
                if isinstance(record, RejectedBundle) or record.as_of is None:
                    return
                if record.as_of <= offset:
                    self._as_of = record.as_of
                    self._change_count = 0
                    self._interval_start_ms = None
                    self._due_ms = None

    def is_due(self, now_ms: int, oldest_offset: int) -> bool:
        """Check whether to restate now, and if so schedule a retry.

        :param now_ms: monotonic time, in milliseconds.
        :param oldest_offset: first offset that the log retains.
        """
        if self._interval_start_ms is None:
            self._interval_start_ms = now_ms
        aged_out = oldest_offset > self._as_of
        interval_elapsed = (
            now_ms - self._interval_start_ms >= _RESTATE_INTERVAL_MS
        )
        if not (
            aged_out
            or interval_elapsed
            or self._change_count >= MAX_CHANGES_BETWEEN_RESTATEMENTS
        ):
            return False
        if self._due_ms is None:
            self._due_ms = now_ms + self._rng.randrange(_MAX_JITTER_MS)
        if now_ms < self._due_ms:
            return False
        self._due_ms = (
            now_ms + _MAX_JITTER_MS + self._rng.randrange(_MAX_JITTER_MS)
        )
        return True
