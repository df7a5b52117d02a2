"""Measures what batch work costs a daemon, and how soon it recovers.

``python -m waxwingford_bench.recovery snapshots|fold|ticks|takeover|appends``
"""

import argparse
import statistics
import sys
import time
from collections.abc import Callable

import msgspec

from waxwingford.batch import (
    BatchSettings,
    BundleSettings,
    Control,
    ControlResult,
    DomainController,
    LogEntries,
    ReadGroup,
    Tick,
    VmListRead,
)
from waxwingford.ports import (
    ControlGranted,
    Resources,
    TaskKey,
    TaskPhase,
    TaskReport,
    UsageSample,
    Vm,
    VmList,
    VmState,
)
from waxwingford.records import (
    AttemptEnded,
    Claim,
    DomainState,
    JobAccepted,
    JobSpec,
    RecordGroup,
    SnapshotAssembler,
    TasksClaimed,
    decode_group,
    encode_group,
    snapshot_chunks,
)
from waxwingford_bench.virtual_domain import VirtualDomain

_MS_IN_S = 1000
_TASKS_IN_JOB = 10
_TASKS_ON_SERVER = 16
_SIZE = Resources(500, 1000)
_VM_SIZE = Resources(32_000, 125_000, 0)


def _spec(number: int, count: int) -> JobSpec:
    return JobSpec(
        f'qadri.night{number}',
        'qadri',
        f'team{number % 40}',
        'archive_rebuild',
        count,
        _SIZE,
        240_000,
        payload=f'{{"file":"archive/{number:06d}"}}',
        submitted_wall_ms=1_700_000_000_000 + number,
    )


