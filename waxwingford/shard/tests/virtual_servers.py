"""Backend servers in memory that promise what the platform's do, with faults.

They check what must always hold, from what they are told alone.
"""

import asyncio
import collections
import dataclasses
import random

import msgspec

from waxwingford.ports import Resources
from waxwingford.scheduling import (
    Denial,
    EndKind,
    EndReport,
    Looked,
    OrderDenied,
    OrderTaken,
    RunningReport,
    ServerEntry,
    decode_spec,
)
from waxwingford.shard._intake import INTAKE_TOPIC, JOB_PREFIX
from waxwingford.shard._journal import JOURNAL_TOPIC
from waxwingford.shard.tests.capacities import CapacityHistory, exceeds
from waxwingford.shard.tests.crashing_tasks import CrashingTasks

ANSWER_S = 0.002
TIMEOUT_S = 0.6
LONGEST_LEASE_MS = 6000
STOP_S = 0.3
MS_IN_S = 1000


def step_key(task):
    return f'{task.job_id}.{task.occurrence}.{task.step}'


@dataclasses.dataclass(eq=False)
class _Run:
    key: object
    began_s: float
    length_s: float
    percent_at_start: float = 0
    timer: asyncio.TimerHandle | None = None


class VirtualServer:
    """One incarnation of a backend server."""

    def __init__(self, fleet, server_id, capacity, ahead_ms):
        self.fleet = fleet
        self.server_id = server_id
        self.capacities = CapacityHistory(capacity)
        #: Whether it refuses what doesn't fit.
        self.guards = True
        self.ahead_ms = ahead_ms
        self.up = True
        self.listed = True
        self.draining = False
        self.fence = 0
        self.lease_until_ms = 0
        self.run_by_task = {}
        self.ends = []
        self.last_run_by_task = {}
        self.changed = asyncio.Event()
        self.seen_end = 0
        #: Ends up to this number can't be taken note of any more: the lease has
        #: lapsed since they were listed, and that stands for good.
        self.void_to = 0
        #: How long a caller tries in vain to open a connection, in seconds;
        #: ``None`` if there are connections.
        self.connect_s = None
        #: Starts to come that won't be sent.
        self.starts_unsent = 0
        self.fails = False
        self.hangs = False
        #: Looks that daemons have sent.
        self.looks = 0
        #: Whether another incarnation answers at its address.
        self.replaced = False

    @property
    def capacity(self):
        return self.capacities.newest

    @property
    def entry(self):
        return ServerEntry(
            self.server_id,
            f'{self.server_id}:1',
            'service',
            'domain',
            frozenset(('rack',)),
            self.capacity,
            self.draining,
        )

    def clock_ms(self):
        loop_s = asyncio.get_running_loop().time()
        return int(loop_s * MS_IN_S) + self.ahead_ms

    def lapse(self):
        if self.clock_ms() >= self.lease_until_ms:
            self.void_to = len(self.ends)
            for run in list(self.run_by_task.values()):
                self.end(run, EndKind.lapsed)

    def extend(self, until_ms):
        now_ms = self.clock_ms()
        until_ms = min(until_ms, now_ms + LONGEST_LEASE_MS)
        self.lease_until_ms = max(self.lease_until_ms, until_ms)
        loop = asyncio.get_running_loop()
        left_s = (self.lease_until_ms - now_ms) / MS_IN_S
        loop.call_later(max(0, left_s) + 0.001, self.lapse)

    def end(self, run, kind):
        if self.run_by_task.get(run.key.task) is not run or not self.up:
            return
        del self.run_by_task[run.key.task]
        if run.timer is not None:
            run.timer.cancel()
        self.ends.append(EndReport(len(self.ends) + 1, run.key, kind, ''))
        if kind is EndKind.done:
            self.fleet.note_done(run.key.task)
        self.changed.set()
        self.changed = asyncio.Event()

    def crash(self):
        self.listed = False
        self.vanish()

    def vanish(self, connect_s=None):
        self.up = False
        self.connect_s = connect_s
        for run in self.run_by_task.values():
            if run.timer is not None:
                run.timer.cancel()
        self.run_by_task = {}

    def start(self, order):
        self.lapse()
        if order.fencing_token < self.fence:
            return OrderDenied(Denial.fenced)
        self.fence = order.fencing_token
        task, number = order.run
        present = self.run_by_task.get(task)
        if present is not None and present.key.run == number:
            return OrderTaken(self.clock_ms())
        if number <= self.last_run_by_task.get(task, 0):
            return OrderDenied(Denial.superseded)
        if order.lease_until_ms <= self.clock_ms():
            return OrderDenied(Denial.too_late)
        self.extend(order.lease_until_ms)
        if self.guards and exceeds(self.needs_with(task), self.capacity):
            return OrderDenied(Denial.no_room)
        if not self.fleet.has_ticket(self, order):
            return OrderDenied(Denial.no_ticket)
        self.begin(order.run)
        return OrderTaken(self.clock_ms())

    def needs_with(self, task):
        """List what runs here takes, also what is being stopped, and one task more.

        :param task: which.
        :returns: the needs of each.
        """
        keys = (*self.run_by_task, task)
        return [self.fleet.step(key).takes for key in keys]

    def begin(self, key):
        step = self.fleet.step(key.task)
        self.fleet.check_start(self, key)
        now_s = asyncio.get_running_loop().time()
        run = _Run(key, now_s, step.estimate_ms / MS_IN_S)
        self.run_by_task[key.task] = run
        self.last_run_by_task[key.task] = key.run
        self.fleet.crashing.started(self, key)
        if not step.lasting and not self.hangs:
            kind = EndKind.failed if self.fails else EndKind.done
            run.timer = asyncio.get_running_loop().call_later(
                run.length_s, self.end, run, kind
            )

    def stop(self, key, token):
        self.lapse()
        if token < self.fence:
            return OrderDenied(Denial.fenced)
        self.fence = token
        last = self.last_run_by_task.get(key.task, 0)
        self.last_run_by_task[key.task] = max(last, key.run)
        run = self.run_by_task.get(key.task)
        if run is not None and run.key.run <= key.run:
            asyncio.get_running_loop().call_later(
                STOP_S, self.end, run, EndKind.stopped
            )
        return OrderTaken(self.clock_ms())

    def look(self, order):
        self.lapse()
        if order.fencing_token < self.fence:
            return OrderDenied(Denial.fenced)
        self.fence = order.fencing_token
        if order.lease_until_ms is not None:
            self.extend(order.lease_until_ms)
        self.fleet.note_seen(self, order.seen_end)
        self.seen_end = max(self.seen_end, order.seen_end)
        return Looked(
            self.clock_ms(),
            tuple(map(self.report, self.run_by_task.values())),
            tuple(end for end in self.ends if end.number > order.seen_end),
        )

    def report(self, run):
        if self.fleet.step(run.key.task).lasting:
            return RunningReport(run.key, '', 100, 1)
        passed_s = asyncio.get_running_loop().time() - run.began_s
        share = 0 if self.hangs else min(0.99, passed_s / run.length_s)
        return RunningReport(run.key, '', int(share * 100), 1)


