"""Port to backend servers: one grouped control exchange, and services.

A control exchange acquires or renews the control lease of a backend server,
renews task leases and carries commands, all under one epoch.  Grouping by
server keeps control traffic independent of the number of tasks on it.
"""

import dataclasses
import enum
from typing import NamedTuple, Protocol

from waxwingford.ports._directory import Resources
from waxwingford.ports._services import ServiceCall, ServiceOutcome


class TaskKey(NamedTuple):
    """One attempt of one task.

    :ivar task_id: ``<job id>/<index>``.
    :ivar attempt: counts from 1.
    """

    task_id: str
    attempt: int


class TaskPhase(enum.StrEnum):
    """What a backend server says of an attempt that it knows."""

    running = 'running'
    done = 'done'
    failed = 'failed'
    checkpointed = 'checkpointed'
    stopped = 'stopped'
    lapsed = 'lapsed'


@dataclasses.dataclass(frozen=True, slots=True)
class TaskReport:
    """State of one attempt at the server.

    Ended attempts are kept by the server until a Forget command.

    :ivar key: which attempt.
    :ivar phase: its phase.
    :ivar detail: result, checkpoint reference or reason, by phase.
    :ivar throttled: whether it is throttled now.
    :ivar ran_ms: processor-independent run time so far, in milliseconds.
    """

    key: TaskKey
    phase: TaskPhase
    detail: str = ''
    throttled: bool = False
    ran_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StartTask:
    """Start an attempt under a task lease.

    :ivar key: which attempt.
    :ivar kind: batch kind, for example ``archive_rebuild``.
    :ivar resources: what it is given.
    :ivar payload: opaque work description.
    :ivar resume_from: checkpoint reference, empty for a fresh start.
    :ivar lease_ms: task lease; renewed by each control exchange that names
        it in ``renew``; the server stops the task when it lapses.
    """

    key: TaskKey
    kind: str
    resources: Resources
    payload: str
    resume_from: str
    lease_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class CheckpointTask:
    """Checkpoint and stop an attempt; the report then is ``checkpointed``."""

    key: TaskKey


@dataclasses.dataclass(frozen=True, slots=True)
class ThrottleTask:
    """Throttle an attempt or lift the throttle.

    :ivar key: which attempt.
    :ivar percent: share of its processors that it may use, 1 to 100.
    """

    key: TaskKey
    percent: int


@dataclasses.dataclass(frozen=True, slots=True)
class StopTask:
    """Stop an attempt without a checkpoint."""

    key: TaskKey


@dataclasses.dataclass(frozen=True, slots=True)
class ForgetTask:
    """Drop an ended attempt whose end stands in the log."""

    key: TaskKey


ServerCommand = (
    StartTask | CheckpointTask | ThrottleTask | StopTask | ForgetTask
)


@dataclasses.dataclass(frozen=True, slots=True)
class UsageSample:
    """Usage of a server, reported with a lag.

    :ivar sampled_ms_ago: age when the answer was written, in milliseconds.
    :ivar window_ms: length of the window that it covers, in milliseconds.
    :ivar service: name of the service.
    :ivar service_load: mean share of busy slots in the window, 0 to 1.
    :ivar service_p99_ms: 99th percentile of the service there; 0 if idle.
    :ivar running: batch attempts that ran in the window.
    :ivar used_by_task_id: measured use by task.
    """

    sampled_ms_ago: int
    window_ms: int
    service: str
    service_load: float
    service_p99_ms: float
    running: tuple[TaskKey, ...]
    used_by_task_id: dict[str, Resources]


@dataclasses.dataclass(frozen=True, slots=True)
class ControlRequest:
    """One grouped exchange with a backend server.

    :ivar holder: daemon id with incarnation, ``<daemon>#<incarnation>``.
    :ivar epoch: epoch held, or 0 to acquire a new one.
    :ivar lease_ms: control lease asked for; 0 gives it up after the commands.
    :ivar renew: attempts whose task leases are renewed.
    :ivar task_lease_ms: what they are renewed to.
    :ivar commands: carried out in order, each once.
    :ivar stamp_ms: ``stamp_ms`` of the last answer of this server, given back.
    :ivar good_for_ms: the server denies the request if its own clock is past
        ``stamp_ms + good_for_ms``; 0 for no limit.  A request that is held up
        on the way, or by a sender that was frozen, cannot then start or renew
        an attempt that was meanwhile given up for lost.
    :ivar known: ``version`` of the last answer that the holder read under this
        epoch; 0 asks for every attempt.
    :ivar renew_except: if not None, in place of ``renew``: every running
        attempt that the answer ``known`` or one before it named is renewed,
        except these.
    """

    holder: str
    epoch: int
    lease_ms: int
    renew: tuple[TaskKey, ...] = ()
    task_lease_ms: int = 0
    commands: tuple[ServerCommand, ...] = ()
    stamp_ms: int = 0
    good_for_ms: int = 0
    known: int = 0
    renew_except: tuple[TaskKey, ...] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ControlGranted:
    """The server took the request under the given epoch.

    :ivar epoch: current epoch; new when it was acquired.
    :ivar boot_id: changes when the VM was replaced or rebooted: all attempts
        of an earlier boot are over.
    :ivar leaving: the server itself knows that it is leaving.
    :ivar tasks: every attempt that it knows, running or ended.
    :ivar refused: commands that it did not carry out, with the reason.
    :ivar usage: samples since the last exchange.
    :ivar stamp_ms: the server's own monotonic clock when it answered; 0 if it
        gives none.
    :ivar version: counts changes of attempts in this boot; 0 if the server
        does not count.
    :ivar is_delta: ``tasks`` names only attempts that changed after the
        request's ``known``; those forgotten since are left out as well.
    """

    epoch: int
    boot_id: str
    leaving: bool
    tasks: tuple[TaskReport, ...]
    refused: tuple[tuple[TaskKey, str], ...] = ()
    usage: tuple[UsageSample, ...] = ()
    stamp_ms: int = 0
    version: int = 0
    is_delta: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ControlDenied:
    """Another holder has the lease, or the epoch is stale; nothing was done.

    :ivar holder: who holds it now; empty if nobody does.
    :ivar epoch: current epoch at the server.
    :ivar remaining_ms: rest of the other holder's lease, in milliseconds.
    """

    holder: str
    epoch: int
    remaining_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ControlUnknown:
    """No answer: commands may or may not have been carried out.

    :ivar reason: for people.
    :ivar not_sent: true only if certainly nothing reached the server.
    """

    reason: str
    not_sent: bool = False


ControlOutcome = ControlGranted | ControlDenied | ControlUnknown


class BackendServerPort(Protocol):
    """Speaks to backend servers by IP number and port."""

    async def control(
        self,
        host: str,
        port: int,
        request: ControlRequest,
        timeout_ms: int,
    ) -> ControlOutcome:
        """Carry out one grouped control exchange.

        :param host: IP number.
        :param port: TCP port.
        :param request: the exchange.
        :param timeout_ms: give up after this time, in milliseconds.
        :returns: tagged outcome.
        """
        ...

    async def serve(
        self,
        host: str,
        port: int,
        call: ServiceCall,
    ) -> ServiceOutcome:
        """Run a service request, bounded by its deadline.

        :param host: IP number.
        :param port: TCP port.
        :param call: the request.
        :returns: tagged outcome.
        """
        ...
