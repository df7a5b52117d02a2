"""Stand-in of a worker: runs tasks as the platform's pages describe."""

import asyncio
import dataclasses
import json
import time
from typing import NamedTuple

from http_standin import Call, HttpStandin, Reply, json_reply

MAX_HOLD_MS = 6000
STOP_S = 0.1
ENDS_PER_ANSWER = 500
TICK_S = 0.02
CLOCK_BASE_MS = 480_000


class Settings(NamedTuple):
    """What a worker says of itself."""

    worker_id: str
    service: str
    zone: str
    cpu: int = 32_000
    mem_mb: int = 128_000
    rack: str = 'r1-1'


@dataclasses.dataclass
class Run:
    """A run that is present."""

    task: str
    number: int
    started_s: float
    end_s: float
    stop_at_s: float | None = None


@dataclasses.dataclass
class Event:
    """Something that a worker has done, as the record shows it.

    :ivar how: ``start``, or how the run ended.
    :ivar number: number of the end, 0 for a start.
    :ivar acked_s: when the end was acknowledged.
    :ivar lapsed_s: when the lease of the worker lapsed after this end.
    """

    at_s: float
    worker: str
    task: str
    run: int
    how: str
    number: int = 0
    acked_s: float | None = None
    lapsed_s: float | None = None


def work_end_s(spec: str, now_s: float) -> float:
    """Read from the ``spec`` of a task when its work ends.

    :param spec: duration in ms; optionally a monotonic time in ms before it, at
        which the work ends if that is still to come.
    """
    *until_ms, work_ms = map(int, spec.split())
    end_s = now_s + work_ms / 1000
    return max(
        [one / 1000 for one in until_ms if one / 1000 > now_s], default=end_s
    )


