"""Stand-in of a worker: runs tasks for a lease, and lists what ran."""

import asyncio
import collections
import dataclasses
import itertools
import time
from collections.abc import Callable

from http_io import HttpService, Reply, Request, json_reply
from store_standin import StoreStandin

HEARTBEAT_S = 1.5
MAX_HOLD_MS = 6000
STOP_S = 0.05
MAX_LISTED_ENDS = 500
CAPACITY = {'cpu': 32_000, 'mem-mb': 128_000}

#: Writes a line of the record: what happened, and its details.
Recorder = Callable[..., None]


@dataclasses.dataclass
class Run:
    """A run that is present."""

    task: str
    run: int
    content: dict[str, object]
    began_s: float
    run_s: float
    work: asyncio.Task[None] | None = None


def _percent(run: Run) -> int:
    spent_s = time.monotonic() - run.began_s
    return min(99, int(100 * spent_s / run.run_s))


class WorkerStandin:
    """One life of a worker.

    :ivar on_start: called with each run that has begun, before the answer.
    :ivar accepts_ticket: whether the ticket in a start order is valid here.
    :ivar failed_ends: number of runs that have ended ``failed``.
    :ivar starts_by_task: runs that have begun, by task.
    :ivar done_tasks: tasks with a run that has ended ``done``.
    :ivar run_s: run time of a task, in seconds.
    :ivar run_s_by_job: other run times, by submission.
    """

    _numbers = itertools.count(1)

    def __init__(
        self, store: StoreStandin, record: Recorder, service: str = 'desk'
    ) -> None:
        number = next(self._numbers)
        self.worker_id = f'worker-{number}'
        self.on_start: Callable[[Run], None] = lambda run: None
        self.run_s = 0.5
        self.run_s_by_job: dict[str, float] = {}
        self.run_by_task: dict[str, Run] = {}
        self.accepts_ticket: Callable[[dict[str, object]], bool] = bool
        self.failed_ends = 0
        self.starts_by_task: collections.Counter[str] = collections.Counter()
        self.done_tasks: set[str] = set()
        self._store = store
        self._record = record
        self._service = service
        self._born_s = time.monotonic()
        self._born_ms = int(time.time() * 1000)
        self._http = HttpService(self._handle)
        self._fence = 0
        self._lease_ms = 0
        self._highest_by_task: dict[str, int] = {}
        self._ends: list[list[object]] = []
        self._next_end = 1
        self._ended = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._seq = 0

    async def start(self) -> None:
        """Listen and register."""
        await self._http.start()
        self._spawn(self._beat())
        self._spawn(self._expire())

    def crash(self) -> None:
        """End at once; everything that runs ends with it."""
        self._record('worker crashed', worker=self.worker_id)
        for task in tuple(self._tasks):
            task.cancel()
        self.run_by_task.clear()
        self._http.stop()

    async def restart(self) -> None:
        """Start again at the same address under the same id, knowing nothing."""
        self._born_s = time.monotonic()
        self._born_ms = int(time.time() * 1000)
        self._fence = 0
        self._lease_ms = 0
        self._highest_by_task.clear()
        self._ends.clear()
        self._next_end = 1
        self._seq = 0
        await self._http.start(self._http.port)
        self._spawn(self._beat())
        self._spawn(self._expire())
        self._record('worker restarted', worker=self.worker_id)

    def _spawn(self, work) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._born_s) * 1000)

    async def _beat(self) -> None:
        while True:
            self._seq += 1
            entry = {
                'service': self._service,
                'address': self._http.address,
                'zone': 'zone-a',
                'version': 'v1',
                'slots': 8,
                'state': 'ready',
                'seq': self._seq,
                'capacity': CAPACITY,
                'labels': ['a', 'r1-1'],
                'born': self._born_ms,
            }
            self._store.write('servers', self.worker_id, entry)
            await asyncio.sleep(HEARTBEAT_S)

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            if self._clock_ms() >= self._lease_ms:
                for run in tuple(self.run_by_task.values()):
                    self._end(run, 'lapsed')

    async def _work(self, run: Run) -> None:
        await asyncio.sleep(run.run_s)
        self._end(run, 'done')

    def _end(self, run: Run, how: str) -> None:
        if self.run_by_task.get(run.task) is not run:
            return
        del self.run_by_task[run.task]
        if how != 'done':
            run.work.cancel()
        self._ends.append([self._next_end, run.task, run.run, how, ''])
        self._next_end += 1
        self.failed_ends += how == 'failed'
        if how == 'done':
            self.done_tasks.add(run.task)
        self._record(
            'run ended',
            worker=self.worker_id,
            task=run.task,
            run=run.run,
            how=how,
        )
        self._ended.set()
        self._ended = asyncio.Event()

    async def _handle(self, request: Request) -> Reply:
        if request.header_by_name.get('x-expect-instance') != self.worker_id:
            return Reply(421)
        content = request.content()
        if content.get('fence', 0) < self._fence:
            return self._answer(409, reason='fence')
        self._fence = content.get('fence', 0)
        match request.path:
            case '/api/run-start':
                return self._start_run(content)
            case '/api/run-stop':
                return self._stop_run(content)
            case '/api/hold':
                return await self._hold(content)
            case '/api/pace':
                return self._answer(200)
            case _:
                return Reply(404)

    def _answer(self, status: int, **content: object) -> Reply:
        return json_reply(
            status, clock_ms=self._clock_ms(), born=self._born_ms, **content
        )

    def _extend(self, deadline_ms: int) -> None:
        longest_ms = self._clock_ms() + MAX_HOLD_MS
        self._lease_ms = max(self._lease_ms, min(deadline_ms, longest_ms))

    def _start_run(self, content: dict[str, object]) -> Reply:
        task, number = content['task'], content['run-id']
        if content['deadline-ms'] <= self._clock_ms():
            return self._answer(409, reason='late')
        if not self.accepts_ticket(content):
            return self._answer(409, reason='ticket')
        self._extend(content['deadline-ms'])
        present = self.run_by_task.get(task)
        if present is not None and present.run == number:
            return self._answer(200)
        if number <= self._highest_by_task.get(task, 0) or present is not None:
            return self._answer(409, reason='old')
        self._highest_by_task[task] = number
        run = Run(
            task,
            number,
            content,
            time.monotonic(),
            self.run_s_by_job.get(task.partition('.')[0], self.run_s),
        )
        self.run_by_task[task] = run
        self.starts_by_task[task] += 1
        self._record(
            'run started', worker=self.worker_id, task=task, run=number
        )
        run.work = self._spawn(self._work(run))
        self.on_start(run)
        return self._answer(200)

    def _stop_run(self, content: dict[str, object]) -> Reply:
        task, number = content['task'], content['run-id']
        highest = self._highest_by_task.get(task, 0)
        self._highest_by_task[task] = max(highest, number)
        present = self.run_by_task.get(task)
        if present is not None and present.run <= number:
            asyncio.get_running_loop().call_later(
                STOP_S, self._end, present, 'stopped'
            )
        return self._answer(200)

    async def _hold(self, content: dict[str, object]) -> Reply:
        self._extend(content.get('deadline-ms', 0))
        cursor = content.get('ack-cursor', 0)
        self._ends = [end for end in self._ends if end[0] > cursor]
        wait_s = min(content.get('wait-ms', 0), 2000) / 1000
        if wait_s and not self._ends:
            try:
                await asyncio.wait_for(self._ended.wait(), wait_s)
            except asyncio.TimeoutError:
                wait_s = 0
        running = [
            [run.task, run.run, '', _percent(run), 0]
            for run in self.run_by_task.values()
        ]
        return self._answer(
            200, running=running, ended_runs=self._ends[:MAX_LISTED_ENDS]
        )
