"""Sources of bundle records and results of offering them to a chain."""

import dataclasses
from typing import NamedTuple

from waxwingford.bundles._model import Bundle
from waxwingford.bundles._record import RejectedBundle


@dataclasses.dataclass(frozen=True, slots=True)
class FromLog:
    """The record was read from the stream."""

    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class FromPeer:
    """A peer has the record in force."""

    daemon_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class FromBaseline:
    """A restatement, or a fold from an offset, shows the record in force.

    :ivar as_of: offset at which the record is known to be in force.
    """

    as_of: int


Source = FromLog | FromPeer | FromBaseline


class BundleInForce(NamedTuple):
    """A bundle in force.

    :ivar digest: hex digest of the bundle.
    """

    bundle: Bundle
    version: int
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """The record took force."""

    in_force: BundleInForce


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyInForce:
    """The record repeats the bundle in force, as duplicate records do."""

    version: int


Verdict = InForce | AlreadyInForce | RejectedBundle
