"""Servers in virtual time whose best-effort runs interfere with serving runs.

Each serving run is a queue: its tail latency is its idle latency divided by the
share that its own load and interference leave idle. Servers report an average over
half a second and apply a change of pace after a tenth of a second. Best-effort runs
share the CPU that other runs leave idle.
"""

import dataclasses
import math

from waxwingford.ports import Resources
from waxwingford.scheduling import (
    EndKind,
    EndReport,
    Engine,
    Features,
    InheritedLeases,
    Order,
    OrderAccepted,
    Pace,
    PollResult,
    RunKey,
    RunningReport,
    ServerEntry,
    StepSpec,
    Stop,
    Terms,
    needs_room,
)
from waxwingford_bench.interference._workload import (
    SERVICE,
    SERVING,
    TARGET_MS,
    Draw,
    EmulatedJob,
    Workload,
)

TICK_MS = 25
POLL_TICKS = 10
PACE_DELAY_MS = 100
SMOOTHING_MS = 500
IDLE_LATENCY_MS = 4
MIN_IDLE_SHARE = 0.01
RESTORE_MS = 250
#: Time by which the clock of the emulation is ahead at its start, in ms.
FIRST_MS = 100_000
_NO_FEATURES = Features()


@dataclasses.dataclass(slots=True)
class EmulatedRun:
    """A run on an emulated server.

    :ivar left_ms: run time at full speed that is left, in ms.
    :ivar percent: pace.
    :ivar paces: changes of pace that aren't applied yet, with their times.
    """

    spec: StepSpec
    server_id: str
    length_ms: float
    left_ms: float
    fails: bool = False
    phase: float = 0
    latency_ms: float = IDLE_LATENCY_MS
    percent: int = 100
    paces: list[tuple[int, int]] = dataclasses.field(default_factory=list)

    def core_s(self, span_ms: float) -> float:
        """CPU time of a span at full speed, in core-seconds."""
        return self.spec.needs.processors_milli * span_ms / 1_000_000

    @property
    def wanted_milli(self) -> float:
        """CPU that it takes if it can, in thousandths of a core."""
        return self.spec.needs.processors_milli * self.percent / 100


