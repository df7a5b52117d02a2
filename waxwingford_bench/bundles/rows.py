"""Output rows of the bundle rollout benchmark."""

from typing import NamedTuple


class Figures(NamedTuple):
    """Rollout latency of changes.

    :ivar name: name of the measurement.
    :ivar readers: number of readers in the process.
    :ivar teams: number of teams in the bundle.
    :ivar changes: number of changes.
    :ivar p50_ms: median over readers and changes, in milliseconds.
    :ivar max_ms: maximum over readers and changes, in milliseconds.
    """

    name: str
    readers: int
    teams: int
    changes: int
    p50_ms: float
    max_ms: float


class Cost(NamedTuple):
    """Cost of a change in one daemon.

    :ivar name: name of the measurement.
    :ivar teams: number of teams in the bundle.
    :ivar body_bytes: size of the canonical body, in bytes.
    :ivar record_bytes: size of the record of one change, in bytes.
    :ivar whole_bytes: size of a whole record, in bytes.
    :ivar processor_ms: processor time to apply one change, in milliseconds.
    :ivar share_of_core: share of a core at 6,900 changes a day.
    """

    name: str
    teams: int
    body_bytes: int
    record_bytes: int
    whole_bytes: int
    processor_ms: float
    share_of_core: float


class StartCost(NamedTuple):
    """Cost of a reader's start without a bundle.

    :ivar name: name of the measurement.
    :ivar teams: number of teams in the bundle.
    :ivar changes: number of changes in the stream.
    :ivar read_bytes: payload bytes read until the bundle is in force.
    :ivar processor_ms: processor time until then, in milliseconds.
    """

    name: str
    teams: int
    changes: int
    read_bytes: int
    processor_ms: float
