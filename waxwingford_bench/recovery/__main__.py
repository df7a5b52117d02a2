"""Measures the cost of batch work to a daemon, and its recovery time.

``python -m waxwingford_bench.recovery snapshots|fold|ticks|takeover|appends``
"""

import argparse
import statistics
import time
from collections.abc import Callable

import msgspec

from waxwingford.batch import ReadGroup
from waxwingford.records import (
    AttemptEnded,
    RecordGroup,
    SnapshotAssembler,
    decode_group,
    encode_group,
    encode_snapshot,
)
from waxwingford_bench.recovery.output import print_line
from waxwingford_bench.recovery.state import (
    TASKS_PER_JOB,
    make_spec,
    make_state,
)
from waxwingford_bench.recovery.ticks import measure_ticks
from waxwingford_bench.virtual.domain import VirtualDomain

_MS_PER_S = 1000


def measure_snapshots() -> None:
    """Measure size and processor time of snapshots by claimed tasks."""
    for tasks in (1000, 10_000, 100_000):
        state = make_state(tasks)
        started = time.process_time()
        chunks = encode_snapshot(state, state.next_offset)
        written = time.process_time()
        assembler = SnapshotAssembler()
        for chunk in chunks:
            assembler.add(chunk)
        read = time.process_time()
        print_line(
            f'{tasks} tasks: {len(chunks)} chunks, '
            f'{sum(map(len, chunks))} bytes, '
            f'write {1000 * (written - started):.1f} ms, '
            f'restore {1000 * (read - written):.1f} ms'
        )


def measure_fold() -> None:
    """Measure processor time per record that is decoded and folded."""
    for tasks in (1000, 10_000, 100_000):
        state = make_state(tasks)
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
        print_line(
            f'{tasks} live tasks: {count} ends in {len(groups)} groups, '
            f'{1e6 * spent / count:.2f} us a record, '
            f'{sum(map(len, payloads)) / count:.0f} bytes a record'
        )


def measure_takeover(seeds: int, servers_held: int) -> None:
    """Measure the time from a daemon's crash until its servers are held again.

    :param seeds: number of crashes, each with its own seed.
    :param servers_held: servers per daemon to emulate; four servers exchange
        messages at the rate of this many.
    """
    spans = [_takeover_ms(seed, servers_held) for seed in range(seeds)]
    print_line(
        f'{servers_held} servers a daemon, {seeds} crashes: p50 {statistics.median(spans):.0f} ms, '
        f'max {max(spans)} ms (virtual time)'
    )


def _takeover_ms(seed: int, servers_held: int) -> int:
    interval_ms = 100 * servers_held // 4
    domain = VirtualDomain(
        seed,
        daemons=3,
        servers=12,
        settings=lambda settings: settings._replace(
            exchange_every_ms=interval_ms
        ),
    )
    domain.run(8000 + seed * 137)
    for number in range(6):
        domain.submit('d0', make_spec(number, TASKS_PER_JOB))
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
        print_line(f'seed {seed}: {domain.oracle.starts - before} restarted')
    return domain.now_ms - _MS_PER_S - died_ms


def _held_by_others(domain: VirtualDomain) -> set[str]:
    return {
        server_id
        for daemon in domain.daemon_by_id.values()
        if daemon.controller is not None
        for server_id in daemon.controller.fleet.held(domain.now_ms)
    }


def measure_appends() -> None:
    """Measure appends per second by starts per second under group commit."""
    for jobs in (1, 10, 40):
        domain = VirtualDomain(1, daemons=8, servers=40)
        domain.run(8000)
        first_offset = domain.network.log.read(
            'domain/gulberg', 0, 0, domain.now_ms
        ).next_offset
        starts = domain.oracle.starts
        started_ms = domain.now_ms
        for number in range(30):
            for index in range(jobs):
                spec = make_spec(1000 * number + index, 1)
                payload = '{"run_ms":2000}'
                short = msgspec.structs.replace(spec, payload=payload)
                domain.submit(f'd{index % 8}', short)
            domain.run(1000)
        span_s = (domain.now_ms - started_ms) / _MS_PER_S
        last_offset = domain.network.log.read(
            'domain/gulberg', 0, 0, domain.now_ms
        ).next_offset
        print_line(
            f'{(domain.oracle.starts - starts) / span_s:.1f} starts/s: '
            f'{(last_offset - first_offset) / span_s:.1f} appends/s (8 daemons)'
        )


def main() -> None:
    """Run the selected measurements."""
    measurements: dict[str, Callable[[], None]] = {
        'snapshots': measure_snapshots,
        'fold': measure_fold,
        'ticks': lambda: measure_ticks('first_fit'),
        'takeover': lambda: measure_takeover(40, 4),
        'takeover_full': lambda: measure_takeover(40, 90),
        'appends': measure_appends,
    }
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('names', nargs='*', choices=[*measurements, []])
    options = parser.parse_args()
    for name in options.names or measurements:
        print_line(f'-- {name}')
        measurements[name]()


#: Used by other benchmarks as well.
__all__ = ('ReadGroup', 'main', 'measure_ticks')

if __name__ == '__main__':
    main()
