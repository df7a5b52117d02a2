"""Servers in virtual time whose fills disturb what serves beside them.

Each server is a queue: the tail of a serving task is its tail when idle, divided
by what its own load and the fills leave of the server.  Loads swing, all tasks of
a step in one phase; the tail that is listed is averaged over the last half second
and rounded to whole ms; a change of pace works after a tenth of a second.
"""

import dataclasses
import math
import random

from waxwingford.ports import Resources
from waxwingford.scheduling import (
    EndKind,
    EndReport,
    Engine,
    InheritedLeases,
    JobSpec,
    Looked,
    OrderTaken,
    Pace,
    QueueTerms,
    RunKey,
    RunningReport,
    ServerEntry,
    StepSpec,
    Stop,
    Terms,
)

TICK_MS = 50
LOOK_EVERY_MS = 350
PACE_WORKS_MS = 100
SMOOTHED_MS = 500
IDLE_TAIL_MS = 4
TARGET_MS = 18
#: What is left of a full queue.
FULL = 0.01
CORES = 32
QUEUE = QueueTerms('queue', 'service', 0, 3, stretch=2, target_ms=1000)
URGENT = QueueTerms('urgent', 'service', 0, 3, stretch=2, target_ms=250)
OTHER = QueueTerms('other', 'other', 0, 3, stretch=2, target_ms=1000)


@dataclasses.dataclass(slots=True)
class Work:
    """A run on a server."""

    spec: StepSpec
    server_id: str
    phase: float
    began_ms: int
    done_ms: float = 0
    tail_ms: float = IDLE_TAIL_MS
    percent: int = 100
    paces: list = dataclasses.field(default_factory=list)

    @property
    def used_milli(self):
        return self.spec.needs.processors_milli * self.percent / 100


