"""Stand-in of the workers: leases, fences, runs, ends, as the pages say."""

import asyncio
import collections
import itertools
import json
import time
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

from review.tests.http_service import Answer, Call, HttpService, json_answer
from review.tests.store import Store

MS_PER_S = 1000
MAX_HOLD_MS = 6000
MAX_WAIT_MS = 2000
MAX_LISTED_ENDS = 500
STOP_S = 0.2
FAILS_AFTER_S = 0.1
BEAT_S = 1.5
GANG_TIMEOUT_S = 3
_serials = itertools.count(1)


class Run:
    """A run on a worker; it ends by itself after its length."""

    def __init__(self, task: str, number: int, spec: dict[str, object]) -> None:
        self.task = task
        self.number = number
        self.spec = spec
        self.began_s = time.monotonic()
        self.worked_from_s: float | None = None
        self.timer: asyncio.TimerHandle | None = None

    def percent(self) -> int:
        """Return the progress of the run."""
        if self.worked_from_s is None:
            return 0
        worked_ms = (time.monotonic() - self.worked_from_s) * MS_PER_S
        return min(99, int(100 * worked_ms / self.spec['length-ms']))

    def work(self, worker: 'Worker') -> None:
        """Begin to work; the run is done after its length."""
        self.worked_from_s = time.monotonic()
        self.timer = asyncio.get_running_loop().call_later(
            self.spec['length-ms'] / MS_PER_S, worker.end, self, 'done'
        )


class Start(NamedTuple):
    """A start that a worker has carried out."""

    task: str
    number: int
    service: str
    worker_id: str


class End(NamedTuple):
    """An end that a worker has listed."""

    task: str
    number: int
    how: str


class Fleet:
    """All workers, and what they have seen.

    :ivar record: called with the fields of a line for the record.
    """

    def __init__(self, store: Store, host: str, record) -> None:
        self.store = store
        self.host = host
        self.record = record
        self.workers: list[Worker] = []
        self.members_by_gang: dict[tuple[str, int], list[tuple[Worker, Run]]]
        self.members_by_gang = collections.defaultdict(list)
        self.ends: list[End] = []
        self.starts: list[Start] = []

    async def add(self, service: str, labels: list[str], **limits) -> 'Worker':
        """Start a worker and register it."""
        worker = Worker(self, service, labels, limits.get('cpu', 32_000))
        await worker.start()
        self.workers.append(worker)
        return worker

    def end_members(self, run: Run, how: str) -> None:
        """End the other members of a gang that has lost one."""
        if run.spec.get('gang'):
            other_end = 'done' if how == 'done' else 'broken'
            gang = run.task.rpartition('.')[0], run.number
            for worker, other in self.members_by_gang[gang]:
                if other is not run:
                    worker.end(other, other_end)

    async def beat(self) -> None:
        """Renew the registrations until cancelled."""
        while True:
            await asyncio.sleep(BEAT_S)
            for worker in self.workers:
                if worker.up:
                    worker.register()


