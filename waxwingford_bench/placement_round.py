"""Measures the time of a placement round in which tasks wait that fit on no server.

``python -m waxwingford_bench.placement_round --servers 176 350 3000 --waiting 10 1000``
"""

import argparse
import statistics
import sys
import time
from collections.abc import Sequence

import msgspec

from waxwingford.ports import Resources
from waxwingford.scheduling import (
    Engine,
    Features,
    InheritedLeases,
    JobSpec,
    OrderAccepted,
    PollResult,
    QueueTerms,
    RunningReport,
    ServerEntry,
    StepSpec,
    Terms,
)

_QUEUE = QueueTerms('queue', 'service', 0, 3)
_CAPACITY = Resources(64_000, 256_000, 0)
_LONG_RUNNING = StepSpec(
    1, Resources(24_000, 48_000, 0), 1000, long_running=True, max_per_server=1
)
#: Four of these use the rest of the CPU of a server.
_SHORT = StepSpec(1, Resources(9000, 15_000, 0), 20_000, max_per_server=1)
_SHORT_PER_SERVER = 4
_LARGE_NEEDS = Resources(16_000, 30_000, 0)
_TASKS_PER_STEP = 10
_ROUND_MS = 50
_FIRST_MS = 100_000
_NS_IN_MS = 1_000_000


class _Shard:
    """Engine whose servers are full, and tasks that wait."""

    def __init__(self, servers: int, waiting: int, features: Features) -> None:
        self._now_ms = _FIRST_MS
        self._jobs = 0
        inherited = InheritedLeases(self._now_ms, {})
        self.engine = Engine(1, 5000, inherited, features=features)
        self.engine.configure(Terms(1, {'queue': _QUEUE}))
        entries = [
            ServerEntry(
                f's{number}',
                f's{number}:1',
                'service',
                'domain',
                frozenset(),
                _CAPACITY,
                draining=False,
            )
            for number in range(servers)
        ]
        self.engine.register(entries, self._now_ms)
        self._poll()
        self._submit(_LONG_RUNNING, servers)
        for _ in range(_SHORT_PER_SERVER):
            self._submit(_SHORT, servers)
        self._place_all((1 + _SHORT_PER_SERVER) * servers)
        for _ in range(waiting // _TASKS_PER_STEP):
            needs = _LARGE_NEEDS._replace(
                processors_milli=_LARGE_NEEDS.processors_milli + self._jobs
            )
            self._submit(StepSpec(1, needs, 1000), _TASKS_PER_STEP)

    def round_ms(self) -> float:
        """Poll all servers, and measure the round that follows, in ms."""
        self._now_ms += _ROUND_MS
        self._poll()
        began_ns = time.perf_counter_ns()
        self.engine.decide(self._now_ms, self._now_ms)
        spent_ns = time.perf_counter_ns() - began_ns
        self.engine.state.notes.take()
        return spent_ns / _NS_IN_MS

    def _submit(self, step: StepSpec, count: int) -> None:
        self._jobs += 1
        steps = (msgspec.structs.replace(step, count=count),)
        spec = JobSpec(f'{self._jobs:016x}', 'queue', '', steps, terms=_QUEUE)
        self.engine.submit(spec, self._now_ms)

    def _place_all(self, tasks: int) -> None:
        placed = 0
        while placed < tasks:
            self._now_ms += _ROUND_MS
            self.engine.decide(self._now_ms, self._now_ms)
            starts = self.engine.stored(self.engine.take_batch())
            placed += len(starts)
            for start in starts:
                server = self.engine.state.server_by_id[start.server_id]
                self.engine.orders.start(start.run, self._now_ms)
                self.engine.start_answered(
                    server, start.run, self._now_ms, OrderAccepted(self._now_ms)
                )

    def _poll(self) -> None:
        for server in self.engine.state.server_by_id.values():
            reports = tuple(
                RunningReport(key, '', self._percent(run.planned_ms), 1)
                for key, run in server.run_by_key.items()
            )
            answer = PollResult(self._now_ms, reports, ())
            self.engine.poll_answered(
                server, self._now_ms - 1, self._now_ms, answer
            )

    def _percent(self, began_ms: int) -> int:
        return (self._now_ms - began_ms) * 100 // _SHORT.estimate_ms


def main(argv: Sequence[str] | None = None) -> None:
    """Print the median and longest time of a round for each size.

    :param argv: arguments; those of the process by default.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--servers', type=int, nargs='+', default=(176, 350, 3000)
    )
    parser.add_argument('--waiting', type=int, nargs='+', default=(10, 1000))
    parser.add_argument('--rounds', type=int, default=20)
    options = parser.parse_args(argv)
    sys.stdout.write('servers waiting look_ahead median_ms longest_ms\n')
    for servers in options.servers:
        for waiting in options.waiting:
            for look_ahead in (False, True):
                shard = _Shard(
                    servers, waiting, Features(look_ahead=look_ahead)
                )
                times = [shard.round_ms() for _ in range(options.rounds)]
                sys.stdout.write(
                    f'{servers:7} {waiting:7} {look_ahead!s:>10}'
                    f' {statistics.median(times):9.1f} {max(times):10.1f}\n'
                )
                sys.stdout.flush()


if __name__ == '__main__':
    main()
