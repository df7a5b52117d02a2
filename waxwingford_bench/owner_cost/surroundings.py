"""Store and backend servers that answer an owner in virtual time.

Their processor time isn't counted, and everything that the owner stores, orders
and logs goes into a digest.
"""

import asyncio
import hashlib
import random
import time
from collections.abc import Iterator
from contextlib import contextmanager

from waxwingford.ports import Resources
from waxwingford.scheduling import (
    EndKind,
    EndReport,
    OrderAccepted,
    PollResult,
    RunningReport,
    ServerEntry,
    StepSpec,
)
from waxwingford.shard import (
    Appended,
    LogLimits,
    NewestPage,
    RecordsRead,
    TicketsUnavailable,
)
from waxwingford.shard._clocks import MS_PER_S, monotonic_ms

#: Bounds of the time until an answer, in seconds.
_ANSWER_S = (0.001, 0.009)
_APPEND_S = 0.004
#: Bounds of the time that a task takes, as shares of its estimate.
_LENGTH_SHARES = (0.5, 1.5)
_FULL_PERCENT = 100
_CAPACITY = Resources(8000, 32_000, 0)
_BUSY_SHARE = 0.9
#: Bounds of the tail latency that a serving task reports, as shares of its
#: target.
_LATENCY_SHARES = (0.3, 0.7)


class Outside:
    """Processor time that isn't the owner's, and a digest of what it did.

    :ivar spent_ns: processor time spent so far, in nanoseconds.
    """

    def __init__(self) -> None:
        self.spent_ns = 0
        self._hash = hashlib.sha256()

    @contextmanager
    def excluded(self) -> Iterator[None]:
        """Exclude the processor time of a block that doesn't await."""
        began_ns = time.process_time_ns()
        yield
        self.spent_ns += time.process_time_ns() - began_ns

    def owner_ns(self) -> int:
        """Read the processor time of the owner, in nanoseconds."""
        return time.process_time_ns() - self.spent_ns

    def add(self, *parts: object) -> None:
        """Add something that the owner did to the digest."""
        self._hash.update(repr(parts).encode())

    @property
    def digest(self) -> str:
        """Digest of everything that the owner did so far."""
        return self._hash.hexdigest()


class MemoryLog:
    """Shared log that accepts every append."""

    responsive = True
    limits = LogLimits(record_bytes=262_144, append_bytes=2_097_152)

    def __init__(self, outside: Outside) -> None:
        self._outside = outside
        self._end_by_topic: dict[str, int] = {}

    async def append(
        self, topic: str, records: tuple, fence: object = None
    ) -> Appended:
        """Accept records."""
        with self._outside.excluded():
            self._outside.add(topic, records, fence)
            end = self._end_by_topic.get(topic, 0) + len(records)
            self._end_by_topic[topic] = end
        await asyncio.sleep(_APPEND_S)
        return Appended(end)

    async def read(
        self, topic: str, from_offset: int, wait_ms: int
    ) -> RecordsRead:
        """Answer that there are no more records."""
        await asyncio.sleep(_APPEND_S + wait_ms / MS_PER_S)
        return RecordsRead((), from_offset, from_offset)

    async def read_newest(self, topic: str, after_key: str) -> NewestPage:
        """Answer that the topic is empty."""
        await asyncio.sleep(_APPEND_S)
        return NewestPage((), more=False, end=0)