class World:
    """An engine and its servers.

    :ivar over_ms: time that serving tasks were over their target.
    :ivar served_ms: time that serving tasks were at work.
    :ivar used: core-seconds of fills.
    """

    def __init__(self, servers, effects, swing=0.5, period_s=10, seed=1):
        self.now_ms = 100_000
        self.random = random.Random(seed)
        self.effects = effects
        self.swing = swing
        self.period_ms = period_s * 1000
        self.over_ms = 0
        self.served_ms = 0
        self.used = 0
        self.work_by_key: dict[RunKey, Work] = {}
        self.ends = {}
        self.phase_by_step = {}
        self.spec_by_job = {}
        self.loops = 0
        self.new_owner(1)
        self.entries = []
        add_servers(self, servers)
        self.rows = {}

    def new_owner(self, token):
        self.engine = Engine(token, 5000, InheritedLeases(self.now_ms, {}))
        queues = {queue.name: queue for queue in (QUEUE, URGENT, OTHER)}
        self.engine.configure(Terms(1, queues))

    def change_owner(self):
        """Let a successor go on from the stored rows."""
        self.new_owner(2)
        self.engine.restore(dict(self.rows))
        for spec in self.spec_by_job.values():
            self.engine.submit(spec, self.now_ms)
        self.engine.inherit(self.now_ms, self.now_ms)
        self.engine.register(self.entries, self.now_ms)

    def submit(self, job_id, *steps, queue=QUEUE):
        spec = JobSpec(job_id, queue.name, 'payload', steps, terms=queue)
        self.spec_by_job[job_id] = spec
        self.engine.submit(spec, self.now_ms)

    def serve(self, job_id, image, count=1, cores=6):
        needs = Resources(cores * 1000, 8000, 0)
        step = StepSpec(
            count, needs, 1000, lasting=True, image=image, target_ms=TARGET_MS
        )
        self.submit(job_id, step)

    def fill(self, job_id, image, count=1, cores=4, estimate_ms=2000):
        needs = Resources(cores * 1000, 4000, 0)
        step = StepSpec(
            count, needs, estimate_ms, image=image, fills=True, saves=True
        )
        self.submit(job_id, step)

    def play(self, span_s, each_tick=None):
        until_ms = self.now_ms + span_s * 1000
        while self.now_ms < until_ms:
            self.now_ms += TICK_MS
            self.loops += 1
            if each_tick is not None:
                each_tick(self)
            self.move()
            if not self.loops % (LOOK_EVERY_MS // TICK_MS):
                self.look()
            self.decide()

    def move(self):
        for key, work in list(self.work_by_key.items()):
            while work.paces and work.paces[0][0] <= self.now_ms:
                work.percent = work.paces.pop(0)[1]
            if not work.spec.lasting:
                work.done_ms += TICK_MS * work.percent / 100
            if work.spec.fills:
                self.used += work.used_milli * TICK_MS / 1e6
            if work.done_ms >= work.spec.estimate_ms:
                self.end(key, EndKind.done)
        for work in self.work_by_key.values():
            if work.spec.target_ms:
                self.serve_users(work)

    def serve_users(self, work):
        left = self.left(work)
        tail_ms = IDLE_TAIL_MS / max(FULL, left)
        kept = math.exp(-TICK_MS / SMOOTHED_MS)
        work.tail_ms = kept * work.tail_ms + (1 - kept) * tail_ms
        self.served_ms += TICK_MS
        if work.tail_ms > TARGET_MS:
            self.over_ms += TICK_MS

    def left(self, work):
        angle = 2 * math.pi * (self.now_ms / self.period_ms + work.phase)
        load = 0.42 * (1 + self.swing * math.sin(angle))
        fills = sum(
            self.effects.get((work.spec.image, other.spec.image), 0)
            * other.used_milli
            for other in self.work_by_key.values()
            if other.server_id == work.server_id and other.spec.fills
        )
        return 1 - load - fills / (CORES * 1000)

    def end(self, key, kind):
        work = self.work_by_key.pop(key)
        ends = self.ends.setdefault(work.server_id, [])
        ends.append(EndReport(len(ends) + 1, key, kind, ''))

    def look(self):
        for server in list(self.engine.book.server_by_id.values()):
            server_id = server.entry.server_id
            running = tuple(
                self.report(key, work)
                for key, work in self.work_by_key.items()
                if work.server_id == server_id
            )
            ended = tuple(self.ends.get(server_id, ()))
            looked = Looked(self.now_ms, running, ended)
            self.engine.looked(server, self.now_ms, self.now_ms, looked)

    def report(self, key, work):
        if work.spec.target_ms:
            return RunningReport(key, '', 100, round(work.tail_ms))
        percent = int(100 * work.done_ms / work.spec.estimate_ms)
        return RunningReport(key, '', percent, work.used_milli)

    def decide(self):
        engine = self.engine
        engine.decide(self.now_ms, self.now_ms + 1_000_000)
        batch = engine.take_batch()
        for key, payload in batch.payload_by_key.items():
            self.rows.pop(key, None)
            if payload is not None:
                self.rows[key] = payload
        for start in engine.stored(batch):
            self.start(start.run)
        for order in engine.book.take_orders():
            self.order(order)

    def start(self, run):
        engine = self.engine
        job = engine.book.job_by_id[run.key.task.job_id]
        spec = job.spec.steps[run.key.task.step]
        name = run.key.task[:3]
        phase = self.phase_by_step.setdefault(name, self.random.random())
        work = Work(spec, run.server_id, phase, self.now_ms)
        self.work_by_key[run.key] = work
        server = engine.book.server_by_id[run.server_id]
        taken = OrderTaken(self.now_ms)
        engine.start_answered(server, run, self.now_ms, taken)

    def order(self, order):
        match order:
            case Pace(_, key, percent) if key in self.work_by_key:
                works_ms = self.now_ms + PACE_WORKS_MS
                self.work_by_key[key].paces.append((works_ms, percent))
            case Stop() if order.key in self.work_by_key:
                self.end(order.key, EndKind.stopped)
            case _:
                pass


def add_servers(world, count, service='service'):
    """Register further servers.

    :param world: whose engine gets to know them.
    :param count: how many.
    :param service: whose tasks they run.
    """
    begin = len(world.entries)
    world.entries += [
        ServerEntry(
            f's{number}',
            f's{number}:1',
            service,
            'd',
            frozenset(),
            Resources(CORES * 1000, 128_000, 0),
            draining=False,
        )
        for number in range(begin, begin + count)
    ]
    world.engine.register(world.entries, world.now_ms)
