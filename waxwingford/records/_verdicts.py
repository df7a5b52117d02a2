"""Whether a record of the stream took effect."""

import dataclasses

from waxwingford.ports import TaskKey
from waxwingford.records._messages import Record


@dataclasses.dataclass(frozen=True, slots=True)
class Valid:
    """A record, or the named part of it, took effect.

    :ivar record: the record.
    :ivar keys: attempts of it that took effect.
    """

    record: Record
    keys: tuple[TaskKey, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """A record, or the named part of it, changed nothing.

    :ivar record: the record.
    :ivar reason: for people.
    :ivar keys: attempts of it that are refused.
    """

    record: Record
    reason: str
    keys: tuple[TaskKey, ...] = ()


Verdict = Valid | Invalid