class EmulatedCluster:
    """An engine, its servers and the jobs of a day.

    :ivar finished_ms_by_job: times at which jobs were completed.
    :ivar serving_ms: time of serving runs, and ``over_ms``, the part of it in which
        they were over their target, in ms.
    :ivar refused: jobs that were refused.
    :ivar used_core_s: CPU time of best-effort runs, in core-seconds.
    """

    def __init__(
        self, workload: Workload, seed: int, features: Features = _NO_FEATURES
    ) -> None:
        self.workload = workload
        self.now_ms = FIRST_MS
        self.draw = Draw(workload, seed)
        self.coefficients = self.draw.coefficients()
        self.finished_ms_by_job: dict[str, int] = {}
        self.refused: set[str] = set()
        self.serving_ms: float = 0
        self.over_ms: float = 0
        self.used_core_s: float = 0
        self.lost_core_s: float = 0
        self._job_by_id: dict[str, EmulatedJob] = {}
        self._runs_by_server: dict[str, dict[RunKey, EmulatedRun]] = {}
        self._ends_by_server: dict[str, list[EndReport]] = {}
        self._phase_by_step: dict[tuple[object, ...], float] = {}
        self._ticks = 0
        inherited = InheritedLeases(self.now_ms, {})
        self.engine = Engine(1, 5000, inherited, features=features)
        queues = [kind.terms for kind in workload.kinds]
        self.engine.configure(
            Terms(1, {queue.name: queue for queue in (*queues, SERVING)})
        )
        self._register()

    def submit(self, job: EmulatedJob) -> None:
        """Submit a job unless the engine refuses it for lack of room."""
        spec = job.spec
        retry_s = self.engine.admission.retry_s_by_service
        if needs_room(spec, spec.terms) and spec.terms.service in retry_s:
            self.refused.add(spec.job_id)
            return
        self._job_by_id[job.spec.job_id] = job
        self.engine.submit(job.spec, self.now_ms)

    def tick(self) -> None:
        """Let a tick pass."""
        self.now_ms += TICK_MS
        self._ticks += 1
        for server_id, runs in self._runs_by_server.items():
            self._advance(server_id, runs)
        for number, server_id in enumerate(self._runs_by_server):
            if (self._ticks + number) % POLL_TICKS == 0:
                self._poll(server_id)
        self._decide()

    def _register(self) -> None:
        work = self.workload
        capacity = Resources(work.cores * 1000, work.memory_mb, 0)
        entries = [
            ServerEntry(
                f'v{number}',
                f'v{number}:1',
                SERVICE,
                'd',
                frozenset(),
                capacity,
                draining=False,
            )
            for number in range(work.servers)
        ]
        self.engine.register(entries, self.now_ms)
        for entry in entries:
            self._runs_by_server[entry.server_id] = {}
            self._ends_by_server[entry.server_id] = []
            self._poll(entry.server_id)

    def _advance(self, server_id: str, runs: dict[RunKey, EmulatedRun]) -> None:
        load = self._load_milli(runs)
        best_effort = [run for run in runs.values() if run.spec.best_effort]
        wanted = sum(run.wanted_milli for run in best_effort)
        idle = max(0, self.workload.cores * 1000 - load)
        speed = min(1, idle / wanted) if wanted else 1
        for key, run in list(runs.items()):
            while run.paces and run.paces[0][0] <= self.now_ms:
                run.percent = run.paces.pop(0)[1]
            if run.spec.target_ms:
                self._update_latency(run, best_effort, speed)
            else:
                self._work(server_id, key, run, speed)

    def _work(
        self, server_id: str, key: RunKey, run: EmulatedRun, speed: float
    ) -> None:
        if run.spec.best_effort:
            done_ms = TICK_MS * speed * run.percent / 100
            self.used_core_s += run.core_s(done_ms)
        else:
            done_ms = TICK_MS
        run.left_ms -= done_ms
        if run.left_ms <= 0:
            kind = EndKind.failed if run.fails else EndKind.done
            self._end(server_id, key, kind)

    def _load_milli(self, runs: dict[RunKey, EmulatedRun]) -> float:
        serving = [run for run in runs.values() if run.spec.target_ms]
        urgent = [
            run.spec.needs.processors_milli
            for run in runs.values()
            if not (run.spec.target_ms or run.spec.best_effort)
        ]
        return sum(urgent) + sum(
            run.spec.needs.processors_milli * self._load(run) for run in serving
        )

    def _load(self, run: EmulatedRun) -> float:
        work = self.workload
        turns = self.now_ms / (work.period_s * 1000) + run.phase
        return work.load * (1 + work.swing * math.sin(2 * math.pi * turns))

    def _update_latency(
        self, run: EmulatedRun, best_effort: list[EmulatedRun], speed: float
    ) -> None:
        image = run.spec.image
        interference = sum(
            self.coefficients[image, other.spec.image]
            * other.wanted_milli
            * speed
            for other in best_effort
        )
        idle = 1 - self._load(run) - interference / (self.workload.cores * 1000)
        latency_ms = IDLE_LATENCY_MS / max(MIN_IDLE_SHARE, idle)
        decay = math.exp(-TICK_MS / SMOOTHING_MS)
        run.latency_ms = decay * run.latency_ms + (1 - decay) * latency_ms
        self.serving_ms += TICK_MS
        if run.latency_ms > TARGET_MS:
            self.over_ms += TICK_MS

    def _end(self, server_id: str, key: RunKey, kind: EndKind) -> None:
        run = self._runs_by_server[server_id].pop(key)
        ends = self._ends_by_server[server_id]
        done_ms = run.length_ms - run.left_ms
        checkpoint = ''
        if run.spec.writes_checkpoints and kind is EndKind.stopped:
            checkpoint = str(max(0, done_ms))
        elif kind is not EndKind.done and run.spec.best_effort:
            self.lost_core_s += run.core_s(done_ms)
        ends.append(EndReport(len(ends) + 1, key, kind, checkpoint))
        self._poll(server_id)

    def _poll(self, server_id: str) -> None:
        runs = self._runs_by_server[server_id]
        ends = self._ends_by_server[server_id]
        server = self.engine.state.server_by_id[server_id]
        answer = PollResult(
            self.now_ms,
            tuple(_report(key, run) for key, run in runs.items()),
            tuple(ends[server.processed_end :]),
        )
        self.engine.poll_answered(server, self.now_ms - 1, self.now_ms, answer)

    def _decide(self) -> None:
        engine = self.engine
        engine.decide(self.now_ms, self.now_ms + 1_000_000)
        batch = engine.take_batch()
        for start in engine.stored(batch):
            self._start(start.run.key, start.server_id)
        for order in engine.state.take_orders():
            self._apply(order)
        for job_id in engine.state.past.phase_by_job:
            self.finished_ms_by_job.setdefault(job_id, self.now_ms)
        engine.state.notes.take()

    def _apply(self, order: Order) -> None:
        run = self._runs_by_server[order.server_id].get(order.key)
        if run is None:
            return
        match order:
            case Pace(_, _, percent):
                run.paces.append((self.now_ms + PACE_DELAY_MS, percent))
            case Stop(server_id, key):
                self._end(server_id, key, EndKind.stopped)

    def _start(self, key: RunKey, server_id: str) -> None:
        server = self.engine.state.server_by_id[server_id]
        planned = server.run_by_key[key]
        if self.engine.orders.start(planned, self.now_ms) is None:
            return
        job = self._job_by_id[key.task.job_id]
        spec = job.spec.steps[key.task.step]
        length_ms = job.length_ms[key.task.step][key.task.index]
        left_ms = length_ms - float(planned.checkpoint or 0)
        if planned.checkpoint:
            left_ms += RESTORE_MS
        run = EmulatedRun(spec, server_id, length_ms, left_ms)
        run.fails = not spec.long_running and self.draw.failing(job.kind)
        if spec.target_ms:
            run.phase = self._phase_by_step.setdefault(
                key.task[:3], self.draw.phase()
            )
        self._runs_by_server[server_id][key] = run
        accepted = OrderAccepted(self.now_ms)
        self.engine.start_answered(server, planned, self.now_ms, accepted)


def _report(key: RunKey, run: EmulatedRun) -> RunningReport:
    if run.spec.target_ms:
        return RunningReport(key, '', 100, round(run.latency_ms))
    percent = int(100 * (1 - run.left_ms / run.length_ms))
    checkpoint = ''
    return RunningReport(key, checkpoint, max(0, percent), run.wanted_milli)
