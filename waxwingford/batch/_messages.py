"""Messages that the batch controller handles."""

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

    :ivar offset: offset of the entry.
    :ivar group: its records; None if it could not be decoded.
    """

    offset: int
    group: RecordGroup | None


@dataclasses.dataclass(frozen=True, slots=True)
class LogEntries:
    """The log answered a read.

    :ivar entries: entries in order of offset; may be empty.
    :ivar read_started_ms: monotonic time before the read was sent, in
        milliseconds.
    :ivar next_offset: head of the stream at the time of the answer.
    :ivar oldest_offset: first offset that the log retains.
    """

    entries: tuple[ReadGroup, ...]
    read_started_ms: int
    next_offset: int
    oldest_offset: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LogReadFailed:
    """A read of the log failed.

    :ivar reason: human-readable reason.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class LogRecovered:
    """The log is available again, though nothing was read yet."""


@dataclasses.dataclass(frozen=True, slots=True)
class AppendResult:
    """Outcome of an append.

    :ivar outcome: outcome reported by the port.
    """

    sequence: int
    outcome: AppendOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class ControlResult:
    """Outcome of a control exchange.

    :ivar exchange: number of the exchange, as in the effect.
    :ivar sent_ms: monotonic time before the request was sent, in
        milliseconds.
    :ivar outcome: outcome reported by the port.
    """

    server_id: str
    exchange: int
    sent_ms: int
    request: ControlRequest
    outcome: ControlOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class VmListRead:
    """The platform's list of VMs was read.

    :ivar outcome: outcome reported by the port.
    """

    outcome: VmList | VmListUnavailable


@dataclasses.dataclass(frozen=True, slots=True)
class AliveDaemons:
    """Daemons of the failure domain that appear to be alive, a hint.

    :ivar daemon_ids: ids of the daemons, with or without this one.
    """

    daemon_ids: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class BundleSettings:
    """Settings of the bundle in force for batch work.

    :ivar quota_by_team: quota by ``<member>/<team>``; it weighs the team within
        its member and limits the resources of its claimed tasks unless the
        team may borrow; a team without a quota has the mean weight.
    :ivar weights_by_service: weights for the policy, by service.
    :ivar reserved_by_service: resources reserved on each VM for its service,
        by service.
    :ivar policy: name of the colocation policy.
    :ivar borrowing_teams: teams that may use idle capacity of others.
    :ivar share_by_member: relative shares of members.
    :ivar quarantine: limits from which a server is quarantined; None to
        quarantine none.
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
    :ivar job: specification of the job.
    """

    submission_id: int
    job: JobSpec


@dataclasses.dataclass(frozen=True, slots=True)
class CancelJob:
    """A member cancels a job.

    :ivar submission_id: id that the reply carries.
    :ivar member: member that makes the request.
    """

    submission_id: int
    job_id: str
    member: str


@dataclasses.dataclass(frozen=True, slots=True)
class EvictTask:
    """Checkpoint a running task, so that it resumes on another server.

    :ivar task_id: id of the task; ignored if no server here runs it.
    """

    task_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Stop accepting work and release all leases, before the daemon stops."""


@dataclasses.dataclass(frozen=True, slots=True)
class BusyShares:
    """Present utilization of the services on held servers.

    :ivar share_by_server: mean share of busy slots over about the last second,
        0 to 1, as measured by the holder's routing; for other servers the last
        usage sample is used.
    """

    share_by_server: Mapping[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class ServersReleased:
    """A peer released control leases, a hint.

    :ivar server_ids: ids of servers that probably have no holder.
    """

    server_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotWritten:
    """All chunks of a snapshot were appended to the snapshot stream.

    :ivar covers_offset: first offset that it does not cover.
    """

    covers_offset: int


Message = (
    Tick
    | LogEntries
    | LogReadFailed
    | LogRecovered
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
