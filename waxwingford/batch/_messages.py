"""Typed messages that the batch controller handles."""

import dataclasses
from collections.abc import Mapping
from typing import NamedTuple

from waxwingford.placement import PolicyWeights, QuarantineLimits
from waxwingford.ports import (
    AppendOutcome,
    ControlOutcome,
    ControlRequest,
    Resources,
    VmList,
    VmListUnavailable,
)
from waxwingford.records import JobSpec, RecordGroup


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


class ReadGroup(NamedTuple):
    """One entry of the domain's stream.

    :ivar offset: of the entry.
    :ivar group: its records, or nothing if it could not be decoded.
    """

    offset: int
    group: RecordGroup | None


@dataclasses.dataclass(frozen=True, slots=True)
class LogEntries:
    """The log answered a read.

    :ivar entries: entries in offset order, maybe none.
    :ivar read_started_ms: monotonic time before the read was sent.
    :ivar next_offset: head of the stream in the answer.
    :ivar oldest_offset: first offset retained in the answer.
    """

    entries: tuple[ReadGroup, ...]
    read_started_ms: int
    next_offset: int
    oldest_offset: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LogAway:
    """The log gave no answer to a read.

    :ivar reason: human-readable reason.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class LogBack:
    """The log answers again, though nothing was read yet."""


@dataclasses.dataclass(frozen=True, slots=True)
class AppendResult:
    """Outcome of an append.

    :ivar sequence: sequence number of the group.
    :ivar outcome: outcome reported by the port.
    """

    sequence: int
    outcome: AppendOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class ControlResult:
    """Outcome of a control exchange.

    :ivar server_id: with whom.
    :ivar exchange: number of the exchange, as in the effect.
    :ivar sent_ms: monotonic time before the request was sent.
    :ivar request: what was sent.
    :ivar outcome: outcome reported by the port.
    """

    server_id: str
    exchange: int
    sent_ms: int
    request: ControlRequest
    outcome: ControlOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class VmListRead:
    """The platform's list was read.

    :ivar outcome: outcome reported by the port.
    """

    outcome: VmList | VmListUnavailable


@dataclasses.dataclass(frozen=True, slots=True)
class AliveDaemons:
    """Daemons of the failure domain that seem alive, a hint.

    :ivar daemon_ids: their names, with or without this daemon's.
    """

    daemon_ids: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class BundleSettings:
    """What the bundle in force says of batch work.

    :ivar quota_by_team: quota by ``<member>/<team>``: weight of the team
        within its member, and the most that its claimed tasks may use unless
        it may borrow; a team without one weighs as much as the mean.
    :ivar weights_by_service: how the bundle steers the policy.
    :ivar reserved_by_service: set aside on each VM for its service.
    :ivar policy: name of the colocation policy.
    :ivar borrowing_teams: teams that may use what others leave idle.
    :ivar share_by_member: shares of members, relative.
    :ivar quarantine: when a server is given up; None to give up none.
    """

    quota_by_team: Mapping[str, Resources]
    weights_by_service: Mapping[str, PolicyWeights]
    reserved_by_service: Mapping[str, Resources]
    policy: str = 'first_fit'
    borrowing_teams: frozenset[str] = frozenset()
    share_by_member: Mapping[str, float] = dataclasses.field(
        default_factory=dict,
    )
    quarantine: QuarantineLimits | None = QuarantineLimits()


@dataclasses.dataclass(frozen=True, slots=True)
class SubmitJob:
    """A member submits a job.

    :ivar submission_id: id that the reply carries.
    :ivar job: the job.
    """

    submission_id: int
    job: JobSpec


@dataclasses.dataclass(frozen=True, slots=True)
class CancelJob:
    """A member gives a job up.

    :ivar submission_id: id that the reply carries.
    :ivar job_id: id of the job.
    :ivar member: member that makes the request.
    """

    submission_id: int
    job_id: str
    member: str


@dataclasses.dataclass(frozen=True, slots=True)
class EvictTask:
    """Checkpoint a running task, so that it resumes elsewhere.

    :ivar task_id: which task; passed over if it does not run here.
    """

    task_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """The daemon is to stop: take nothing new, give the leases up."""


@dataclasses.dataclass(frozen=True, slots=True)
class BusyShares:
    """How busy the services on held servers are at present.

    :ivar share_by_server: mean share of busy slots over about the last
        second, 0 to 1, as the holder's own routing sees it; a server that is
        left out is judged by its last usage sample.
    """

    share_by_server: Mapping[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class ServersReleased:
    """A peer gave control leases up, a hint.

    :ivar server_ids: servers without a holder, as far as is known.
    """

    server_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotWritten:
    """All chunks of a snapshot stand in the snapshots' stream.

    :ivar covers_offset: first offset that it does not cover.
    """

    covers_offset: int


Message = (
    Tick
    | LogEntries
    | LogAway
    | LogBack
    | AppendResult
    | ControlResult
    | VmListRead
    | AliveDaemons
    | BundleSettings
    | SubmitJob
    | CancelJob
    | EvictTask
    | Drain
    | SnapshotWritten
    | BusyShares
    | ServersReleased
)