class WorkerStandin:
    """A worker; the ``spec`` of a task says how long it works."""

    def __init__(
        self, settings: Settings, needs_of: dict[str, dict], events: list[Event]
    ) -> None:
        """Create a worker.

        :param needs_of: what each task of a step needs, by name of the step.
        :param events: list to which all that it does is added.
        """
        self.settings = settings
        self.http = HttpStandin(self._handle)
        self.run_by_task: dict[str, Run] = {}
        self._needs_of = needs_of
        self._events = events
        self._ends: list[Event] = []
        self._end_count = 0
        self._fence = 0
        self._highest_by_task: dict[str, int] = {}
        self._lease_until_ms = 0
        self._born_s = time.monotonic()
        self._ended = asyncio.Condition()

    @property
    def clock_ms(self) -> int:
        """The worker's own steady clock."""
        elapsed_s = time.monotonic() - self._born_s
        return CLOCK_BASE_MS + int(elapsed_s * 1000)

    @property
    def used(self) -> tuple[int, int]:
        """CPU and memory that are counted against its capacity."""
        needs = [
            self._needs_of[name.rpartition('.')[0]] for name in self.run_by_task
        ]
        return _sum_cpu(needs), sum(one['mem-mb'] for one in needs)

    async def run(self) -> None:
        """End runs when they are done, stopped, or without a lease."""
        while True:
            await asyncio.sleep(TICK_S)
            now_s = time.monotonic()
            ends = list(self._due_ends(now_s))
            for run, how in ends:
                self._end(run, how)
            if ends:
                async with self._ended:
                    self._ended.notify_all()

    def _due_ends(self, now_s: float) -> list[tuple[Run, str]]:
        runs = list(self.run_by_task.values())
        if self.clock_ms > self._lease_until_ms:
            for end in self._ends:
                end.lapsed_s = end.lapsed_s or now_s
            return [(run, 'lapsed') for run in runs]
        ends = [(run, _due_end(run, now_s)) for run in runs]
        return [(run, how) for run, how in ends if how]

    def _end(self, run: Run, how: str) -> None:
        del self.run_by_task[run.task]
        _raise_to(self._highest_by_task, run.task, run.number)
        self._end_count += 1
        event = self._event(run.task, run.number, how, self._end_count)
        self._ends.append(event)

    def _event(self, task: str, run: int, how: str, number: int = 0) -> Event:
        event = Event(
            time.monotonic(), self.settings.worker_id, task, run, how, number
        )
        self._events.append(event)
        return event

    async def _handle(self, call: Call) -> Reply:
        expected = call.header_by_name.get('x-expect-instance')
        if expected not in {None, self.settings.worker_id}:
            return Reply(421)
        content = call.json()
        fence = content.get('fence', 0)
        if fence < self._fence:
            return self._deny('fence')
        self._fence = fence
        match call.path:
            case '/api/run-start':
                return self._start(content)
            case '/api/run-stop':
                return self._stop(content)
            case '/api/hold':
                return await self._hold(content)
            case '/api/pace':
                return json_reply(200, {'clock-ms': self.clock_ms})
            case _:
                return Reply(404)

    def _deny(self, reason: str) -> Reply:
        return json_reply(409, {'clock-ms': self.clock_ms, 'reason': reason})

    def _extend(self, content: dict) -> None:
        deadline_ms = content.get('deadline-ms')
        if deadline_ms is not None:
            longest_ms = self.clock_ms + MAX_HOLD_MS
            self._lease_until_ms = max(
                self._lease_until_ms, min(deadline_ms, longest_ms)
            )

    def _start(self, content: dict) -> Reply:
        task, number = content['task'], content['run-id']
        present = self.run_by_task.get(task)
        if content['deadline-ms'] <= self.clock_ms:
            return self._deny('late')
        self._extend(content)
        if present is not None and present.number == number:
            return json_reply(200, {'clock-ms': self.clock_ms})
        if number <= self._highest_by_task.get(task, 0):
            return self._deny('old')
        if not self._has_room(task):
            return self._deny('room')
        now_s = time.monotonic()
        end_s = work_end_s(content['spec'], now_s)
        self.run_by_task[task] = Run(task, number, now_s, end_s)
        self._event(task, number, 'start')
        return json_reply(200, {'clock-ms': self.clock_ms})

    def _has_room(self, task: str) -> bool:
        used = [
            self._needs_of[name.rpartition('.')[0]] for name in self.run_by_task
        ]
        used.append(self._needs_of[task.rpartition('.')[0]])
        return (
            _sum_cpu(used) <= self.settings.cpu
            and sum(one['mem-mb'] for one in used) <= self.settings.mem_mb
        )

    def _stop(self, content: dict) -> Reply:
        task, number = content['task'], content['run-id']
        run = self.run_by_task.get(task)
        _raise_to(self._highest_by_task, task, number)
        if run is not None and run.number <= number and run.stop_at_s is None:
            run.stop_at_s = time.monotonic() + STOP_S
        return json_reply(200, {'clock-ms': self.clock_ms})

    async def _hold(self, content: dict) -> Reply:
        now_s = time.monotonic()
        cursor = content.get('ack-cursor', 0)
        for end in self._ends:
            if end.number <= cursor:
                end.acked_s = now_s
        self._ends = [end for end in self._ends if end.number > cursor]
        self._extend(content)
        wait_s = content.get('wait-ms', 0) / 1000
        if wait_s and not self._ends:
            await self._wait_for_end(wait_s)
        listed = self._ends[:ENDS_PER_ANSWER]
        return json_reply(
            200,
            {
                'clock-ms': self.clock_ms,
                'running': [
                    self._row(run) for run in self.run_by_task.values()
                ],
                'ended-runs': [
                    [end.number, end.task, end.run, end.how, '']
                    for end in listed
                ],
            },
        )

    async def _wait_for_end(self, wait_s: float) -> None:
        async with self._ended:
            try:
                await asyncio.wait_for(self._ended.wait(), wait_s)
            except TimeoutError:
                return

    def _row(self, run: Run) -> list[object]:
        needs = self._needs_of[run.task.rpartition('.')[0]]
        elapsed_s = time.monotonic() - run.started_s
        work_s = max(run.end_s - run.started_s, 0.001)
        percent = min(99, int(100 * elapsed_s / work_s))
        if needs['perpetual']:
            percent = 100
        return [run.task, run.number, '', percent, needs['measured']]


def _sum_cpu(needs: list[dict]) -> int:
    return sum(0 if one['fills'] else one['cpu'] for one in needs)


def _raise_to(highest_by_task: dict[str, int], task: str, number: int) -> None:
    highest_by_task[task] = max(highest_by_task.get(task, 0), number)


def _due_end(run: Run, now_s: float) -> str:
    if run.stop_at_s is not None and now_s >= run.stop_at_s:
        return 'stopped'
    return 'done' if now_s >= run.end_s else ''


def registration(worker: WorkerStandin, sequence: int) -> bytes:
    """Encode the entry of a worker in the store."""
    settings = worker.settings
    capacity = {'cpu': settings.cpu, 'mem-mb': settings.mem_mb, 'gpu': 0}
    content = {
        'service': settings.service,
        'address': worker.http.address,
        'zone': settings.zone,
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'warmup-left-ms': 0,
        'capacity': capacity,
        'labels': ['a', settings.rack],
        'clock-ms': worker.clock_ms,
        'seq': sequence,
    }
    return json.dumps(content).encode()
