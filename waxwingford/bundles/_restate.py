"""When a daemon says again, in the log, what is in force. Pure."""

import random

from waxwingford.bundles._record import RejectedBundle, decode_record
from waxwingford.bundles._verdicts import (
    AlreadyInForce,
    InForce,
    Verdict,
)

#: Changes after which what is in force is said again as a whole.
RESTATE_CHANGES = 64

_RESTATE_EVERY_MS = 1_800_000
_SPREAD_MS = 60_000


class Restatement:
    """Keeps a place to start from within what the log retains.

    Records age out of the log.  Were the last whole record to go, patches
    after it could not be applied, and a new VM would find no bundle although
    one is in force; one would notice by daemons that stay not ready.  Any
    daemon restates, after a random delay in which another may do it first;
    doubled restatements are harmless.
    """

    def __init__(self, rng: random.Random) -> None:
        """Know of no restatement yet.

        :param rng: spreads daemons.
        """
        self._rng = rng
        self._changes = 0
        self._as_of = 0
        self._base_ms: int | None = None
        self._due_ms: int | None = None

    def start(self, as_of: int, next_offset: int) -> None:
        """Begin at a place in the stream.

        :param as_of: offset from which the chain could be folded.
        :param next_offset: the head.
        """
        self._as_of = as_of
        self._changes = next_offset - as_of
        self._base_ms = None

    def saw(self, payload: bytes, offset: int, verdict: Verdict) -> None:
        """Take in one entry of the stream.

        :param payload: the entry.
        :param offset: its offset.
        :param verdict: what the chain said to it.
        """
        match verdict:
            case InForce():
                self._changes += 1
            case AlreadyInForce():
                record = decode_record(payload)
                if isinstance(record, RejectedBundle) or record.as_of is None:
                    return
                if record.as_of <= offset:
                    self._as_of = record.as_of
                    self._changes = 0
                    self._base_ms = None
                    self._due_ms = None

    def due(self, now_ms: int, oldest_offset: int) -> bool:
        """Ask whether to restate now.

        :param now_ms: monotonic time, in milliseconds.
        :param oldest_offset: first offset that the log retains.
        :returns: whether; the next time is a spread later.
        """
        if self._base_ms is None:
            self._base_ms = now_ms
        aged_out = oldest_offset > self._as_of
        old = now_ms - self._base_ms >= _RESTATE_EVERY_MS
        if not (aged_out or old or self._changes >= RESTATE_CHANGES):
            return False
        if self._due_ms is None:
            self._due_ms = now_ms + self._rng.randrange(_SPREAD_MS)
        if now_ms < self._due_ms:
            return False
        self._due_ms = now_ms + _SPREAD_MS + self._rng.randrange(_SPREAD_MS)
        return True
