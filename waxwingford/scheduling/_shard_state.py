"""In-memory state of a shard, and its changes since the last append.

Only this subpackage modifies the state. Each change of a job is recorded and
stored with the next batch before it takes effect, so that neither callers nor
servers see a state that a new owner would not find in the store.
"""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from waxwingford.scheduling._backend_client import RunKey, TaskKey
from waxwingford.scheduling._incarnations import Incarnation
from waxwingford.scheduling._interruptions import Interruptions
from waxwingford.scheduling._job_estimates import (
    JobSizes,
    estimate_job,
    owed_since_ms,
)
from waxwingford.scheduling._losses import LossHistory
from waxwingford.scheduling._notes import NoteBuffer
from waxwingford.scheduling._orders import (
    Batch,
    EndAcknowledgement,
    Order,
    Start,
)
from waxwingford.scheduling._past_jobs import PastJobs
from waxwingford.scheduling._pending_tasks import PendingTasks
from waxwingford.scheduling._rows import (
    ENDED_PREFIX,
    INTERFERENCE_KEY,
    LOSSES_KEY,
    TASKS_PER_ROW,
    encode_end,
    encode_step_row,
    parts_of,
    row_key,
    stored_keys,
)
from waxwingford.scheduling._run_times import RunTimes
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._shared_checkpoints import SharedCheckpoints
from waxwingford.scheduling._specs import JobSpec, QueueTerms, Terms
from waxwingford.scheduling._state import (
    EndReason,
    Job,
    JobPhase,
    Run,
    Step,
    Task,
    new_job,
)
from waxwingford.scheduling._tickets import TicketBook

INITIAL_TERMS = Terms(0, {})


class _DirtyRows(NamedTuple):
    # Numbers of the rows of a step that are to be stored.
    step: Step
    parts: set[int]


class UnjudgedLoss(NamedTuple):
    """Loss of a server under a suspected run, for the next decision to judge.

    :ivar proven: whether another incarnation proves that the server has crashed.
    :ivar planned_ms: monotonic time in ms at which the run was placed.
    :ivar lease_end_ms: Unix time in ms at which the latest lease that the server is
        known to have got ended, at the earliest.
    """

    key: RunKey
    proven: bool
    planned_ms: int
    lease_end_ms: int


class CrashRecords:
    """What is known of lost servers and outlived starts.

    :ivar lease_ms: length of the leases granted to servers, in ms.
    :ivar interruptions: interruptions of the owner, in which it learned nothing.
    :ivar losses: recent losses of servers.
    :ivar outlived_by_key: tasks with newly outlived starts, to be stored, and
        their steps.
    :ivar unjudged: losses under suspected runs that are to be judged.
    :ivar undecided: runs whose suspected crash has turned out to be one.
    """

    def __init__(self) -> None:
        self.lease_ms = 0
        self.interruptions = Interruptions()
        self.losses = LossHistory()
        self.outlived_by_key: dict[TaskKey, tuple[Task, Step]] = {}
        self.unjudged: list[UnjudgedLoss] = []
        self.undecided: set[RunKey] = set()
        self._suspects_by_server: dict[
            str, dict[TaskKey, tuple[Task, Step]]
        ] = collections.defaultdict(dict)

    def take_unjudged(self) -> list[UnjudgedLoss]:
        """Remove and return the losses that are to be judged."""
        unjudged = self.unjudged
        self.unjudged = []
        return unjudged

    def take_undecided(self) -> set[RunKey]:
        """Remove and return the runs whose tasks are to be decided on."""
        undecided = self.undecided
        self.undecided = set()
        return undecided

    def add_suspect(self, task: Task, step: Step) -> None:
        """Add a task that is suspected of crashes of servers."""
        for one in task.suspected_crashes:
            suspects = self._suspects_by_server[one.server.server_id]
            suspects[task.key] = task, step

    def suspects_of(self, server_id: str) -> list[tuple[Task, Step]]:
        """List the tasks that are suspected of crashes of a server, and their steps.

        :param server_id: identifier of the server, for any of its incarnations.
        """
        if server_id not in self._suspects_by_server:
            return []
        suspects = {
            key: (task, step)
            for key, (task, step) in self._suspects_by_server.pop(
                server_id
            ).items()
            if step.job.ended is None
            and any(
                one.server.server_id == server_id
                for one in task.suspected_crashes
            )
        }
        if suspects:
            self._suspects_by_server[server_id] = suspects
        return list(suspects.values())


