"""What this daemon knows of one backend server, and what it does there."""

import dataclasses
from collections.abc import Iterable

from waxwingford.batch._effects import Control, Note
from waxwingford.ownership import ControlLease, Preference
from waxwingford.placement import ServerView
from waxwingford.ports import (
    ControlGranted,
    ControlRequest,
    ForgetTask,
    StartTask,
    TaskKey,
    TaskPhase,
    TaskReport,
    Vm,
    VmState,
)
from waxwingford.records import AttemptEnded


@dataclasses.dataclass(slots=True, eq=False)
class ServerControl:
    """One backend server of the failure domain.

    :ivar vm: as last listed.
    :ivar lease: the control lease.
    :ivar preference: whether this daemon wants the lease.
    :ivar report_by_key: attempts that the server named in its last answer.
    :ivar report_version: version of that answer, 0 if the server does not count.
    :ivar answers_since_full_report: answers since one that named every attempt.
    :ivar report_offset: records before this offset were applied when the
        exchange of that answer was decided.
    :ivar unclaimed_since_ms: by attempt that runs without a known claim, when
        it was first reported so.
    :ivar started: attempts whose start was sent under the present epoch.
    :ivar abandoned_by_key: ends of claims of the present epoch that were not
        and will not be started.
    :ivar evicting: attempts to checkpoint.
    :ivar stopping: attempts to stop without a checkpoint.
    :ivar percent_by_key: throttles to command.
    :ivar commanded_ms_by_key: when a stop or checkpoint was last commanded.
    :ivar in_flight: exchange that has no outcome yet.
    :ivar in_flight_offset: next offset of the state when it was decided.
    :ivar exchange_requested: commands came up while an exchange was in flight.
    :ivar due_ms: when the next exchange is due.
    :ivar listed: whether the platform's list names it.
    :ivar reported_leaving: the server's own word.
    :ivar unreachable_since_ms: first exchange without an answer since the last
        answer; None while it answers.
    :ivar routed_share: busy service slots at present, 0 to 1, as this daemon's
        routing sees them; None if it routes nothing there.
    :ivar sampled_share: the same in the last usage sample, which is older.
    :ivar predicted_ms: cached prediction of its service's latency; None after
        a usage sample.
    :ivar view: cached view for policies; None after a change.
    """

    vm: Vm
    lease: ControlLease
    preference: Preference
    report_by_key: dict[TaskKey, TaskReport] = dataclasses.field(
        default_factory=dict,
    )
    report_version: int = 0
    answers_since_full_report: int = 0
    report_offset: int = -1
    unclaimed_since_ms: dict[TaskKey, int] = dataclasses.field(
        default_factory=dict,
    )
    started: set[TaskKey] = dataclasses.field(default_factory=set)
    abandoned_by_key: dict[TaskKey, AttemptEnded] = dataclasses.field(
        default_factory=dict,
    )
    evicting: set[TaskKey] = dataclasses.field(default_factory=set)
    stopping: set[TaskKey] = dataclasses.field(default_factory=set)
    percent_by_key: dict[TaskKey, int] = dataclasses.field(
        default_factory=dict,
    )
    commanded_ms_by_key: dict[TaskKey, int] = dataclasses.field(
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
        """Tell whether it leaves, by the list or by its own word.

        :returns: true if it must get no new work.
        """
        return self.reported_leaving or self.vm.state == VmState.leaving

    @property
    def busy_share(self) -> float:
        """Tell how busy the service there is.

        :returns: share of busy slots, the newest that is known.
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
        """Take what the server said.

        :param request: what it answers.
        :param answer: its answer.
        :param epoch_changed: whether epoch or boot differ from before.
        """
        if answer.is_delta:
            self._remove_forgotten(request)
        else:
            self.report_by_key.clear()
            self.answers_since_full_report = 0
        self.report_by_key.update(
            (report.key, report) for report in answer.tasks
        )
        self.report_version = answer.version
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
        # A forget that the server refused was carried out before, and its
        # answer was lost.
        for command in request.commands:
            if isinstance(command, ForgetTask):
                self.report_by_key.pop(command.key, None)

    def _forget_absent(self) -> None:
        for by_key in (self.unclaimed_since_ms, self.commanded_ms_by_key):
            for key in by_key.keys() - self.report_by_key.keys():
                by_key.pop(key)
        self.evicting &= self.report_by_key.keys()
        self.stopping &= self.report_by_key.keys()

    def running_except(self, renew: Iterable[TaskKey]) -> tuple[TaskKey, ...]:
        """List running attempts that are not to be renewed.

        :param renew: those that are.
        :returns: the other ones that the server named.
        """
        renewed = set(renew)
        return tuple(
            key
            for key in self.report_by_key
            if key not in renewed and self.is_running(key)
        )

    def is_running(self, key: TaskKey) -> bool:
        """Tell whether the server named an attempt as running.

        :param key: key of the attempt.
        :returns: true if it ran at the last answer.
        """
        report = self.report_by_key.get(key)
        return report is not None and report.phase == TaskPhase.running


def started_keys(request: ControlRequest) -> list[TaskKey]:
    """List the attempts that a request starts.

    :param request: of an exchange.
    :returns: keys of its start commands.
    """
    return [
        command.key
        for command in request.commands
        if isinstance(command, StartTask)
    ]


def server_event(kind: str, server: ServerControl, detail: str) -> Note:
    """Write an event about a server.

    :param kind: what happened.
    :param server: the backend server.
    :param detail: human-readable detail.
    :returns: the effect.
    """
    return Note(kind, f'server:{server.vm.server_id}', detail)
