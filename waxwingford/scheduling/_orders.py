"""Orders to backend servers, and batches of rows for the store."""

import dataclasses
from typing import NamedTuple

from waxwingford.scheduling._backend_client import RunKey
from waxwingford.scheduling._incarnations import Incarnation
from waxwingford.scheduling._state import Job, JobPhase, Run


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Start of a run, to be sent once the record of the run is stored."""

    server_id: str
    run: Run


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Order to stop a run."""

    server_id: str
    key: RunKey


@dataclasses.dataclass(frozen=True, slots=True)
class Pace:
    """Order to limit the speed of a run.

    :ivar percent: limit in percent of full speed.
    """

    server_id: str
    key: RunKey
    percent: int


Order = Start | Stop | Pace


class EndAcknowledgement(NamedTuple):
    """An end to acknowledge to its server once the batch is stored.

    :ivar number: sequence number of the end at this incarnation.
    """

    incarnation: Incarnation
    number: int


class Batch(NamedTuple):
    """Rows for one append to the store, and actions that depend on them.

    :ivar payload_by_key: new rows by key; ``None`` deletes the key.
    :ivar starts: starts to send once the rows are stored.
    :ivar ends: ends to acknowledge once the rows are stored.
    :ivar shown: phases of jobs to report once the rows are stored.
    """

    payload_by_key: dict[str, bytes | None]
    starts: list[Start]
    ends: list[EndAcknowledgement]
    shown: list[tuple[Job, JobPhase]]
