"""Measures the processor time of the owner of a shard, without callers.

``python -m waxwingford_bench.owner_cost --servers 24 48 96 --repeats 5``

An owner in virtual time starts tasks on simulated servers. The processor time
of the servers and of the store isn't counted. The digest covers all rows that
the owner stored, its orders and its log events: with the same ``PYTHONHASHSEED``
versions of the same behaviour print the same one.
"""

import argparse
import asyncio
import contextlib
import gc
import os
import random
import statistics
import sys
from collections.abc import Sequence
from typing import NamedTuple
from unittest import mock

from waxwingford.ports import Resources
from waxwingford.routing.tests.virtual_loop import (
    LoopClock,
    VirtualLoop,
    end_loop,
)
from waxwingford.scheduler import _logs as logs
from waxwingford.scheduling import (
    JobSpec,
    QueueTerms,
    StepSpec,
    Terms,
    encode_spec,
)
from waxwingford.settings import Logging
from waxwingford.shard import Owner, OwnerPorts, OwnerSettings
from waxwingford.shard import _owner as owner_module
from waxwingford.shard._clocks import monotonic_ms
from waxwingford.shard._intake import JobRow
from waxwingford.shard._lease_bounds import Predecessor
from waxwingford_bench.owner_cost.surroundings import (
    MemoryLog,
    Outside,
    SteadyServers,
)
from waxwingford_bench.owner_cost.timer import DigestObserver, Timer

_LEASE_MS = 5000
_QUEUE = QueueTerms('queue', 'service', 0, 3)
_TASKS_PER_STEP = 16
#: Tasks that start on each server per second.
_STARTS_PER_S = 2.4
_WARM_UP_S = 4
_NS_IN_US = 1000
_SERVING = StepSpec(
    2,
    Resources(1500, 1000, 0),
    1000,
    long_running=True,
    image='serving',
    target_ms=20,
)
_SHORT = StepSpec(_TASKS_PER_STEP, Resources(600, 400, 0), 300)
_BEST_EFFORT = StepSpec(
    _TASKS_PER_STEP,
    Resources(600, 400, 0),
    1200,
    image='best-effort',
    best_effort=True,
)


class Cost(NamedTuple):
    """Processor time of an owner, in microseconds.

    :ivar decide_us: decisions, for each start.
    :ivar start_us: batches and answers to starts, for each start.
    :ivar end_us: polls that list ends, for each end.
    :ivar poll_us: other polls, for each of them.
    :ivar notes_us: log lines, for each start.
    :ivar total_us: everything, for each start and its end.
    :ivar starts: number of starts.
    :ivar polls: number of polls.
    :ivar digest: digest of what the owner did.
    """

    decide_us: float
    start_us: float
    end_us: float
    poll_us: float
    notes_us: float
    total_us: float
    starts: int
    polls: int
    digest: str


class _Measurement:
    """One owner and its surroundings."""

    def __init__(self, loop: VirtualLoop, servers: int) -> None:
        self._loop = loop
        self._count = servers
        self._outside = Outside()
        self._timer = Timer(self._outside)
        self._servers = SteadyServers(self._outside, servers)
        log = MemoryLog(self._outside)
        ports = OwnerPorts(
            log,
            self._servers,
            self._servers,
            self._servers,
            DigestObserver(self._outside, self._timer),
            since_boot_ms=monotonic_ms,
        )
        settings = OwnerSettings('d', 'domain', 'd:1', _LEASE_MS, 1)
        self._owner = Owner(settings, ports, Terms(1, {'queue': _QUEUE}))
        self._job_count = 0

    async def run(self, seconds: float) -> Cost:
        """Start tasks for some seconds.

        :returns: processor time without that of the warm-up.
        """
        await self._owner.claim(Predecessor(None, monotonic_ms(), 0, -1), 0)
        self._timer.time_engine(self._owner._engine)  # noqa: SLF001, WPS437
        for _ in range(self._count // _SERVING.count):
            self._submit(_SERVING)
        await self._load(_WARM_UP_S)
        gc.collect()
        self._timer.clear()
        calls_before = dict(self._servers.calls)
        began_ns = self._outside.owner_ns()
        await self._load(seconds)
        total_ns = self._outside.owner_ns() - began_ns
        calls = {
            kind: count - calls_before[kind]
            for kind, count in self._servers.calls.items()
        }
        return self._cost(calls, total_ns)

    def _cost(self, calls: dict[str, int], total_ns: int) -> Cost:
        spent_us = {
            kind: spent_ns / _NS_IN_US
            for kind, spent_ns in self._timer.spent_ns_by_kind.items()
        }
        starts = calls['start']
        return Cost(
            spent_us['decide'] / starts,
            spent_us['start'] / starts,
            spent_us['end'] / calls['end'],
            spent_us['poll'] / self._timer.calls_by_kind['poll'],
            spent_us['notes'] / starts,
            total_ns / _NS_IN_US / starts,
            starts,
            calls['poll'],
            self._outside.digest,
        )

    async def _load(self, seconds: float) -> None:
        steps_per_s = self._count * _STARTS_PER_S / _TASKS_PER_STEP
        for number in range(round(seconds * steps_per_s)):
            self._submit(_BEST_EFFORT if number % 2 else _SHORT)
            await asyncio.sleep(1 / steps_per_s)

    def _submit(self, step: StepSpec) -> None:
        self._job_count += 1
        job_id = f'{self._job_count:016x}'
        self._servers.steps_by_job[job_id] = (step,)
        spec = JobSpec(job_id, 'queue', '', (step,), terms=_QUEUE)
        self._owner.apply_stored(JobRow(encode_spec(spec)))


def measure(servers: int, seconds: float) -> Cost:
    """Measure an owner.

    :param servers: number of backend servers.
    :param seconds: virtual time to measure, in seconds.
    """
    random.seed(1)
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    discard = os.open(os.devnull, os.O_WRONLY)
    handler = logs.make_log_handler(Logging(), 'd', discard)
    # A run in virtual time logs more lines per second of real time.
    unlimited = mock.patch.object(logs, 'MAX_LINES_PER_S', sys.maxsize)
    clock = mock.patch.object(owner_module, '_clock', LoopClock(loop))
    with unlimited, clock, contextlib.closing(handler):
        with handler.applicationbound():
            measurement = _Measurement(loop, servers)
            cost = loop.run_until_complete(measurement.run(seconds))
    end_loop(loop)
    os.close(discard)
    return cost


def main(argv: Sequence[str] | None = None) -> None:
    """Measure the selected sizes and print the medians.

    :param argv: arguments; those of the process by default.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--servers', type=int, nargs='+', default=(24, 48, 96))
    parser.add_argument('--repeats', type=int, default=5)
    parser.add_argument('--seconds', type=float, default=10)
    options = parser.parse_args(argv)
    sys.stdout.write(
        'Processor time in microseconds\n'
        'servers decide/start records/start     end     poll  '
        ' lines/start total/start      starts       polls  digest\n'
    )
    for servers in options.servers:
        costs = [
            measure(servers, options.seconds) for _ in range(options.repeats)
        ]
        medians = [
            f'{statistics.median(times):12.1f}'
            for times in zip(*(cost[:-1] for cost in costs), strict=True)
        ]
        digests = {cost.digest[:12] for cost in costs}
        sys.stdout.write(
            f'{servers:7} {"".join(medians)}  {" ".join(sorted(digests))}\n'
        )


if __name__ == '__main__':
    main()