class Learned:
    """What was learned of tasks from their runs.

    :ivar run_times: run times by queue.
    :ivar sizes: sizes of ended jobs by queue.
    :ivar interference_row: learned interference of best-effort tasks, to be
        stored with the next batch; ``None`` for no change.
    :ivar checkpoints: checkpoints that the members of gangs share.
    """

    def __init__(self) -> None:
        self.run_times = RunTimes()
        self.sizes = JobSizes()
        self.interference_row: bytes | None = None
        self.checkpoints = SharedCheckpoints()


class ShardState:
    """State of a shard in its owner's memory.

    :ivar terms: settings of the queues in force.
    :ivar job_by_id: jobs that have not ended, or may still have runs.
    :ivar past: jobs that have ended.
    :ivar server_by_id: current incarnations of the backend servers, by server
        id.
    :ivar pending_by_key: tasks that wait for a server.
    :ivar orders: orders that can be sent without storing a record first.
    :ivar learned: what was learned of tasks from their runs.
    :ivar notes: decisions to be logged.
    :ivar crash_records: what is known of lost servers and outlived starts.
    :ivar tickets: tickets for steps of advised queues.
    :ivar withheld_servers: servers whose leases are currently not extended.
    :ivar wall_offset_ms: offset of Unix time from monotonic time at the latest
        decision, in ms.
    """

    def __init__(self) -> None:
        self.terms = INITIAL_TERMS
        self.job_by_id: dict[str, Job] = {}
        self.past = PastJobs()
        self.server_by_id: dict[str, Server] = {}
        self.pending_by_key = PendingTasks()
        self.orders: list[Order] = []
        self.tickets = TicketBook()
        self.learned = Learned()
        self.withheld_servers: set[str] = set()
        self.wall_offset_ms = 0
        self.notes = NoteBuffer()
        self.crash_records = CrashRecords()
        self._dirty_by_step: dict[str, _DirtyRows] = {}
        self._pending_job_ends: list[tuple[Job, JobPhase]] = []
        self._pending_starts: list[Start] = []
        self._pending_acknowledgements: list[EndAcknowledgement] = []

    @property
    def dirty(self) -> bool:
        """Whether a batch has to be stored.

        :returns: whether rows of jobs, starts or acknowledgements are pending;
            learned interference or losses alone wait for the next of these.
        """
        job_ends = (
            self._pending_job_ends
            or self.past.unread.end_by_job
            or self.past.dirty
        )
        return bool(
            self._dirty_by_step
            or job_ends
            or self._pending_acknowledgements
            or self._pending_starts
        )

    def submit(self, spec: JobSpec, now_ms: int) -> bool:
        """Add a stored job; known jobs are ignored.

        :param now_ms: current monotonic time, in ms.
        :returns: whether the job is new.
        """
        if (
            spec.job_id in self.job_by_id
            or spec.job_id in self.past.phase_by_job
            or spec.job_id in self.past.unread.phase_by_job
        ):
            return False
        self.job_by_id[spec.job_id] = new_job(spec, now_ms)
        tasks = sum(step.count for step in spec.steps)
        self.notes.add('job.known', spec.job_id, queue=spec.queue, tasks=tasks)
        return True

    def mark(self, step: Step, task: Task | None = None) -> None:
        """Mark rows of a step to be stored with the next batch.

        :param task: task that has changed; by default any may have.
        """
        dirty = self._dirty_by_step.get(step.name)
        if dirty is None:
            dirty = _DirtyRows(step, set())
            self._dirty_by_step[step.name] = dirty
        if task is None:
            dirty.parts.update(parts_of(step))
        else:
            dirty.parts.add(task.key.index // TASKS_PER_ROW)

    def plan(self, run: Run, step: Step, starts: bool = True) -> None:
        """Place a run.

        :param starts: whether it starts once it is stored, or is still to wait.
        """
        server_id = run.incarnation.server_id
        self.server_by_id[server_id].add(run, step)
        self.mark(step, step.tasks[run.key.task.index])
        if starts:
            self._pending_starts.append(Start(server_id, run))

    def add_starts(self, starts: Iterable[Start]) -> None:
        """Start runs that were placed before, once all of them are stored."""
        self._pending_starts.extend(starts)

    def acknowledge_end(self, incarnation: Incarnation, number: int) -> None:
        """Acknowledge an end to its server once the next batch is stored.

        :param number: sequence number of the end.
        """
        self._pending_acknowledgements.append(
            EndAcknowledgement(incarnation, number)
        )

    def finish(
        self, job: Job, phase: JobPhase, reason: EndReason, **rests_on: object
    ) -> None:
        """End a job and stop its remaining runs; an ended job stays as it is.

        :param phase: final phase.
        :param rests_on: what the decision rests on, as fields of its note.
        """
        if job.ended is not None:
            return
        job.ended = phase
        self._pending_job_ends.append((job, phase))
        self.notes.add(
            'job.ended',
            job.spec.job_id,
            queue=job.spec.queue,
            phase=phase.value,
            reason=reason.value,
            **rests_on,
            **_learn_outcome(self, job),
        )
        self.pending_by_key.discard_job(job.spec.job_id)
        for run in runs_of(job):
            run.stopping = True

    def finish_unscheduled(
        self,
        job_id: str,
        phase: JobPhase,
        reason: EndReason,
        **rests_on: object,
    ) -> None:
        """End a job of which nothing is known but its id.

        :param phase: final phase.
        :param rests_on: what the decision rests on, as fields of its note.
        """
        if job_id in self.job_by_id or job_id in self.past.phase_by_job:
            return
        self.past.phase_by_job[job_id] = phase
        self.past.unread.end(job_id, phase)
        self.notes.add(
            'job.ended',
            job_id,
            queue='',
            phase=phase.value,
            reason=reason.value,
            **rests_on,
        )

    def take_orders(self) -> list[Order]:
        """Remove and return the orders that need no record."""
        orders = self.orders
        self.orders = []
        return orders

    def take_batch(self) -> Batch:
        """Remove and return everything that has to be stored."""
        self.learned.checkpoints.apply(self.mark)
        dirty_steps = [
            dirty
            for dirty in self._dirty_by_step.values()
            if dirty.step.job.ended is None
        ]
        # The first row comes last: it may replace one of an earlier version, which
        # holds all tasks, and a batch may take several appends.
        payload_by_key: dict[str, bytes | None] = {
            row_key(step, part): encode_step_row(
                step, part, self.wall_offset_ms
            )
            for step, parts in dirty_steps
            for part in sorted(parts, reverse=True)
        }
        shown = [
            (step.job, JobPhase.running)
            for step, _ in dirty_steps
            if _shows_running(step)
        ]
        for job, phase in self._pending_job_ends:
            payload_by_key[ENDED_PREFIX + job.spec.job_id] = encode_end(phase)
            shown.append((job, phase))
        for job_id, phase in self.past.unread.end_by_job.items():
            payload_by_key[ENDED_PREFIX + job_id] = encode_end(phase)
        self.past.unread.end_by_job = {}
        payload_by_key.update(dict.fromkeys(self.past.take_obsolete()))
        if self.learned.interference_row is not None:
            payload_by_key[INTERFERENCE_KEY] = self.learned.interference_row
            self.learned.interference_row = None
        losses = self.crash_records.losses
        if losses.changed:
            payload_by_key[LOSSES_KEY] = losses.encode()
            losses.changed = False
        batch = Batch(
            payload_by_key,
            self._pending_starts,
            self._pending_acknowledgements,
            shown,
        )
        self._dirty_by_step = {}
        self._pending_job_ends = []
        self._pending_starts = []
        self._pending_acknowledgements = []
        return batch

    def stored(self, batch: Batch) -> list[Start]:
        """Apply the actions of a stored batch.

        :param batch: batch that was stored.
        :returns: starts to send now.
        """
        for end in batch.ends:
            server = self.server_by_id.get(end.incarnation.server_id)
            if server is not None and server.incarnation == end.incarnation:
                server.acknowledged_end = max(
                    server.acknowledged_end, end.number
                )
        for job, phase in batch.shown:
            if job.reported_phase in {JobPhase.queued, JobPhase.running}:
                job.reported_phase = phase
            if job.ended is phase:
                self.past.phase_by_job[job.spec.job_id] = phase
        return [start for start in batch.starts if not start.run.stopping]

    def phase(self, job_id: str) -> JobPhase | None:
        """Phase of a job according to the store.

        :returns: phase of the job, ``None`` if it is unknown to this shard.
        """
        job = self.job_by_id.get(job_id)
        if job is not None:
            return job.reported_phase
        unread = self.past.unread.phase_by_job.get(job_id)
        return self.past.phase_by_job.get(job_id, unread)

    def pending_by_queue(self) -> dict[str, int]:
        """Count the jobs that have not begun.

        :returns: number of jobs of which no server has accepted or listed a run,
            by queue; queues without any are left out.
        """
        return collections.Counter(
            job.spec.queue
            for job in self.job_by_id.values()
            if not job.begun and job.ended is None
        )

    def queue_of(self, job: Job) -> QueueTerms:
        """Find the settings of a job's queue.

        :returns: settings in force, or those at submission if the queue is no
            longer configured.
        """
        return self.terms.queue_by_name.get(job.spec.queue, job.spec.terms)

    def find(self, key: RunKey) -> tuple[Task, Step] | None:
        """Find the task and step of a run.

        :returns: task and step, ``None`` if the job is unknown or has no such
            task.
        """
        job = self.job_by_id.get(key.task.job_id)
        if job is None:
            return None
        task = job.task(key.task)
        if task is None:
            return None
        steps = job.steps_by_occurrence[key.task.occurrence]
        return task, steps[key.task.step]


def remove_ended_jobs(state: ShardState) -> dict[str, bytes | None]:
    """Remove ended jobs without runs on any server.

    :returns: keys of their steps, each with ``None``, to be deleted from
        the store.
    """
    ended_jobs = [
        job
        for job_id, job in state.job_by_id.items()
        if job.ended is not None
        and job_id in state.past.phase_by_job
        and not has_runs(job)
    ]
    dropped: dict[str, bytes | None] = {}
    for job in ended_jobs:
        del state.job_by_id[job.spec.job_id]
        for step in steps_of(job):
            dropped.update(dict.fromkeys(stored_keys(step)))
            state.tickets.forget(step)
        # Steps refer to their job: without this it would stay in memory until
        # all objects are searched for cycles.
        job.steps_by_occurrence.clear()
    return dropped


def _shows_running(step: Step) -> bool:
    """Whether the row of a step, once stored, shows that its job is running.

    A run that has begun and isn't in a stored row is unknown to the next owner, which
    would report the job as queued again.
    """
    if step.job.reported_phase is JobPhase.running:
        return True
    return step.job.begun and any(task.begun for task in step.tasks)


def _learn_outcome(state: ShardState, job: Job) -> dict[str, object]:
    """Learn the size of a job that ends, and describe its outcome for its note.

    :returns: fields with its size, and its age at the end of its last run; none
        for a job that has no steps yet or is long-running.
    """
    queue = job.spec.queue
    occurrence = max(job.steps_by_occurrence, default=0)
    steps = job.steps_by_occurrence.get(occurrence)
    if steps is None or any(step.spec.long_running for step in steps):
        return {}
    since_ms = owed_since_ms(job, occurrence, state.wall_offset_ms)
    estimate = estimate_job(
        steps, state.queue_of(job), state.learned.run_times
    )._replace(age_ms=job.last_run_ms - since_ms)
    size = state.learned.sizes.classify(queue, estimate.size)
    state.learned.sizes.add(queue, estimate.size)
    return {
        'size': size,
        'lateness': estimate.lateness.name,
        **estimate.note_fields(),
    }


def block_job(state: ShardState, job_id: str) -> None:
    """Start no more tasks of a job, while its runs go on."""
    job = state.job_by_id.get(job_id)
    if job is not None:
        job.blocked = True
    state.pending_by_key.discard_job(job_id)


def steps_of(job: Job) -> list[Step]:
    """List the steps of all repetitions that have begun."""
    return [
        step for steps in job.steps_by_occurrence.values() for step in steps
    ]


def runs_of(job: Job) -> list[Run]:
    """List all runs of a job that may be present on a server."""
    return [
        run
        for step in steps_of(job)
        for task in step.tasks
        for run in task.run_by_number.values()
    ]


def has_runs(job: Job) -> bool:
    """Tell whether a job has a run that may be present on a server."""
    return job.run_count > 0
