"""Messages of the key memory: who asks, and what may be done."""

import dataclasses
from typing import NamedTuple

from waxwingford.routing._messages import Answered


class KeyId(NamedTuple):
    """An idempotency key; members cannot see each other's.

    :ivar member: organisation of the caller.
    :ivar key: key as the caller gave it.
    """

    member: str
    key: str


class Requester(NamedTuple):
    """Daemon that asks about a key.

    :ivar daemon_id: its id.
    :ivar has_priority: whether its retry goes before one in progress here.
    """

    daemon_id: str
    has_priority: bool


@dataclasses.dataclass(frozen=True, slots=True)
class MayRun:
    """Nothing speaks against running the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class MustLookUp:
    """All other daemons must be asked before the request may run."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeySuperseded:
    """A later attempt was taken elsewhere; this one must not run any more."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyInProgress:
    """Another attempt is in progress here."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyExecuted:
    """An attempt ran, or may have.

    :ivar outcome: its answer, if there was one and it is still kept.
    """

    outcome: Answered | None


@dataclasses.dataclass(frozen=True, slots=True)
class KeyBodyMismatch:
    """The key was used with another body."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyStoreFull:
    """No room for the key; forgetting another one could run that one twice."""


KeyDecision = (
    MayRun
    | MustLookUp
    | KeySuperseded
    | KeyInProgress
    | KeyExecuted
    | KeyBodyMismatch
) | KeyStoreFull