class VirtualServers:
    """All backend servers, the ways of daemons to them, and the checks."""

    def __init__(self, store, seed):
        self.store = store
        self.random = random.Random(seed)
        self.server_by_id = {}
        #: Pairs of daemon and server that can't reach each other.
        self.cut = set()
        #: Share of orders without an answer, carried out seconds later.
        self.late_share = 0
        #: How long each order is on its way, in seconds.
        self.order_s = 0
        #: How long each call keeps the processor of its daemon, in seconds.
        self.call_work_s = 0
        self.done = set()
        self.noted_done = set()
        self.breaches = []
        self.starts = collections.Counter()
        self.crashing = CrashingTasks(self)
        self.cancelled_s_by_job = {}
        #: Validity of tickets, in ms; 0 where none are needed.
        self.ticket_ms = 0
        #: End of each ticket by server, step and text, and starts without one.
        self.until_s_by_ticket = {}
        self.without_ticket = []
        self.job_by_id = {}

    def add(self, count, cores=8, ahead_ms=0):
        capacity = Resources(cores * 1000, cores * 4000, 0)
        for _ in range(count):
            self.add_one(capacity, ahead_ms)

    def add_one(self, capacity, ahead_ms):
        server_id = f's{len(self.server_by_id)}'
        self.server_by_id[server_id] = VirtualServer(
            self, server_id, capacity, ahead_ms
        )

    def step(self, task):
        return self.job(task.job_id).steps[task.step]

    def job(self, job_id):
        if job_id not in self.job_by_id:
            for key, raw in self.store.topic(INTAKE_TOPIC).records:
                if key == JOB_PREFIX + job_id:
                    self.job_by_id[job_id] = decode_spec(raw)
        return self.job_by_id[job_id]

    def give_ticket(self, server_id, step_name):
        now_s = asyncio.get_running_loop().time()
        text = f'{server_id} at {now_s}'
        until_s = now_s + self.ticket_ms / MS_IN_S
        self.until_s_by_ticket[server_id, step_name, text] = until_s
        return text

    def has_ticket(self, server, order):
        if not self.ticket_ms:
            return True
        task = order.run.task
        step_name = f'{task.job_id}.{task.occurrence}.{task.step}'
        ticket = server.server_id, step_name, order.ticket
        until_s = self.until_s_by_ticket.get(ticket, 0)
        if asyncio.get_running_loop().time() <= until_s:
            return True
        self.without_ticket.append(order.run)
        return False

    def check_start(self, server, key):
        task = key.task
        self.starts[task] += 1
        stored = [row[0] for row in self.store.topic(JOURNAL_TOPIC).records]
        if step_key(task) not in stored:
            self.breaches.append(f'{key}: started without a record')
        if task.index in self.stored_done(task):
            self.breaches.append(f'{key}: starts, and is stored as done')
        elsewhere = [
            other.server_id
            for other in self.server_by_id.values()
            if other.up and task in other.run_by_task
        ]
        if elsewhere:
            self.breaches.append(
                f'{key}: on {server.server_id}, also on {elsewhere}'
            )
        if task in self.noted_done:
            self.breaches.append(f'{key}: starts, and is noted as done')
        for index in self.step(task).after:
            earlier = self.job(task.job_id).steps[index]
            keys = {
                task._replace(step=index, index=n) for n in range(earlier.count)
            }
            if not keys <= self.done:
                self.breaches.append(
                    f'{key}: starts before step {index} is done'
                )
        self.crashing.check_start(key)
        if exceeds(server.needs_with(task), server.capacities.most()):
            self.breaches.append(
                f'{key}: brings {server.server_id} over its capacity'
            )
        now_s = asyncio.get_running_loop().time()
        if now_s > self.cancelled_s_by_job.get(task.job_id, now_s) + 13:
            self.breaches.append(f'{key}: starts long after its cancelling')

    def stored_done(self, task):
        """Read which tasks of a step the journal says are done.

        :param task: of the step.
        :returns: their indices.
        """
        key = step_key(task)
        rows = [
            raw
            for name, raw in self.store.topic(JOURNAL_TOPIC).records
            if name == key and raw is not None
        ]
        if not rows:
            return set()
        return {row[0] for row in msgspec.msgpack.decode(rows[-1]) if row[3]}

    def note_done(self, task):
        """Note that a task is done; one end stands for a whole gang.

        :param task: which.
        """
        step = self.step(task)
        indices = range(step.count) if step.gang else (task.index,)
        self.done |= {task._replace(index=index) for index in indices}

    def note_seen(self, server, number):
        self.noted_done |= {
            end.run.task
            for end in server.ends
            if server.void_to < end.number <= number
            and end.kind is EndKind.done
        }
