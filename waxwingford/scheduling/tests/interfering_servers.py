"""Simulated servers on which best-effort runs interfere with serving runs.

Each server is a queue: the tail latency of a serving run is its idle latency
divided by the share of the server that its own load and best-effort runs leave
idle. Loads swing, in phase for all tasks of a step. Servers report the latency
averaged over half a second and rounded to whole ms, and apply a change of pace
after a tenth of a second.
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
    OrderAccepted,
    Pace,
    PollResult,
    QueueTerms,
    RunKey,
    RunningReport,
    ServerEntry,
    StepSpec,
    Stop,
    Terms,
)

TICK_MS = 50
POLL_INTERVAL_MS = 350
PACE_DELAY_MS = 100
SMOOTHING_MS = 500
IDLE_LATENCY_MS = 4
TARGET_MS = 18
#: Lower bound of the idle share of an overloaded server.
MIN_IDLE_SHARE = 0.01
CORES = 32
QUEUE = QueueTerms('queue', 'service', 0, 3, stretch=2, target_ms=1000)
URGENT = QueueTerms('urgent', 'service', 0, 3, stretch=2, target_ms=250)
OTHER = QueueTerms('other', 'other', 0, 3, stretch=2, target_ms=1000)


@dataclasses.dataclass(slots=True)
class SimulatedRun:
    spec: StepSpec
    server_id: str
    phase: float
    started_ms: int
    done_ms: float = 0
    latency_ms: float = IDLE_LATENCY_MS
    percent: int = 100
    paces: list = dataclasses.field(default_factory=list)

    @property
    def used_milli(self):
        return self.spec.needs.processors_milli * self.percent / 100


class SimulatedCluster:
    """An engine and its servers in virtual time.

    :ivar over_ms: time that serving runs were over their target, in ms.
    :ivar served_ms: time that serving runs were running, in ms.
    :ivar used: CPU time of best-effort runs, in core-seconds.
    """

    def __init__(self, servers, coefficients, swing=0.5, period_s=10, seed=1):
        self.now_ms = 100_000
        self.random = random.Random(seed)
        self.coefficients = coefficients
        self.swing = swing
        self.period_ms = period_s * 1000
        self.over_ms = 0
        self.served_ms = 0
        self.used = 0
        self.run_by_key: dict[RunKey, SimulatedRun] = {}
        self.ends = {}
        self.phase_by_step = {}
        self.spec_by_job = {}
        self.ticks = 0
        self.new_owner(1)
        self.entries = []
        add_servers(self, servers)
        self.rows = {}

    def new_owner(self, token):
        self.engine = Engine(token, 5000, InheritedLeases(self.now_ms, {}))
        queues = {queue.name: queue for queue in (QUEUE, URGENT, OTHER)}
        self.engine.configure(Terms(1, queues))

    def change_owner(self):
        """Replace the engine by a successor that restores the stored rows."""
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

    def submit_serving(self, job_id, image, count=1, cores=6):
        needs = Resources(cores * 1000, 8000, 0)
        step = StepSpec(
            count,
            needs,
            1000,
            long_running=True,
            image=image,
            target_ms=TARGET_MS,
        )
        self.submit(job_id, step)

    def submit_best_effort(
        self, job_id, image, count=1, cores=4, estimate_ms=2000
    ):
        needs = Resources(cores * 1000, 4000, 0)
        step = StepSpec(
            count,
            needs,
            estimate_ms,
            image=image,
            best_effort=True,
            writes_checkpoints=True,
        )
        self.submit(job_id, step)

    def run_for(self, span_s, each_tick=None):
        until_ms = self.now_ms + span_s * 1000
        while self.now_ms < until_ms:
            self.now_ms += TICK_MS
            self.ticks += 1
            if each_tick is not None:
                each_tick(self)
            self.advance()
            if not self.ticks % (POLL_INTERVAL_MS // TICK_MS):
                self.poll()
            self.decide()

    def advance(self):
        for key, run in list(self.run_by_key.items()):
            while run.paces and run.paces[0][0] <= self.now_ms:
                run.percent = run.paces.pop(0)[1]
            if not run.spec.long_running:
                run.done_ms += TICK_MS * run.percent / 100
            if run.spec.best_effort:
                self.used += run.used_milli * TICK_MS / 1e6
            if run.done_ms >= run.spec.estimate_ms:
                self.end(key, EndKind.done)
        for run in self.run_by_key.values():
            if run.spec.target_ms:
                self.update_latency(run)

    def update_latency(self, run):
        idle_share = self.idle_share(run)
        latency_ms = IDLE_LATENCY_MS / max(MIN_IDLE_SHARE, idle_share)
        decay = math.exp(-TICK_MS / SMOOTHING_MS)
        run.latency_ms = decay * run.latency_ms + (1 - decay) * latency_ms
        self.served_ms += TICK_MS
        if run.latency_ms > TARGET_MS:
            self.over_ms += TICK_MS

    def idle_share(self, run):
        angle = 2 * math.pi * (self.now_ms / self.period_ms + run.phase)
        load = 0.42 * (1 + self.swing * math.sin(angle))
        interference = sum(
            self.coefficients.get((run.spec.image, other.spec.image), 0)
            * other.used_milli
            for other in self.run_by_key.values()
            if other.server_id == run.server_id and other.spec.best_effort
        )
        return 1 - load - interference / (CORES * 1000)

    def end(self, key, kind):
        run = self.run_by_key.pop(key)
        ends = self.ends.setdefault(run.server_id, [])
        ends.append(EndReport(len(ends) + 1, key, kind, ''))

    def poll(self):
        for server in list(self.engine.state.server_by_id.values()):
            server_id = server.entry.server_id
            running = tuple(
                self.report(key, run)
                for key, run in self.run_by_key.items()
                if run.server_id == server_id
            )
            ended = tuple(self.ends.get(server_id, ()))
            answer = PollResult(self.now_ms, running, ended)
            self.engine.poll_answered(server, self.now_ms, self.now_ms, answer)

    def report(self, key, run):
        if run.spec.target_ms:
            return RunningReport(key, '', 100, round(run.latency_ms))
        percent = int(100 * run.done_ms / run.spec.estimate_ms)
        return RunningReport(key, '', percent, run.used_milli)

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
        for order in engine.state.take_orders():
            self.apply(order)

    def start(self, planned):
        engine = self.engine
        job = engine.state.job_by_id[planned.key.task.job_id]
        spec = job.spec.steps[planned.key.task.step]
        name = planned.key.task[:3]
        phase = self.phase_by_step.setdefault(name, self.random.random())
        run = SimulatedRun(spec, planned.server_id, phase, self.now_ms)
        self.run_by_key[planned.key] = run
        server = engine.state.server_by_id[planned.server_id]
        taken = OrderAccepted(self.now_ms)
        engine.start_answered(server, planned, self.now_ms, taken)

    def apply(self, order):
        match order:
            case Pace(_, key, percent) if key in self.run_by_key:
                applied_ms = self.now_ms + PACE_DELAY_MS
                self.run_by_key[key].paces.append((applied_ms, percent))
            case Stop() if order.key in self.run_by_key:
                self.end(order.key, EndKind.stopped)
            case _:
                pass


def add_servers(cluster, count, service='service'):
    begin = len(cluster.entries)
    cluster.entries += [
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
    cluster.engine.register(cluster.entries, cluster.now_ms)
