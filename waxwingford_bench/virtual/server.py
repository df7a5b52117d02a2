"""A backend server of a virtual failure domain, without its own guards.

The stand-in refuses starts that over-commit it or double a task; here those
guards are off, so that a wrong start truly happens and the oracle sees it.
"""

from waxwingford.ports import (
    ControlDenied,
    ControlGranted,
    ControlRequest,
    ForgetTask,
    StartTask,
    TaskPhase,
    Vm,
    VmState,
)
from waxwingford_bench.virtual.oracle import Oracle
from waxwingford_standins.backend_server import BackendServerCore
from waxwingford_standins.server_attempts import AttemptTable
from waxwingford_standins.server_service import ServiceModel


class _OpenTable(AttemptTable):
    """Starts whatever it is told to, other than an attempt that it knows."""

    def _start_refusal(self, start: StartTask) -> str:
        if start.key in self._attempt_by_key:
            return 'attempt is known here already'
        return ''


class VirtualServer:
    """One backend server.

    :ivar core: the stand-in's core.
    :ivar is_up: whether it answers.
    :ivar checks_epoch: off in tests that show what the epoch prevents.
    """

    def __init__(self, vm: Vm, oracle: Oracle) -> None:
        """Boot.

        :param vm: its description.
        :param oracle: hears what starts and ends.
        """
        self.vm = vm
        self.is_up = True
        self.checks_epoch = True
        self.core = BackendServerCore(vm, ServiceModel(vm.service))
        self.core.attempts = _OpenTable(vm.server_id, vm.resources)
        self._oracle = oracle
        self._states: list[tuple[int, VmState]] = [(0, vm.state)]

    def control(
        self, request: ControlRequest, now_ms: int
    ) -> ControlGranted | ControlDenied:
        """Carry out an exchange and let the oracle see its starts.

        :param request: the exchange.
        :param now_ms: virtual time.
        :returns: the core's outcome.
        """
        self.advance(now_ms)
        if not self.checks_epoch:
            self._pretend_current(request)
        phase_by_key = {
            report.key: report for report in self.core.attempts.reports()
        }
        outcome = self.core.control(request, now_ms)
        # What the commands ended may be known elsewhere before the next call.
        self.advance(now_ms)
        if isinstance(outcome, ControlDenied):
            return outcome
        refused = {key for key, _ in outcome.refused}
        for command in request.commands:
            match command:
                case StartTask() if command.key not in refused:
                    self._oracle.note_start(self.vm.server_id, command, now_ms)
                case ForgetTask(key=key) if key not in refused:
                    self._oracle.note_forgotten(phase_by_key[key])
        return outcome

    def advance(self, now_ms: int) -> None:
        """Let attempts run.

        :param now_ms: virtual time.
        """
        self.core.advance(now_ms)
        for report in self.core.attempts.reports():
            if report.phase is not TaskPhase.running:
                self._oracle.note_ended(self.vm.server_id, report)

    def running(self) -> list[StartTask]:
        """List what truly runs here.

        :returns: the commands that started it.
        """
        return [kept.start for kept in self.core.attempts.running()]

    def die(self, now_ms: int) -> None:
        """Lose everything and boot again.

        :param now_ms: virtual time.
        """
        self.advance(now_ms)
        kept = self.core.attempts.reports()
        self._oracle.note_died(self.vm.server_id, kept)
        self.core.die(now_ms)

    def leave(self, now_ms: int) -> None:
        """Begin to leave; the list shows it later.

        :param now_ms: virtual time.
        """
        self.core.leave(now_ms)
        self._states.append((now_ms, VmState.leaving))

    def rejoin(self, now_ms: int) -> None:
        """Stay after all.

        :param now_ms: virtual time.
        """
        self.core.vm = self.core.vm._replace(state=VmState.live)
        self._states.append((now_ms, VmState.live))

    def listed(self, now_ms: int, lag_ms: int) -> Vm:
        """Show the server as the lagging list does.

        :param now_ms: virtual time.
        :param lag_ms: age of what the list shows.
        :returns: the listed entry.
        """
        shown = [
            state for since, state in self._states if since <= now_ms - lag_ms
        ]
        return self.vm._replace(state=shown[-1] if shown else VmState.live)

    def _pretend_current(self, request: ControlRequest) -> None:
        lease = self.core._lease
        if request.epoch and request.epoch != lease.epoch:
            lease.holder = request.holder
            lease.epoch = request.epoch
