"""Messages of the key store: requesters of lookups and decisions."""

import dataclasses
from typing import NamedTuple

from waxwingford.routing._messages import Answered


class KeyId(NamedTuple):
    """Idempotency key, scoped to a member.

    :ivar member: organisation of the caller.
    :ivar key: key given by the caller.
    """

    member: str
    key: str


class Requester(NamedTuple):
    """Daemon that looks up a key.

    :ivar has_priority: whether its retry takes precedence over one in progress
        on this daemon.
    """

    daemon_id: str
    has_priority: bool


@dataclasses.dataclass(frozen=True, slots=True)
class MayRun:
    """The request may run."""


@dataclasses.dataclass(frozen=True, slots=True)
class MustLookUp:
    """All other daemons must be queried before the request may run."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeySuperseded:
    """Another daemon handles a later attempt; this one must not run."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyInProgress:
    """Another attempt is in progress on this daemon."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyExecuted:
    """An attempt was executed or may have been.

    :ivar outcome: answer to the attempt, if it is still cached.
    """

    outcome: Answered | None


@dataclasses.dataclass(frozen=True, slots=True)
class KeyBodyMismatch:
    """The key was used with a different service, path or body."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyStoreFull:
    """The key store is full; evicting a key could cause a second execution."""


KeyDecision = (
    MayRun
    | MustLookUp
    | KeySuperseded
    | KeyInProgress
    | KeyExecuted
    | KeyBodyMismatch
) | KeyStoreFull
