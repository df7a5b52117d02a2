"""Interface to backend servers: control exchanges and service requests.

A control exchange acquires or renews the control lease of a backend server,
renews task leases and carries commands, all under one epoch.
"""

import dataclasses
import enum
from typing import NamedTuple, Protocol

from waxwingford.ports._directory import Resources
from waxwingford.ports._services import ServiceCall, ServiceOutcome


class AttemptKey(NamedTuple):
    """Identifies one attempt of a task.

    :ivar task_id: task ID, ``<job id>/<index>``.
    :ivar attempt: number of the attempt, starting from 1.
    """

    task_id: str
    attempt: int


class AttemptPhase(enum.StrEnum):
    """Phase of an attempt as reported by its backend server."""

    running = 'running'
    done = 'done'
    failed = 'failed'
    checkpointed = 'checkpointed'
    stopped = 'stopped'
    lapsed = 'lapsed'


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptReport:
    """State of one attempt at its backend server.

    The server keeps ended attempts until it receives :class:`ForgetTask`.

    :ivar detail: result, checkpoint reference or reason, depending on the
        phase.
    :ivar ran_ms: wall-clock run time so far, in milliseconds.
    """

    key: AttemptKey
    phase: AttemptPhase
    detail: str = ''
    throttled: bool = False
    ran_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StartTask:
    """Start an attempt under a task lease.

    :ivar kind: batch kind, for example ``archive_rebuild``.
    :ivar resources: resources allocated to the attempt.
    :ivar payload: opaque description of the work.
    :ivar resume_from: checkpoint reference, empty for a start from scratch.
    :ivar lease_ms: term of the task lease, in milliseconds.  Control exchanges
        renew the lease; the server stops the attempt when it expires.
    """

    key: AttemptKey
    kind: str
    resources: Resources
    payload: str
    resume_from: str
    lease_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class CheckpointTask:
    """Checkpoint and stop an attempt, which ends in phase ``checkpointed``."""

    key: AttemptKey


@dataclasses.dataclass(frozen=True, slots=True)
class ThrottleTask:
    """Throttle an attempt or lift its throttle.

    :ivar percent: percent of its CPU that the attempt may use, 1 to 100.
    """

    key: AttemptKey
    percent: int


@dataclasses.dataclass(frozen=True, slots=True)
class StopTask:
    """Stop an attempt without a checkpoint."""

    key: AttemptKey


@dataclasses.dataclass(frozen=True, slots=True)
class ForgetTask:
    """Discard the report of an ended attempt whose end is in the log."""

    key: AttemptKey


ServerCommand = (
    StartTask | CheckpointTask | ThrottleTask | StopTask | ForgetTask
)


@dataclasses.dataclass(frozen=True, slots=True)
class UsageSample:
    """Delayed usage report of a server for one time window.

    :ivar sampled_ms_ago: age of the sample when the server sent it, in
        milliseconds.
    :ivar window_ms: length of the window, in milliseconds.
    :ivar service_load: mean share of busy slots in the window, 0 to 1.
    :ivar service_p99_ms: 99th percentile latency of the service, in
        milliseconds; 0 if it was idle.
    :ivar running: batch attempts that ran in the window.
    :ivar used_by_task_id: measured resource use by task ID.
    """

    sampled_ms_ago: int
    window_ms: int
    service: str
    service_load: float
    service_p99_ms: float
    running: tuple[AttemptKey, ...]
    used_by_task_id: dict[str, Resources]


@dataclasses.dataclass(frozen=True, slots=True)
class ControlRequest:
    """Request of a control exchange with a backend server.

    :ivar holder: daemon with incarnation, ``<daemon>#<incarnation>``.
    :ivar epoch: epoch held, or 0 to acquire a new one.
    :ivar lease_ms: requested term of the control lease, in milliseconds; 0
        releases the lease after the commands.
    :ivar renew: attempts whose task leases are renewed.
    :ivar task_lease_ms: new term of these task leases, in milliseconds.
    :ivar commands: commands, executed in order and once each.
    :ivar stamp_ms: ``stamp_ms`` of the last answer of this server.
    :ivar good_for_ms: validity of the request, in milliseconds; 0 for no
        limit.  The server denies the request when its own clock has passed
        ``stamp_ms + good_for_ms``, so that a delayed request cannot start or
        renew an attempt that was already given up.
    :ivar known: ``version`` of the last answer that the holder read under this
        epoch; 0 requests a report of every attempt.
    :ivar renew_except: if not None, replaces ``renew``: renews every running
        attempt that was reported up to the version ``known``, except these.
    """

    holder: str
    epoch: int
    lease_ms: int
    renew: tuple[AttemptKey, ...] = ()
    task_lease_ms: int = 0
    commands: tuple[ServerCommand, ...] = ()
    stamp_ms: int = 0
    good_for_ms: int = 0
    known: int = 0
    renew_except: tuple[AttemptKey, ...] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ControlGranted:
    """The server accepted the request.

    :ivar epoch: current epoch, a new one if the request acquired the lease.
    :ivar boot_id: ID that changes when the VM is replaced or rebooted, which
        ends all attempts.
    :ivar leaving: whether the server is about to be removed.
    :ivar tasks: reports of all running and ended attempts on the server.
    :ivar refused: attempts whose commands were not executed, with the reasons.
    :ivar usage: usage samples since the last exchange.
    :ivar stamp_ms: monotonic clock of the server at the time of the answer, in
        milliseconds; 0 if the server sends no clock stamps.
    :ivar version: number of changes of attempts since boot; 0 if the server
        does not count them.
    :ivar is_delta: whether ``tasks`` holds only attempts that changed after the
        version ``known`` of the request, without those forgotten since.
    """

    epoch: int
    boot_id: str
    leaving: bool
    tasks: tuple[AttemptReport, ...]
    refused: tuple[tuple[AttemptKey, str], ...] = ()
    usage: tuple[UsageSample, ...] = ()
    stamp_ms: int = 0
    version: int = 0
    is_delta: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ControlDenied:
    """The server denied the request without executing any command.

    Another daemon holds the lease, the epoch is stale, or the request is no
    longer valid.

    :ivar holder: current holder of the lease, empty if there is none.
    :ivar epoch: current epoch of the server.
    :ivar remaining_ms: remaining term of the lease, in milliseconds.
    """

    holder: str
    epoch: int
    remaining_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ControlOutcomeUnknown:
    """No answer was received; commands may or may not have been executed.

    :ivar reason: human-readable cause.
    :ivar not_sent: true only if nothing can have reached the server.
    """

    reason: str
    not_sent: bool = False


ControlOutcome = ControlGranted | ControlDenied | ControlOutcomeUnknown


class BackendServerPort(Protocol):
    """Client of backend servers."""

    async def control(
        self,
        host: str,
        port: int,
        request: ControlRequest,
        timeout_ms: int,
    ) -> ControlOutcome:
        """Perform one control exchange.

        :param host: IP address of the server.
        :param timeout_ms: timeout of the exchange, in milliseconds.
        """
        ...

    async def serve(
        self,
        host: str,
        port: int,
        call: ServiceCall,
    ) -> ServiceOutcome:
        """Send a service request and wait until its deadline.

        :param host: IP address of the server.
        :returns: response, or whether the request may have been executed.
        """
        ...
