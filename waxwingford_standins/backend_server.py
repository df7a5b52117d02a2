"""Core of a stand-in backend server: pure, time is passed in.

Arbitrates the control lease, runs batch attempts under task leases, serves
requests in bounded slots and reports usage with a lag.
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
    """How usage is sampled.

    :ivar window_ms: length of a window, in milliseconds.
    :ivar lag_ms: age at which a sample is first reported, in milliseconds.
    """

    window_ms: int = 1000
    lag_ms: int = 2000


class ServerAudit(NamedTuple):
    """What a server ran, over all its boots.

    :ivar server_id: its name.
    :ivar runs_by_key: how often each idempotency key ran.
    :ivar runs_by_token: how often each request ran.
    :ivar attempts: every attempt that ever ran here.
    :ivar most_at_once: largest number of requests that ran together.
    :ivar refused: requests refused because all slots were busy.
    :ivar newest_work_after_leaving_ms: latest start of a request or task
        after the server began to leave, in milliseconds; -1 for none.
    """

    server_id: str
    runs_by_key: dict[str, int]
    runs_by_token: dict[str, int]
    attempts: list[AttemptRun]
    most_at_once: int
    refused: int
    newest_work_after_leaving_ms: int


class BackendServerCore:
    """One backend server.

    :ivar vm: its description, with its present state.
    :ivar boot_id: changes with each boot.
    :ivar attempts: batch attempts here.
    :ivar usage: how usage is sampled.
    """

    def __init__(
        self,
        vm: Vm,
        model: ServiceModel,
        seed: int = 0,
        first_epoch: int = 0,
    ) -> None:
        """Boot.

        :param vm: its description.
        :param model: behaviour of its service.
        :param seed: of the service's latencies.
        :param first_epoch: above every epoch of an earlier process.
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
        """Carry out one grouped exchange, or nothing of it.

        :param request: the exchange.
        :param now_ms: monotonic time.
        :returns: tagged outcome.
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
        """Let attempts run and close usage windows.

        :param now_ms: monotonic time.
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
        """Run a service request if a slot is free.

        :param call: the request.
        :param now_ms: monotonic time.
        :returns: whether it runs, and for how long.
        """
        if call.service != self.vm.service:
            return CallRefused(f'no service {call.service!r} here')
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
        """Free the slot of a request.

        :param number: handle from its start.
        :param now_ms: monotonic time.
        """
        self._service.end(number, now_ms)

    def answer(self, call: ServiceCall) -> bytes:
        """Write the answer to a request.

        :param call: the request.
        :returns: body.
        """
        return self._service.answer(call, self.vm.server_id)

    def leave(self, now_ms: int) -> None:
        """Begin to leave: starts are refused from now on.

        :param now_ms: monotonic time.
        """
        self.vm = self.vm._replace(state=VmState.leaving)
        self._leaving_since_ms = now_ms

    def die(self, now_ms: int) -> None:
        """Lose everything and boot again.

        :param now_ms: monotonic time.
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
        """Tell what ran here, over all boots.

        :param now_ms: monotonic time.
        :returns: counts and attempts.
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
