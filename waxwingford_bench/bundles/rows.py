"""Rows that the measurements of the bundles' rollout print."""

from typing import NamedTuple


class Figures(NamedTuple):
    """One measurement.

    :ivar name: what was measured.
    :ivar readers: readers in the process.
    :ivar teams: teams in the bundle.
    :ivar changes: changes that were made.
    :ivar p50_ms: median over readers and changes, in milliseconds.
    :ivar max_ms: largest, in milliseconds.
    """

    name: str
    readers: int
    teams: int
    changes: int
    p50_ms: float
    max_ms: float


class Cost(NamedTuple):
    """Cost of a change in one daemon.

    :ivar name: what was measured.
    :ivar teams: teams in the bundle.
    :ivar body_bytes: canonical body.
    :ivar record_bytes: record of a change.
    :ivar whole_bytes: whole record, as restated.
    :ivar processor_ms: processor time of taking one change in, milliseconds.
    :ivar share_of_core: at 6,900 changes a day.
    """

    name: str
    teams: int
    body_bytes: int
    record_bytes: int
    whole_bytes: int
    processor_ms: float
    share_of_core: float


class StartCost(NamedTuple):
    """Cost of a start with an empty memory.

    :ivar name: what was measured.
    :ivar teams: teams in the bundle.
    :ivar changes: changes in the stream.
    :ivar read_bytes: payloads read until the bundle was in force.
    :ivar processor_ms: processor time until then, in milliseconds.
    """

    name: str
    teams: int
    changes: int
    read_bytes: int
    processor_ms: float