class SteadyServer:
    """Backend server whose tasks all succeed."""

    def __init__(self, server_id: str, seed: int) -> None:
        self.entry = ServerEntry(
            server_id,
            f'{server_id}:1',
            'service',
            'domain',
            frozenset(),
            _CAPACITY,
            draining=False,
            started_ms=1,
        )
        self.changed = asyncio.Event()
        self._random = random.Random(seed)
        self._step_by_run: dict[object, StepSpec] = {}
        self._began_ms_by_run: dict[object, int] = {}
        self._ends: list[EndReport] = []
        self._end_count = 0

    def begin(self, run: object, step: StepSpec) -> None:
        """Begin a run, and have it end in time."""
        self._step_by_run[run] = step
        self._began_ms_by_run[run] = monotonic_ms()
        if not step.long_running:
            length_ms = step.estimate_ms * self._random.uniform(*_LENGTH_SHARES)
            asyncio.get_running_loop().call_later(
                length_ms / MS_PER_S, self._end, run
            )

    def forget_ends(self, acknowledged_end: int) -> None:
        """Forget ends that the owner has stored."""
        self._ends = [
            end for end in self._ends if end.number > acknowledged_end
        ]

    @property
    def has_ends(self) -> bool:
        """Whether there are ends to report."""
        return bool(self._ends)

    def list_runs(self, acknowledged_end: int) -> PollResult:
        """Answer a poll.

        :param acknowledged_end: end that the poll has acknowledged.
        """
        return PollResult(
            monotonic_ms(),
            tuple(self._report(run) for run in self._step_by_run),
            tuple(self._ends),
            self.entry.started_ms,
            acknowledged_end,
        )

    def _end(self, run: object) -> None:
        self._step_by_run.pop(run)
        self._end_count += 1
        self._ends.append(EndReport(self._end_count, run, EndKind.done, ''))
        self.changed.set()
        self.changed = asyncio.Event()

    def _report(self, run: object) -> RunningReport:
        step = self._step_by_run[run]
        if step.target_ms:
            share = self._random.uniform(*_LATENCY_SHARES)
            latency_ms = round(share * step.target_ms)
            return RunningReport(run, '', _FULL_PERCENT, latency_ms)
        ran_ms = monotonic_ms() - self._began_ms_by_run[run]
        percent = min(99, _FULL_PERCENT * ran_ms // step.estimate_ms)
        used_milli = _BUSY_SHARE * step.needs.processors_milli
        return RunningReport(run, '', percent, used_milli)


class SteadyServers:
    """Client of the backend servers, their directory and their advice.

    :ivar steps_by_job: steps of each submitted job.
    :ivar calls: number of calls by kind.
    """

    def __init__(self, outside: Outside, count: int) -> None:
        self.steps_by_job: dict[str, tuple[StepSpec, ...]] = {}
        self.calls = {'start': 0, 'end': 0, 'poll': 0, 'pace': 0, 'stop': 0}
        self._outside = outside
        self._random = random.Random(count)
        self._server_by_id = {
            f's{index}': SteadyServer(f's{index}', index)
            for index in range(count)
        }

    async def entries(self) -> tuple[ServerEntry, ...]:
        """List all registrations."""
        await self._answer_time()
        return tuple(server.entry for server in self._server_by_id.values())

    async def start(self, address, order) -> OrderAccepted:
        """Accept a start."""
        with self._outside.excluded():
            self._note('start', address, order)
        await self._answer_time()
        with self._outside.excluded():
            task = order.run.task
            step = self.steps_by_job[task.job_id][task.step]
            self._server_by_id[address.server_id].begin(order.run, step)
            answer = OrderAccepted(monotonic_ms())
        return answer

    async def stop(self, address, run, fencing_token) -> OrderAccepted:
        """Accept a stop."""
        return await self._accept('stop', address, run, fencing_token)

    async def pace(self, address, run, percent, fencing_token) -> OrderAccepted:
        """Accept a change of pace, which has no effect."""
        return await self._accept('pace', address, run, percent, fencing_token)

    async def poll(self, address, order) -> PollResult:
        """Answer a poll once a run has ended, or after its hold time."""
        with self._outside.excluded():
            self._note('poll', address, order)
            server = self._server_by_id[address.server_id]
            server.forget_ends(order.acknowledged_end)
        await self._answer_time()
        if order.wait_ms and not server.has_ends:
            await _wait_at_most(server.changed, order.wait_ms / MS_PER_S)
        with self._outside.excluded():
            answer = server.list_runs(order.acknowledged_end)
            self.calls['end'] += len(answer.ended)
        return answer

    async def advise(self, step_name, server_ids) -> TicketsUnavailable:
        """Answer that no step needs advice."""
        await self._answer_time()
        return TicketsUnavailable('no advice')

    async def _accept(self, kind: str, *parts: object) -> OrderAccepted:
        with self._outside.excluded():
            self._note(kind, *parts)
        await self._answer_time()
        return OrderAccepted(monotonic_ms())

    async def _answer_time(self) -> None:
        await asyncio.sleep(self._random.uniform(*_ANSWER_S))

    def _note(self, kind: str, *parts: object) -> None:
        self.calls[kind] += 1
        self._outside.add(kind, monotonic_ms(), *parts)


async def _wait_at_most(event: asyncio.Event, timeout_s: float) -> None:
    loop = asyncio.get_running_loop()
    done = loop.create_future()
    waiting = asyncio.ensure_future(event.wait())
    waiting.add_done_callback(lambda _: done.done() or done.set_result(None))
    timer = loop.call_later(
        timeout_s, lambda: done.done() or done.set_result(None)
    )
    await done
    timer.cancel()
    waiting.cancel()
