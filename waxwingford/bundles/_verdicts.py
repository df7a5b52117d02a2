"""Where a bundle record was read, and what became of it."""

import dataclasses
from typing import NamedTuple

from waxwingford.bundles._model import Bundle
from waxwingford.bundles._record import RejectedBundle


@dataclasses.dataclass(frozen=True, slots=True)
class FromLog:
    """The record stands in the stream.

    :ivar offset: where.
    """

    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class FromPeer:
    """A peer has the record in force.

    :ivar daemon_id: which peer.
    """

    daemon_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class FromBaseline:
    """The reader found the record to be in force at an offset.

    :ivar as_of: that offset.
    """

    as_of: int


Source = FromLog | FromPeer | FromBaseline


class BundleInForce(NamedTuple):
    """A bundle that governs from now on.

    :ivar bundle: its checked body.
    :ivar version: its version.
    :ivar digest: its hex digest.
    """

    bundle: Bundle
    version: int
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """The record was taken.

    :ivar in_force: what governs now.
    """

    in_force: BundleInForce


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyInForce:
    """The record says what governs already; doubled records end here.

    :ivar version: version in force.
    """

    version: int


Verdict = InForce | AlreadyInForce | RejectedBundle
