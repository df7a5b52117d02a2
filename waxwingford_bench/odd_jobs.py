"""Measures the longest turns of an owner's event loop beside one large job.

``python -m waxwingford_bench.odd_jobs --servers 6 --tasks 5000 20000``

Each row is a shape of the job, and each column a kind of work that the owner does in
one turn: taking the job in, a decision, taking a batch, applying a stored batch, applying
the answer to a poll, and what a new owner does before its first decision.
"""

import argparse
import collections
import gc
import sys
import time
from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple, TypeVar

import msgspec

from waxwingford.ports import Resources
from waxwingford.scheduling import (
    EndKind,
    EndReport,
    Engine,
    Features,
    InheritedLeases,
    JobSpec,
    OrderAccepted,
    PollResult,
    QueueTerms,
    RunningReport,
    ServerEntry,
    Start,
    StepSpec,
    Terms,
)

_QUEUE = QueueTerms('queue', 'service', 0, 3)
_TERMS = Terms(1, {_QUEUE.name: _QUEUE})
_CAPACITY = Resources(32_000, 131_072, 0)
_SMALL = Resources(1, 1, 0)
_LARGE = Resources(33_000, 256, 0)
_SOUND = Resources(500, 256, 0)
_FEATURES = Features(preemption=True, copies=True)
_MAX_STEPS = 1000
_MAX_STARTS = 16
_ROUND_MS = 25
_FIRST_MS = 100_000
_WALL_MS = 1_800_000_000_000
_RUN_MS = 500
_NS_IN_MS = 1_000_000
_LEASE_MS = 5000
#: As in the daemon.
_GC_THRESHOLD = 20_000

Outcome = TypeVar('Outcome')
Steps = tuple[StepSpec, ...]


def _fits_nowhere(tasks: int) -> Steps:
    return (StepSpec(tasks, _LARGE, 1000),)


