"""State of one backend server as seen and controlled by this daemon."""

import dataclasses
from collections.abc import Iterable

from waxwingford.batch._effects import Control, EmitEvent
from waxwingford.ownership import AcquisitionSchedule, ControlLease
from waxwingford.placement import ServerView
from waxwingford.ports import (
    AttemptKey,
    AttemptPhase,
    AttemptReport,
    ControlGranted,
    ControlRequest,
    ForgetTask,
    StartTask,
    Vm,
    VmState,
)
from waxwingford.records import AttemptEnded


@dataclasses.dataclass(slots=True, eq=False)
class ServerControl:
    """One backend server of the failure domain.

    :ivar vm: VM of the server, as last listed.
    :ivar preference: decides whether and when to acquire or hand over the
        lease.
    :ivar report_by_key: reports on attempts in the last answer, by attempt.
    :ivar known: version of that answer; 0 if the server has none.
    :ivar answers_since_full_report: number of answers since the last that
        reported every attempt.
    :ivar report_offset: offset of the stream up to which records were
        replayed when the exchange of that answer was planned.
    :ivar unclaimed_since_ms: monotonic time of the first report of each
        attempt that runs without a known claim, in milliseconds.
    :ivar started: attempts whose start was sent under the present epoch.
    :ivar abandoned_by_key: end records of claims of the present epoch that
        were never started and must not be, by attempt.
    :ivar evicting: attempts to checkpoint.
    :ivar stopping: attempts to stop without a checkpoint.
    :ivar throttle_percent_by_key: throttles to send, in percent, by attempt.
    :ivar commanded_ms_by_key: monotonic time of the last stop or checkpoint
        command, in milliseconds, by attempt.
    :ivar in_flight: exchange without an outcome yet; None if there is none.
    :ivar in_flight_offset: offset of the stream up to which records were
        replayed when that exchange was planned.
    :ivar exchange_requested: whether another exchange became due while one was
        in flight.
    :ivar due_ms: monotonic time at which the next exchange is due, in
        milliseconds; 0 if none is scheduled.
    :ivar listed: whether the platform lists it.
    :ivar reported_leaving: whether the server reported that it is leaving.
    :ivar unreachable_since_ms: monotonic time of the first unanswered exchange
        since the last answer, in milliseconds; None while it answers.
    :ivar routed_share: present share of busy service slots, 0 to 1, measured
        by this daemon's routing; None if it routes nothing there.
    :ivar sampled_share: share of busy service slots in the last usage sample.
    :ivar predicted_ms: cached prediction of the service's latency, in
        milliseconds; None after a usage sample.
    :ivar view: cached view for policies; None after a change.
    """

    vm: Vm
    lease: ControlLease
    preference: AcquisitionSchedule
    report_by_key: dict[AttemptKey, AttemptReport] = dataclasses.field(
        default_factory=dict,
    )
    known: int = 0
    answers_since_full_report: int = 0
    report_offset: int = -1
    unclaimed_since_ms: dict[AttemptKey, int] = dataclasses.field(
        default_factory=dict,
    )
    started: set[AttemptKey] = dataclasses.field(default_factory=set)
    abandoned_by_key: dict[AttemptKey, AttemptEnded] = dataclasses.field(
        default_factory=dict,
    )
    evicting: set[AttemptKey] = dataclasses.field(default_factory=set)
    stopping: set[AttemptKey] = dataclasses.field(default_factory=set)
    throttle_percent_by_key: dict[AttemptKey, int] = dataclasses.field(
        default_factory=dict,
    )
    commanded_ms_by_key: dict[AttemptKey, int] = dataclasses.field(
        default_factory=dict
    )
    in_flight: Control | None = None
    in_flight_offset: int = 0
    exchange_requested: bool = False
    due_ms: int = 0
    listed: bool = True
    reported_leaving: bool = False
    unreachable_since_ms: int | None = None
    routed_share: float | None = None
    sampled_share: float = 0
    view: ServerView | None = None
    predicted_ms: float | None = None

    @property
    def leaving(self) -> bool:
        """Return whether the server is leaving.

        :returns: true if the list or the server says so; it then gets no new
            work.
        """
        return self.reported_leaving or self.vm.state == VmState.leaving

    @property
    def busy_share(self) -> float:
        """Return the utilization of the service on the VM.

        :returns: newest known share of busy slots, 0 to 1.
        """
        if self.routed_share is None:
            return self.sampled_share
        return self.routed_share

    def take_grant(
        self,
        request: ControlRequest,
        answer: ControlGranted,
        epoch_changed: bool,
    ) -> None:
        """Update from a granted control request.

        :param epoch_changed: whether its epoch or boot id changed.
        """
        if answer.is_delta:
            self._remove_forgotten(request)
        else:
            self.report_by_key.clear()
            self.answers_since_full_report = 0
        self.report_by_key.update(
            (report.key, report) for report in answer.tasks
        )
        self.known = answer.version
        self.answers_since_full_report += 1
        self.report_offset = self.in_flight_offset
        self.reported_leaving = answer.leaving
        self.unreachable_since_ms = None
        self.view = None
        if epoch_changed:
            self.started.clear()
            self.abandoned_by_key.clear()
            self.commanded_ms_by_key.clear()
        self._forget_absent()
        if answer.usage:
            self.predicted_ms = None
            self.sampled_share = answer.usage[-1].service_load

    def _remove_forgotten(self, request: ControlRequest) -> None:
        # A refused forget was executed before, and its answer was lost.
        for command in request.commands:
            if isinstance(command, ForgetTask):
                self.report_by_key.pop(command.key, None)

    def _forget_absent(self) -> None:
        for by_key in (self.unclaimed_since_ms, self.commanded_ms_by_key):
            for key in by_key.keys() - self.report_by_key.keys():
                by_key.pop(key)
        self.evicting &= self.report_by_key.keys()
        self.stopping &= self.report_by_key.keys()

    def running_except(
        self, renew: Iterable[AttemptKey]
    ) -> tuple[AttemptKey, ...]:
        """List running attempts whose leases are not to be renewed.

        :param renew: attempts to renew.
        :returns: the other running attempts that the server reported.
        """
        renewed = set(renew)
        return tuple(
            key
            for key in self.report_by_key
            if key not in renewed and self.is_running(key)
        )

    def is_running(self, key: AttemptKey) -> bool:
        """Return whether the server reported an attempt as running."""
        report = self.report_by_key.get(key)
        return report is not None and report.phase == AttemptPhase.running


def started_keys(request: ControlRequest) -> list[AttemptKey]:
    """List the attempts that a request starts."""
    return [
        command.key
        for command in request.commands
        if isinstance(command, StartTask)
    ]


def server_event(kind: str, server: ServerControl, detail: str) -> EmitEvent:
    """Build a timeline event about a server.

    :param detail: human-readable detail.
    """
    return EmitEvent(kind, f'server:{server.vm.server_id}', detail)