class Worker:
    """One life of a worker after the other, at one address."""

    def __init__(
        self, fleet: Fleet, service: str, labels: list[str], cpu: int
    ) -> None:
        self.service = service
        self.labels = labels
        self.cpu = cpu
        self.port = 0
        #: Refuses starts as an unhealthy worker, with this status.
        self.refuses_with = 0
        #: Fails all that it starts.
        self.fails = False
        #: Called with each start that arrives; returns whether it has crashed.
        self.start_arrives: Callable[[Worker], bool] = _ignore
        self.fleet = fleet
        self._seq = itertools.count(1)
        self._reset()

    def _reset(self) -> None:
        self.id = f'i-{next(_serials):08x}'
        self.up = False
        self.state = 'ready'
        self.run_by_task: dict[str, Run] = {}
        self._highest_by_task: dict[str, int] = {}
        self._ends: list[list[object]] = []
        self._acknowledged = 0
        self._fence = 0
        self._lease_until_ms = 0
        self._changed = asyncio.Event()
        self._began_s = time.monotonic()

    async def start(self) -> None:
        """Begin a life, under a new id and with nothing from before."""
        self._reset()
        self._service_port = HttpService(self._answer)
        self.port = await self._service_port.serve(self.fleet.host, self.port)
        self.up = True
        self.register()

    def crash(self) -> None:
        """End at once: connections are reset and all runs are gone."""
        self.up = False
        self._service_port.crash()
        for run in self.run_by_task.values():
            if run.timer is not None:
                run.timer.cancel()
        self.run_by_task = {}
        self.fleet.record(event='worker crashed', worker=self.id)

    async def leave(self, drain_s: float) -> None:
        """Drain, then exit as planned; nothing runs any more."""
        self.state = 'draining'
        self.register()
        await asyncio.sleep(drain_s)
        self.fleet.workers.remove(self)
        self.up = False
        self._service_port.crash()
        self.fleet.store.put('servers', self.id, b'')

    def register(self) -> None:
        """Write the registration."""
        entry = {
            'service': self.service,
            'address': f'{self.fleet.host}:{self.port}',
            'zone': 'gulberg',
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'warmup-left-ms': 0,
            'capacity': {'cpu': self.cpu, 'mem-mb': 128_000, 'gpu': 0},
            'labels': self.labels,
            'clock-ms': self.clock_ms(),
            'seq': next(self._seq),
        }
        self.fleet.store.put('servers', self.id, json.dumps(entry).encode())

    def clock_ms(self) -> int:
        """Read the steady clock of this life."""
        return 1000 + int((time.monotonic() - self._began_s) * MS_PER_S)

    def end(self, run: Run, how: str) -> None:
        """End a run, and list its end."""
        if self.run_by_task.get(run.task) is not run or not self.up:
            return
        self.run_by_task.pop(run.task)
        if run.timer is not None:
            run.timer.cancel()
        number = len(self._ends) + 1
        self._ends.append([number, run.task, run.number, how, ''])
        self.fleet.ends.append(End(run.task, run.number, how))
        self.fleet.record(
            event='run ended',
            worker=self.id,
            service=self.service,
            task=run.task,
            run=run.number,
            how=how,
        )
        self._changed.set()
        self._changed = asyncio.Event()
        self.fleet.end_members(run, how)

    async def _answer(self, call: Call) -> Answer:
        if call.header_by_name.get('x-expect-instance') not in {None, self.id}:
            return Answer(HTTPStatus.MISDIRECTED_REQUEST)
        self._check_lease()
        content = call.content()
        if call.path == '/api/run-start' and not _takes_start(self, content):
            return Answer(self.refuses_with or HTTPStatus.SERVICE_UNAVAILABLE)
        if content['fence'] < self._fence:
            return _deny(self, 'fence')
        self._fence = content['fence']
        match call.path:
            case '/api/run-start':
                return self._start(content)
            case '/api/run-stop':
                return self._stop(content)
            case '/api/hold':
                return await self._hold(content)
            case _:
                return _accept(self)

    def _start(self, content: dict[str, object]) -> Answer:
        task, number = content['task'], content['run-id']
        present = self.run_by_task.get(task)
        if present is not None and present.number == number:
            return _accept(self)
        if number <= self._highest_by_task.get(task, 0):
            return _deny(self, 'old')
        if content['deadline-ms'] <= self.clock_ms():
            return _deny(self, 'late')
        self._extend(content['deadline-ms'])
        run = Run(task, number, json.loads(content['spec']))
        taken = sum(one.spec['cpu'] for one in self.run_by_task.values())
        if taken + run.spec['cpu'] > self.cpu:
            return _deny(self, 'room')
        self._highest_by_task[task] = number
        self.run_by_task[task] = run
        self.fleet.starts.append(Start(task, number, self.service, self.id))
        self.fleet.record(
            event='run began',
            worker=self.id,
            service=self.service,
            task=task,
            run=number,
            fence=content['fence'],
        )
        self._let_work(run)
        return _accept(self)

    def _let_work(self, run: Run) -> None:
        loop = asyncio.get_running_loop()
        if self.fails:
            run.timer = loop.call_later(FAILS_AFTER_S, self.end, run, 'failed')
            return
        gang = run.spec.get('gang')
        if not gang:
            run.work(self)
            return
        members = self.fleet.members_by_gang[
            run.task.rpartition('.')[0], run.number
        ]
        members.append((self, run))
        run.timer = loop.call_later(GANG_TIMEOUT_S, self.end, run, 'alone')
        if len(members) == gang:
            for worker, member in members:
                member.timer.cancel()
                member.work(worker)

    def _stop(self, content: dict[str, object]) -> Answer:
        task, number = content['task'], content['run-id']
        highest = self._highest_by_task.get(task, 0)
        self._highest_by_task[task] = max(highest, number)
        run = self.run_by_task.get(task)
        if run is not None and run.number <= number:
            asyncio.get_running_loop().call_later(
                STOP_S, self.end, run, 'stopped'
            )
        return _accept(self)

    async def _hold(self, content: dict[str, object]) -> Answer:
        self._acknowledged = max(self._acknowledged, content['ack-cursor'])
        deadline_ms = content.get('deadline-ms')
        if deadline_ms is not None:
            self._extend(deadline_ms)
        wait_ms = min(MAX_WAIT_MS, content.get('wait-ms', 0))
        if wait_ms and not self._unacknowledged():
            changed = asyncio.ensure_future(self._changed.wait())
            await asyncio.wait([changed], timeout=wait_ms / MS_PER_S)
            changed.cancel()
        self._check_lease()
        running = [
            [run.task, run.number, '', run.percent(), run.spec['cpu']]
            for run in self.run_by_task.values()
        ]
        return json_answer(
            HTTPStatus.OK,
            {
                'clock-ms': self.clock_ms(),
                'running': running,
                'ended-runs': self._unacknowledged(),
            },
        )

    def _unacknowledged(self) -> list[list[object]]:
        until = self._acknowledged + MAX_LISTED_ENDS
        return self._ends[self._acknowledged : until]

    def _extend(self, until_ms: int) -> None:
        now_ms = self.clock_ms()
        until_ms = min(until_ms, now_ms + MAX_HOLD_MS)
        self._lease_until_ms = max(self._lease_until_ms, until_ms)
        asyncio.get_running_loop().call_later(
            max(0, self._lease_until_ms - now_ms) / MS_PER_S + 0.002,
            self._check_lease,
        )

    def _check_lease(self) -> None:
        if self.up and self.clock_ms() >= self._lease_until_ms:
            for run in tuple(self.run_by_task.values()):
                self.end(run, 'lapsed')


def _ignore(worker: Worker) -> bool:
    return False


def _accept(worker: Worker) -> Answer:
    return json_answer(HTTPStatus.OK, {'clock-ms': worker.clock_ms()})


def _deny(worker: Worker, reason: str) -> Answer:
    return json_answer(
        HTTPStatus.CONFLICT,
        {'clock-ms': worker.clock_ms(), 'reason': reason},
    )


def _takes_start(worker: Worker, content: dict[str, object]) -> bool:
    if worker.refuses_with:
        worker.fleet.record(
            event='start refused',
            worker=worker.id,
            task=content['task'],
            run=content['run-id'],
            status=worker.refuses_with,
        )
        return False
    return not worker.start_arrives(worker)
