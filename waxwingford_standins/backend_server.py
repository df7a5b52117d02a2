"""State machine of a simulated backend server, without I/O or clock.

Arbitrates the control lease, runs batch attempts under task leases, serves
requests in a bounded number of slots and reports usage with a delay.
"""

import collections
import dataclasses
from typing import NamedTuple

from waxwingford.ports import (
    ControlDenied,
    ControlGranted,
    ControlRequest,
    ServerCommand,
    ServiceCall,
    StartTask,
    UsageSample,
    Vm,
    VmState,
)
from waxwingford_standins.server_attempts import AttemptTable
from waxwingford_standins.server_changes import ChangeTracker
from waxwingford_standins.server_lease import ServerLease
from waxwingford_standins.server_service import (
    CallRefused,
    CallStarted,
    ServiceModel,
    ServiceState,
)
from waxwingford_standins.server_tasks import AttemptRun

_MAX_SAMPLES = 64


class UsageModel(NamedTuple):
    """Sampling parameters of resource usage.

    :ivar window_ms: length of a sampling window, in milliseconds.
    :ivar lag_ms: delay before a sample is reported, in milliseconds.
    """

    window_ms: int = 1000
    lag_ms: int = 2000


class ServerAudit(NamedTuple):
    """Record of what a server executed, across restarts.

    :ivar runs_by_key: number of executions by idempotency key.
    :ivar runs_by_token: number of executions by request token.
    :ivar most_at_once: largest number of concurrent requests.
    :ivar refused: requests refused because all slots were busy.
    :ivar newest_work_after_leaving_ms: time from entering the leaving state
        to the latest start of a request or task, in milliseconds; -1 if
        there was none.
    """

    server_id: str
    runs_by_key: dict[str, int]
    runs_by_token: dict[str, int]
    attempts: list[AttemptRun]
    most_at_once: int
    refused: int
    newest_work_after_leaving_ms: int


