"""Verdicts on the validity of records."""

import dataclasses

from waxwingford.ports import AttemptKey
from waxwingford.records._messages import Record


@dataclasses.dataclass(frozen=True, slots=True)
class Valid:
    """A record that was applied, entirely or for the listed attempts.

    :ivar keys: attempts for which it was applied; empty for a record that
        concerns no attempt.
    """

    record: Record
    keys: tuple[AttemptKey, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """A record that was rejected, entirely or for the listed attempts.

    :ivar keys: attempts for which it was rejected; empty if the whole record
        was.
    """

    record: Record
    reason: str
    keys: tuple[AttemptKey, ...] = ()


Verdict = Valid | Invalid
