"""Backend server of a virtual failure domain, without admission checks.

The oracle detects over-committed VMs and duplicate starts, so the server does
not refuse them.
"""

from waxwingford.ports import (
    AttemptPhase,
    ControlDenied,
    ControlGranted,
    ControlRequest,
    ForgetTask,
    StartTask,
    Vm,
    VmState,
)
from waxwingford_bench.virtual.oracle import Oracle
from waxwingford_standins.backend_server import BackendServerCore
from waxwingford_standins.server_attempts import AttemptTable
from waxwingford_standins.server_service import ServiceModel


class _UncheckedTable(AttemptTable):
    """Starts every attempt that it does not know yet."""

    def _start_refusal(self, start: StartTask) -> str:
        if start.key in self._attempt_by_key:
            return 'attempt is known here already'
        return ''


class VirtualServer:
    """One backend server.

    :ivar vm: description of its VM.
    :ivar core: core of the stand-in server.
    :ivar is_up: whether it is up.
    :ivar checks_epoch: whether commands of other lease epochs are denied.
    """

    def __init__(self, vm: Vm, oracle: Oracle) -> None:
        """Boot the server.

        :param vm: description of its VM.
        :param oracle: records started and ended attempts.
        """
        self.vm = vm
        self.is_up = True
        self.checks_epoch = True
        self.core = BackendServerCore(vm, ServiceModel(vm.service))
        self.core.attempts = _UncheckedTable(vm.server_id, vm.resources)
        self._oracle = oracle
        self._states: list[tuple[int, VmState]] = [(0, vm.state)]

    def control(
        self, request: ControlRequest, now_ms: int
    ) -> ControlGranted | ControlDenied:
        """Execute a control request and record its effects in the oracle.

        :param request: control request.
        :param now_ms: virtual time, in milliseconds.
        :returns: outcome from the core.
        """
        self.advance(now_ms)
        if not self.checks_epoch:
            self._accept_epoch(request)
        phase_by_key = {
            report.key: report for report in self.core.attempts.reports()
        }
        outcome = self.core.control(request, now_ms)
        # Records attempts ended by the commands before the answer is sent.
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
        """Advance the attempts and record those that ended.

        :param now_ms: virtual time, in milliseconds.
        """
        self.core.advance(now_ms)
        for report in self.core.attempts.reports():
            if report.phase is not AttemptPhase.running:
                self._oracle.note_ended(self.vm.server_id, report)

    def running(self) -> list[StartTask]:
        """List the running attempts.

        :returns: commands that started them.
        """
        return [kept.start for kept in self.core.attempts.running()]

    def die(self, now_ms: int) -> None:
        """Crash, lose all attempts, and restart.

        :param now_ms: virtual time, in milliseconds.
        """
        self.advance(now_ms)
        kept = self.core.attempts.reports()
        self._oracle.note_died(self.vm.server_id, kept)
        self.core.die(now_ms)

    def leave(self, now_ms: int) -> None:
        """Begin draining; the VM list shows it after its lag.

        :param now_ms: virtual time, in milliseconds.
        """
        self.core.leave(now_ms)
        self._states.append((now_ms, VmState.leaving))

    def rejoin(self, now_ms: int) -> None:
        """Cancel draining.

        :param now_ms: virtual time, in milliseconds.
        """
        self.core.vm = self.core.vm._replace(state=VmState.live)
        self._states.append((now_ms, VmState.live))

    def listed(self, now_ms: int, lag_ms: int) -> Vm:
        """Return the server's entry in the VM list.

        :param now_ms: virtual time, in milliseconds.
        :param lag_ms: lag of the VM list, in milliseconds.
        :returns: entry with the state as of that lag ago.
        """
        shown = [
            state for since, state in self._states if since <= now_ms - lag_ms
        ]
        return self.vm._replace(state=shown[-1] if shown else VmState.live)

    def _accept_epoch(self, request: ControlRequest) -> None:
        lease = self.core._lease
        if request.epoch and request.epoch != lease.epoch:
            lease.holder = request.holder
            lease.epoch = request.epoch
