"""Processor time and message bytes of the controller by servers held."""

import time

import msgspec

from waxwingford.batch import (
    BatchSettings,
    BundleSettings,
    Control,
    ControlResult,
    DomainController,
    LogEntries,
    Tick,
    VmListRead,
)
from waxwingford.ports import (
    AttemptPhase,
    AttemptReport,
    ControlGranted,
    Resources,
    UsageSample,
    Vm,
    VmList,
    VmState,
)
from waxwingford.records import DomainState
from waxwingford_bench.recovery.output import print_line
from waxwingford_bench.recovery.state import make_state

_MS_PER_S = 1000
_TASKS_PER_SERVER = 16
_VM_SIZE = Resources(32_000, 125_000, 0)


def _make_vms(count: int) -> tuple[Vm, ...]:
    return tuple(
        Vm(
            f's{index}',
            'gulberg',
            f'r{index // 6}',
            '127.0.0.1',
            1,
            VmState.live,
            _VM_SIZE,
            8,
            64,
            'report_desk',
        )
        for index in range(count)
    )


class _SimulatedServers:
    """Answers control requests immediately; all claimed tasks run."""

    def __init__(self, state: DomainState) -> None:
        self.reset()
        self._state = state
        self._encoder = msgspec.msgpack.Encoder()

    def reset(self) -> None:
        self.bytes_sent = 0
        self.bytes_read = 0
        self.exchanges = 0

    def answer(self, effect: Control, now_ms: int) -> ControlResult:
        attempts = self._state.index.attempts_by_server.get(
            effect.server_id, {}
        )
        reports = tuple(
            AttemptReport(task.key, AttemptPhase.running, ran_ms=now_ms)
            for task in attempts.values()
        )
        keys = tuple(report.key for report in reports)
        sample = UsageSample(2000, 1000, 'report_desk', 0.4, 60, keys, {})
        boot_id = f'boot{effect.server_id[1:]}'
        known = effect.request.known
        answer = ControlGranted(
            2,
            boot_id,
            leaving=False,
            tasks=() if known else reports,
            usage=(sample,),
            version=1,
            is_delta=bool(known),
        )
        self.exchanges += 1
        self.bytes_sent += len(self._encoder.encode(effect.request))
        self.bytes_read += len(self._encoder.encode(answer))
        return ControlResult(
            effect.server_id, effect.exchange, now_ms, effect.request, answer
        )


def measure_ticks(policy: str) -> None:
    """Measure processor time and bytes of the controller by servers held.

    :param policy: name of the colocation policy.
    """
    for servers in (10, 90, 360):
        spent, simulated_servers = _run_ticks(servers, policy)
        seconds = 30
        sent = simulated_servers.bytes_sent / seconds / 1024
        read = simulated_servers.bytes_read / seconds / 1024
        print_line(
            f'{servers} servers, {servers * _TASKS_PER_SERVER} tasks: '
            f'{1000 * spent / seconds:.2f} ms/s, '
            f'{simulated_servers.exchanges / seconds:.1f} exchanges/s, '
            f'sent {sent:.1f} KiB/s, read {read:.1f} KiB/s (msgpack)'
        )


def _run_ticks(servers: int, policy: str) -> tuple[float, _SimulatedServers]:
    tasks = servers * _TASKS_PER_SERVER
    state = make_state(tasks, servers=servers)
    settings = BatchSettings('d0', '1', 'gulberg')
    controller = DomainController(settings, state, 0)
    simulated_servers = _SimulatedServers(state)
    reserved = Resources(8000, 8000)
    spent: float = 0
    messages = [
        BundleSettings({}, {}, {'report_desk': reserved}, policy),
        VmListRead(VmList(_make_vms(servers))),
        LogEntries((), 1, state.next_offset),
    ]
    for now_ms in range(0, 90_000, 50):
        messages.append(Tick())
        if now_ms % _MS_PER_S == 0:
            messages.append(LogEntries((), now_ms, state.next_offset))
        if now_ms == 60_000:
            spent = 0
            simulated_servers.reset()
        while messages:
            message = messages.pop(0)
            started = time.process_time()
            effects = controller.handle(message, now_ms, now_ms)
            spent += time.process_time() - started
            messages.extend(
                simulated_servers.answer(effect, now_ms)
                for effect in effects
                if isinstance(effect, Control)
            )
    return spent, simulated_servers