def _groups(tasks: int, holder: str, servers: int) -> list[RecordGroup]:
    keys = []
    groups = []
    for number in range(tasks // _TASKS_IN_JOB):
        spec = _spec(number, _TASKS_IN_JOB)
        record = JobAccepted(spec)
        groups.append(RecordGroup('w#1', number, (record,)))
        keys.extend(
            TaskKey(f'{spec.job_id}/{index}', 1)
            for index in range(_TASKS_IN_JOB)
        )
    for index in range(servers):
        claims = tuple(Claim(key) for key in keys[index::servers])
        record = TasksClaimed(holder, f's{index}', f'boot{index}', 1, claims)
        groups.append(RecordGroup('w#1', len(groups), (record,)))
    return groups


def _state(tasks: int, holder: str = 'd0#1', servers: int = 720) -> DomainState:
    state = DomainState()
    for offset, group in enumerate(_groups(tasks, holder, servers)):
        state.apply(offset, group)
    return state


def measure_snapshots() -> None:
    """Bytes and time of snapshots against live tasks, all of them claimed."""
    for tasks in (1000, 10_000, 100_000):
        state = _state(tasks)
        started = time.process_time()
        chunks = snapshot_chunks(state, state.next_offset)
        written = time.process_time()
        assembler = SnapshotAssembler()
        for chunk in chunks:
            assembler.add(chunk)
        read = time.process_time()
        _write(
            f'{tasks} tasks: {len(chunks)} chunks, '
            f'{sum(map(len, chunks))} bytes, '
            f'write {1000 * (written - started):.1f} ms, '
            f'restore {1000 * (read - written):.1f} ms'
        )


def measure_fold() -> None:
    """Processor time for each record that is read and folded."""
    for tasks in (1000, 10_000, 100_000):
        state = _state(tasks)
        groups = [
            RecordGroup(
                'e#1',
                index,
                tuple(
                    AttemptEnded(task.key, task.server_id, 'done', 'ok', 9)
                    for task in list(attempts.values())
                ),
            )
            for index, attempts in enumerate(
                state.index.attempts_by_server.values(),
            )
        ]
        payloads = [encode_group(group) for group in groups]
        count = sum(len(group.records) for group in groups)
        started = time.process_time()
        for payload in payloads:
            state.apply(state.next_offset, decode_group(payload))
        spent = time.process_time() - started
        _write(
            f'{tasks} live tasks: {count} ends in {len(groups)} groups, '
            f'{1e6 * spent / count:.2f} us a record, '
            f'{sum(map(len, payloads)) / count:.0f} bytes a record'
        )


def _vms(count: int) -> tuple[Vm, ...]:
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


class _Answers:
    """Answers every exchange at once, as servers that run all claims."""

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
            TaskReport(task.key, TaskPhase.running, ran_ms=now_ms)
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
    """Processor time of the controller against servers held.

    :param policy: name of the colocation policy.
    """
    for servers in (10, 90, 360):
        spent, answers = _run_ticks(servers, policy)
        seconds = 30
        sent = answers.bytes_sent / seconds / 1024
        read = answers.bytes_read / seconds / 1024
        _write(
            f'{servers} servers, {servers * _TASKS_ON_SERVER} tasks: '
            f'{1000 * spent / seconds:.2f} ms/s, '
            f'{answers.exchanges / seconds:.1f} exchanges/s, '
            f'sent {sent:.1f} KiB/s, read {read:.1f} KiB/s (msgpack)'
        )


def _run_ticks(servers: int, policy: str) -> tuple[float, _Answers]:
    tasks = servers * _TASKS_ON_SERVER
    state = _state(tasks, servers=servers)
    settings = BatchSettings('d0', '1', 'gulberg')
    controller = DomainController(settings, state, 0)
    answers = _Answers(state)
    reserved = Resources(8000, 8000)
    spent: float = 0
    messages = [
        BundleSettings({}, {}, {'report_desk': reserved}, policy),
        VmListRead(VmList(_vms(servers))),
        LogEntries((), 1, state.next_offset),
    ]
    for now_ms in range(0, 90_000, 50):
        messages.append(Tick())
        if now_ms % _MS_IN_S == 0:
            messages.append(LogEntries((), now_ms, state.next_offset))
        if now_ms == 60_000:
            spent = 0
            answers.reset()
        while messages:
            message = messages.pop(0)
            started = time.process_time()
            effects = controller.handle(message, now_ms, now_ms)
            spent += time.process_time() - started
            messages.extend(
                answers.answer(effect, now_ms)
                for effect in effects
                if isinstance(effect, Control)
            )
    return spent, answers


def measure_takeover(seeds: int, servers_held: int) -> None:
    """Time from a daemon's death until its servers are commanded again.

    :param seeds: how many deaths.
    :param servers_held: whose pace is kept; four servers stand for so many.
    """
    spans = [_takeover_ms(seed, servers_held) for seed in range(seeds)]
    _write(
        f'{servers_held} servers a daemon, {seeds} deaths: p50 {statistics.median(spans):.0f} ms, '
        f'most {max(spans)} ms (virtual time)'
    )


def _takeover_ms(seed: int, servers_held: int) -> int:
    every_ms = 100 * servers_held // 4
    domain = VirtualDomain(
        seed,
        daemons=3,
        servers=12,
        settings=lambda settings: settings._replace(exchange_every_ms=every_ms),
    )
    domain.run(8000 + seed * 137)
    for number in range(6):
        domain.submit('d0', _spec(number, _TASKS_IN_JOB))
    domain.run(20_000)
    victim = domain.daemon_by_id['d1']
    lost = set(victim.controller.fleet.held(domain.now_ms))
    before = domain.oracle.starts
    victim.kill()
    died_ms = domain.now_ms
    while not lost <= _held_by_others(domain):
        domain.time.run(50)
    domain.run(1000)
    if domain.oracle.starts != before:
        _write(f'seed {seed}: {domain.oracle.starts - before} started anew')
    return domain.now_ms - _MS_IN_S - died_ms


def _held_by_others(domain: VirtualDomain) -> set[str]:
    return {
        server_id
        for daemon in domain.daemon_by_id.values()
        if daemon.controller is not None
        for server_id in daemon.controller.fleet.held(domain.now_ms)
    }


def measure_appends() -> None:
    """Appends a second against starts a second under group commit."""
    for jobs in (1, 10, 40):
        domain = VirtualDomain(1, daemons=8, servers=40)
        domain.run(8000)
        entries = domain.network.log.read(
            'domain/gulberg', 0, 0, domain.now_ms
        ).next_offset
        starts = domain.oracle.starts
        began_ms = domain.now_ms
        for number in range(30):
            for index in range(jobs):
                spec = _spec(1000 * number + index, 1)
                payload = '{"run_ms":2000}'
                short = msgspec.structs.replace(spec, payload=payload)
                domain.submit(f'd{index % 8}', short)
            domain.run(1000)
        span_s = (domain.now_ms - began_ms) / _MS_IN_S
        head = domain.network.log.read(
            'domain/gulberg', 0, 0, domain.now_ms
        ).next_offset
        _write(
            f'{(domain.oracle.starts - starts) / span_s:.1f} starts/s: '
            f'{(head - entries) / span_s:.1f} appends/s (8 daemons)'
        )


def main() -> None:
    """Run the named measurements."""
    measures: dict[str, Callable[[], None]] = {
        'snapshots': measure_snapshots,
        'fold': measure_fold,
        'ticks': lambda: measure_ticks('first_fit'),
        'takeover': lambda: measure_takeover(40, 4),
        'takeover_full': lambda: measure_takeover(40, 90),
        'appends': measure_appends,
    }
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('names', nargs='*', choices=[*measures, []])
    options = parser.parse_args()
    for name in options.names or measures:
        _write(f'-- {name}')
        measures[name]()


def _write(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


#: Used by other benchmarks as well.
__all__ = ('ReadGroup', 'main', 'measure_ticks')

if __name__ == '__main__':
    main()