def _unequal_steps(tasks: int) -> Steps:
    count = max(1, tasks // _MAX_STEPS)
    return tuple(
        StepSpec(
            count,
            _LARGE._replace(processors_milli=_LARGE.processors_milli + number),
            1000,
        )
        for number in range(min(tasks, _MAX_STEPS))
    )


def _chain(tasks: int) -> Steps:
    count = max(1, tasks // _MAX_STEPS)
    return tuple(
        StepSpec(count, _SMALL, _RUN_MS, (number - 1,) if number else ())
        for number in range(min(tasks, _MAX_STEPS))
    )


_STEPS_BY_SHAPE: dict[str, Callable[[int], Steps]] = {
    'gang, no room': lambda tasks: (StepSpec(tasks, _SOUND, 1000, gang=True),),
    'gang, fits': lambda tasks: (StepSpec(tasks, _SMALL, _RUN_MS, gang=True),),
    'gang, one rack': lambda tasks: (
        StepSpec(tasks, _SOUND, 1000, gang=True, one_rack=True),
    ),
    'equal, no room': _fits_nowhere,
    'unequal steps, no room': _unequal_steps,
    'unequal best-effort steps': lambda tasks: tuple(
        msgspec.structs.replace(
            step,
            needs=Resources(1, 200_000 + number, 0),
            best_effort=True,
            image=f'image-{number}',
        )
        for number, step in enumerate(_unequal_steps(tasks))
    ),
    'limited per server, no room': lambda tasks: (
        StepSpec(tasks, _SMALL, 60_000, max_per_server=1),
    ),
    'limited steps, no room': lambda tasks: tuple(
        msgspec.structs.replace(step, max_per_server=1)
        for step in _unequal_steps(tasks)
    ),
    'long-running, no room': lambda tasks: (
        StepSpec(tasks, _LARGE, 1000, long_running=True),
    ),
    'long-running steps, no room': lambda tasks: tuple(
        msgspec.structs.replace(step, long_running=True)
        for step in _unequal_steps(tasks)
    ),
    'best-effort, no room': lambda tasks: (
        StepSpec(
            tasks, Resources(1, 200_000, 0), 1000, best_effort=True, image='a'
        ),
    ),
    'fits in part': lambda tasks: (StepSpec(tasks, _SOUND, 20_000),),
    'fits in part, may be copied': lambda tasks: (
        StepSpec(tasks, _SOUND, 20_000, copies=True),
    ),
    'chain': _chain,
}


class _Turns:
    """Longest time of each kind of work, in ms."""

    def __init__(self) -> None:
        self.longest_ms: dict[str, float] = collections.defaultdict(float)

    def time(self, kind: str, work: Callable[[], Outcome]) -> Outcome:
        """Do work and note how long it took."""
        began_ns = time.perf_counter_ns()
        outcome = work()
        spent_ms = (time.perf_counter_ns() - began_ns) / _NS_IN_MS
        self.longest_ms[kind] = max(self.longest_ms[kind], spent_ms)
        return outcome


class _Shard:
    """Engine with servers that carry every start out."""

    def __init__(self, servers: int, turns: _Turns) -> None:
        self._turns = turns
        self._now_ms = _FIRST_MS
        self._servers = servers
        self._rows: dict[str, bytes] = {}
        self._specs: list[JobSpec] = []
        self._ends: dict[str, list[EndReport]] = collections.defaultdict(list)
        self.sound_starts = 0
        self._engine = self._new_engine()
        self._register()

    def submit(self, steps: Steps, **more: int) -> None:
        """Submit a job."""
        number = len(self._specs)
        spec = JobSpec(
            f'{number:016x}', _QUEUE.name, '', steps, terms=_QUEUE, **more
        )
        self._specs.append(spec)
        self._turns.time(
            'submit', lambda: self._engine.submit(spec, self._now_ms)
        )

    def run(self, rounds: int) -> None:
        """Decide, store, start, and poll each server in turn."""
        for number in range(rounds):
            self._now_ms += _ROUND_MS
            self._decide()
            entry = self._entries()[number % self._servers]
            self._poll(entry.server_id)

    def take_over(self) -> None:
        """Let a new owner restore the state and decide."""
        self._engine = self._new_engine()
        engine = self._engine

        def restore() -> None:
            engine.restore(dict(self._rows))
            for spec in self._specs:
                engine.submit(spec, self._now_ms)
            engine.inherit(self._now_ms, self._now_ms + _WALL_MS)

        self._turns.time('restore', restore)
        self._register()
        self._decide()

    def _register(self) -> None:
        self._engine.register(self._entries(), self._now_ms)
        for server_id in list(self._engine.state.server_by_id):
            self._poll(server_id)

    def _new_engine(self) -> Engine:
        engine = Engine(
            len(self._specs) + 1,
            _LEASE_MS,
            InheritedLeases(self._now_ms, {}),
            features=_FEATURES,
        )
        engine.configure(_TERMS)
        return engine

    def _entries(self) -> list[ServerEntry]:
        return [
            ServerEntry(
                f's{number}',
                f's{number}:1',
                'service',
                'domain',
                frozenset(),
                _CAPACITY,
                draining=False,
                rack=f'r{number % 2}',
            )
            for number in range(self._servers)
        ]

    def _decide(self) -> None:
        engine = self._engine
        in_progress = sum(
            server.starts_in_progress
            for server in engine.state.server_by_id.values()
        )
        self._turns.time(
            'decide',
            lambda: engine.decide(
                self._now_ms,
                self._now_ms + _WALL_MS,
                max(0, _MAX_STARTS - in_progress),
            ),
        )
        engine.state.notes.take()
        batch = self._turns.time('batch', engine.take_batch)
        for key, payload in batch.payload_by_key.items():
            self._rows.pop(key, None)
            if payload is not None:
                self._rows[key] = payload
        starts = self._turns.time('stored', lambda: engine.stored(batch))
        for start in starts:
            self._start(start)

    def _start(self, start: Start) -> None:
        engine = self._engine
        server = engine.state.server_by_id[start.server_id]
        order = engine.orders.start(start.run, self._now_ms)
        if order is None:
            return
        job_id = start.run.key.task.job_id
        self.sound_starts += job_id != self._specs[0].job_id
        engine.start_answered(
            server, start.run, self._now_ms, OrderAccepted(self._now_ms)
        )

    def _poll(self, server_id: str) -> None:
        engine = self._engine
        server = engine.state.server_by_id[server_id]
        running = []
        ends = self._ends[server_id]
        for key, run in server.run_by_key.items():
            step = server.step_by_run[key]
            age_ms = self._now_ms - run.planned_ms
            if age_ms < step.spec.estimate_ms or step.spec.long_running:
                running.append(RunningReport(key, '', 50, 1))
            else:
                number = server.processed_end + len(ends) + 1
                ends.append(EndReport(number, key, EndKind.done, ''))
        answer = PollResult(self._now_ms, tuple(running), tuple(ends))
        self._turns.time(
            'poll',
            lambda: engine.poll_answered(
                server, self._now_ms - 1, self._now_ms, answer
            ),
        )
        ends.clear()


class Row(NamedTuple):
    """Longest turns beside a job of one shape.

    :ivar longest_ms: longest time by kind of work, in ms.
    :ivar sound_starts: starts of the other jobs.
    """

    shape: str
    tasks: int
    longest_ms: dict[str, float]
    sound_starts: int


def measure(shape: str, tasks: int, servers: int, rounds: int) -> Row:
    """Measure an owner beside a job of one shape.

    :param tasks: tasks of the job.
    :param rounds: decisions, half of them by the successor.
    """
    turns = _Turns()
    shard = _Shard(servers, turns)
    more = {}
    if shape == 'repeated, all due':
        steps: Steps = (StepSpec(max(1, tasks // 20), _LARGE, 1000),)
        more = {'times': 100, 'every_ms': 1, 'first_due_ms': 1}
    else:
        steps = _STEPS_BY_SHAPE[shape](tasks)
    shard.submit(steps, **more)
    for _ in range(4):
        shard.submit(
            tuple(
                StepSpec(1, _SOUND, _RUN_MS, (index - 1,) if index else ())
                for index in range(4)
            )
        )
    shard.run(rounds // 2)
    shard.take_over()
    shard.run(rounds // 2)
    return Row(shape, tasks, dict(turns.longest_ms), shard.sound_starts)


def _rows(
    shapes: Sequence[str], tasks: Sequence[int], servers: int, rounds: int
) -> Iterator[Row]:
    for shape in shapes:
        for count in tasks:
            yield measure(shape, count, servers, rounds)


def main(argv: Sequence[str] | None = None) -> None:
    """Print the longest time of each kind of work, for each shape and size.

    :param argv: arguments; those of the process by default.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    shapes = (*_STEPS_BY_SHAPE, 'repeated, all due')
    parser.add_argument('--shapes', nargs='+', default=shapes, choices=shapes)
    parser.add_argument('--tasks', type=int, nargs='+', default=(1000, 5000))
    parser.add_argument('--servers', type=int, default=6)
    parser.add_argument('--rounds', type=int, default=200)
    options = parser.parse_args(argv)
    gc.collect()
    gc.freeze()
    gc.set_threshold(_GC_THRESHOLD)
    kinds = ('submit', 'decide', 'batch', 'stored', 'poll', 'restore')
    header = ' '.join(f'{kind:>8}' for kind in kinds)
    sys.stdout.write(
        f'{"longest turn in ms":30} {"tasks":>6} {header}  sound\n'
    )
    for row in _rows(
        options.shapes, options.tasks, options.servers, options.rounds
    ):
        times = ' '.join(f'{row.longest_ms[kind]:8.1f}' for kind in kinds)
        sys.stdout.write(
            f'{row.shape:30} {row.tasks:6} {times} {row.sound_starts:6}\n'
        )
        sys.stdout.flush()


if __name__ == '__main__':
    main()