class BackendServerCore:
    """State machine of one backend server.

    :ivar vm: description and current state of the VM.
    :ivar boot_id: unique id of the current boot.
    """

    def __init__(
        self,
        vm: Vm,
        model: ServiceModel,
        seed: int = 0,
        first_epoch: int = 0,
    ) -> None:
        """Create a freshly booted server.

        :param seed: seed of the latencies.
        :param first_epoch: initial lease epoch; must exceed every epoch
            granted by an earlier process for this VM.
        """
        self.vm = vm
        self.usage = UsageModel()
        self._boots = 1
        self._first_epoch = first_epoch
        self.boot_id = self._next_boot_id()
        self._lease = ServerLease(epoch=first_epoch)
        self.attempts = AttemptTable(vm.server_id, vm.resources)
        self._service = ServiceState(model, vm.slots, seed)
        self._samples: collections.deque[tuple[int, UsageSample]] = (
            collections.deque(maxlen=_MAX_SAMPLES)
        )
        self._changes = ChangeTracker()
        self._window_start_ms = -1
        self._leaving_since_ms = -1
        self._newest_work_after_leaving_ms = -1

    def control(
        self, request: ControlRequest, now_ms: int
    ) -> ControlGranted | ControlDenied:
        """Execute all commands of a control request, or none of them.

        :param now_ms: monotonic time, in milliseconds.
        :returns: results of the commands, or the lease that denied them.
        """
        self.advance(now_ms)
        if not self._lease.grant(request, now_ms):
            remaining_ms = max(self._lease.until_ms - now_ms, 0)
            return ControlDenied(
                self._lease.holder, self._lease.epoch, remaining_ms
            )
        renew = request.renew
        if request.renew_except is not None:
            reported = set(self._changes.reported_by(request.known))
            renew = tuple(reported.difference(request.renew_except))
        self.attempts.renew(renew, request.task_lease_ms, now_ms)
        outcomes = [
            (command.key, self._execute(command, now_ms))
            for command in request.commands
        ]
        if not request.lease_ms:
            self._lease.release(now_ms)
        reports = self.attempts.reports()
        self._changes.record(reports)
        if request.known:
            reports = self._changes.changed_since(reports, request.known)
        return ControlGranted(
            self._lease.epoch,
            self.boot_id,
            self.vm.state is VmState.leaving,
            reports,
            tuple((key, reason) for key, reason in outcomes if reason),
            self._pop_due_samples(now_ms),
            now_ms,
            self._changes.version,
            is_delta=bool(request.known),
        )

    def advance(self, now_ms: int) -> None:
        """Advance the attempts and the usage window to the given time.

        :param now_ms: monotonic time, in milliseconds.
        """
        self.attempts.advance(now_ms)
        if self._window_start_ms < 0:
            self._window_start_ms = now_ms
        window_ms = now_ms - self._window_start_ms
        if window_ms >= self.usage.window_ms:
            self._close_window(now_ms, window_ms)

    def begin_call(
        self, call: ServiceCall, now_ms: int
    ) -> CallStarted | CallRefused:
        """Start a service request if a slot is free.

        :param now_ms: monotonic time, in milliseconds.
        :returns: handle and duration, or the reason of the refusal.
        """
        if call.service != self.vm.service:
            return CallRefused(
                f'service {call.service!r} is not hosted on this server'
            )
        self.advance(now_ms)
        colocated = [
            (attempt.start.kind, attempt.percent)
            for attempt in self.attempts.running()
        ]
        outcome = self._service.begin(call, colocated, now_ms)
        if isinstance(outcome, CallStarted):
            self._record_new_work(now_ms)
        return outcome

    def end_call(self, number: int, now_ms: int) -> None:
        """Release the slot of a service request.

        :param number: handle returned by :meth:`begin_call`.
        :param now_ms: monotonic time, in milliseconds.
        """
        self._service.end(number, now_ms)

    def answer(self, call: ServiceCall) -> bytes:
        """Build the response body of a service request."""
        return self._service.answer(call, self.vm.server_id)

    def leave(self, now_ms: int) -> None:
        """Enter the leaving state, in which task starts are refused.

        :param now_ms: monotonic time, in milliseconds.
        """
        self.vm = self.vm._replace(state=VmState.leaving)
        self._leaving_since_ms = now_ms

    def die(self, now_ms: int) -> None:
        """Crash, losing all state except the audit, and boot again.

        :param now_ms: monotonic time, in milliseconds.
        """
        self.advance(now_ms)
        self.attempts.drop_all(now_ms, self.boot_id)
        self._samples.clear()
        self._changes = ChangeTracker()
        self._service.drop_all()
        self._lease = ServerLease(epoch=self._lease.epoch)
        self._boots += 1
        self.boot_id = self._next_boot_id()

    def audit(self, now_ms: int) -> ServerAudit:
        """Report what the server executed, across restarts.

        :param now_ms: monotonic time, in milliseconds.
        """
        self.advance(now_ms)
        return ServerAudit(
            self.vm.server_id,
            dict(self._service.runs_by_key),
            dict(self._service.runs_by_token),
            self.attempts.runs(self.boot_id),
            self._service.most_at_once,
            self._service.refused,
            self._newest_work_after_leaving_ms,
        )

    def _execute(self, command: ServerCommand, now_ms: int) -> str:
        if not isinstance(command, StartTask):
            return self.attempts.execute(command, now_ms, self.boot_id)
        if self.vm.state is VmState.leaving:
            return 'server is leaving'
        reason = self.attempts.start(command, now_ms)
        if not reason:
            self._record_new_work(now_ms)
        return reason

    def _close_window(self, now_ms: int, window_ms: int) -> None:
        load, p99_ms = self._service.close_window(now_ms, window_ms)
        ran = self.attempts.ran_since(self._window_start_ms)
        sample = UsageSample(
            0,
            window_ms,
            self.vm.service,
            load,
            p99_ms,
            tuple(attempt.key for attempt in ran),
            {attempt.key.task_id: attempt.uses for attempt in ran},
        )
        self._samples.append((now_ms, sample))
        self._window_start_ms = now_ms

    def _pop_due_samples(self, now_ms: int) -> tuple[UsageSample, ...]:
        old_enough_ms = now_ms - self.usage.lag_ms
        taken = []
        while self._samples and self._samples[0][0] <= old_enough_ms:
            sampled_ms, sample = self._samples.popleft()
            taken.append(
                dataclasses.replace(sample, sampled_ms_ago=now_ms - sampled_ms)
            )
        return tuple(taken)

    def _record_new_work(self, now_ms: int) -> None:
        if self._leaving_since_ms >= 0:
            self._newest_work_after_leaving_ms = now_ms - self._leaving_since_ms

    def _next_boot_id(self) -> str:
        return f'{self.vm.server_id}-{self._first_epoch}-{self._boots}'
