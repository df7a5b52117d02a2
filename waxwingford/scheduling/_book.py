"""All jobs and servers of a shard, and what has changed since the last append.

The book is changed only by the functions of this subpackage. Each change of
a job is noted, so that the next batch stores it before anything is done by
it: what callers, servers or a successor see never runs ahead of the store.
"""

from waxwingford.scheduling._advice import AdviceBook
from waxwingford.scheduling._notes import NoteBook
from waxwingford.scheduling._orders import (
    Batch,
    EndAcknowledgement,
    Order,
    Start,
)
from waxwingford.scheduling._rows import (
    ENDED_PREFIX,
    HARM_KEY,
    encode_end,
    encode_step_row,
)
from waxwingford.scheduling._runners import RunKey
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._specs import JobSpec, QueueTerms, Terms
from waxwingford.scheduling._state import (
    Job,
    JobPhase,
    Run,
    Step,
    Task,
    new_job,
)

INITIAL_TERMS = Terms(0, {})


class Book:
    """State of a shard in its owner's memory.

    :ivar terms: configuration in force.
    :ivar job_by_id: jobs that have not ended.
    :ivar end_by_job: final phases of the others.
    :ivar server_by_id: backend servers.
    :ivar ready_by_key: tasks that wait for a server.
    :ivar orders: orders that need no record, to be sent at once.
    :ivar harm_row: what is known of harm, to be stored with the next batch.
    :ivar notes: decisions for the logs.
    :ivar advice: tickets for steps of advised queues.
    :ivar withheld: servers whose leases are not extended now.
    :ivar wall_ahead_ms: Unix time less steady time, as of the newest decision.
    :ivar outlived_by_name: steps with starts that were outlived, to be stored.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.terms = INITIAL_TERMS
        self.job_by_id: dict[str, Job] = {}
        self.end_by_job: dict[str, JobPhase] = {}
        self.server_by_id: dict[str, Server] = {}
        self.ready_by_key: dict[object, Task] = {}
        self.orders: list[Order] = []
        self.advice = AdviceBook()
        self.withheld: set[str] = set()
        self.wall_offset_ms = 0
        self.notes = NoteBook()
        self.outlived_step_by_name: dict[str, Step] = {}
        self._dirty_step_by_name: dict[str, Step] = {}
        self._pending_job_ends: list[tuple[Job, JobPhase]] = []
        self._pending_starts: list[Start] = []
        self._pending_acknowledgements: list[EndAcknowledgement] = []
        self.harm_row: bytes | None = None

    @property
    def dirty(self) -> bool:
        """Tell whether something has to be stored.

        :returns: whether the next batch is not empty.
        """
        return bool(
            self._dirty_step_by_name
            or self._pending_job_ends
            or self._pending_acknowledgements
            or self._pending_starts
        )

    def submit(self, spec: JobSpec, now_ms: int) -> bool:
        """Take a stored job in; a repeated one changes nothing.

        :param spec: as submitted.
        :param now_ms: steady time.
        :returns: whether it is new.
        """
        if spec.job_id in self.job_by_id or spec.job_id in self.end_by_job:
            return False
        self.job_by_id[spec.job_id] = new_job(spec, now_ms)
        self.notes.add('job.known', spec.job_id, queue=spec.queue)
        return True

    def mark(self, step: Step) -> None:
        """Note that a step has to be stored.

        :param step: which.
        """
        self._dirty_step_by_name[step.name] = step

    def plan(self, run: Run, step: Step) -> None:
        """Note a run that may start once it is stored.

        :param run: the run.
        :param step: its step.
        """
        self.server_by_id[run.server_id].add(run, step)
        self.mark(step)
        self._pending_starts.append(Start(run.server_id, run))

    def acknowledge_end(self, server_id: str, number: int) -> None:
        """Note an end that may be forgotten once the batch is stored.

        :param server_id: where.
        :param number: of the end.
        """
        self._pending_acknowledgements.append(
            EndAcknowledgement(server_id, number)
        )

    def finish(self, job: Job, phase: JobPhase) -> None:
        """End a job; what still runs of it is stopped.

        :param job: the job.
        :param phase: its final phase.
        """
        if job.ended is not None:
            return
        job.ended = phase
        self._pending_job_ends.append((job, phase))
        self.notes.add('job.ended', job.spec.job_id, phase=phase.value)
        for step in steps_of(job):
            for task in step.tasks:
                self.ready_by_key.pop(task.key, None)
        for run in runs_of(job):
            run.stopping = True

    def take_orders(self) -> list[Order]:
        """Take the orders that need no record.

        :returns: orders to send now.
        """
        orders = self.orders
        self.orders = []
        return orders

    def take_batch(self) -> Batch:
        """Take everything that has to be stored.

        :returns: rows and what may be done once they are stored.
        """
        payload_by_key: dict[str, bytes | None] = {}
        for name, step in self._dirty_step_by_name.items():
            if step.job.ended is None:
                payload_by_key[name] = encode_step_row(
                    step, self.wall_offset_ms
                )
        shown = [
            (step.job, JobPhase.running)
            for step in self._dirty_step_by_name.values()
            if step.job.ended is None
        ]
        for job, phase in self._pending_job_ends:
            payload_by_key[ENDED_PREFIX + job.spec.job_id] = encode_end(phase)
            shown.append((job, phase))
        if self.harm_row is not None:
            payload_by_key[HARM_KEY] = self.harm_row
            self.harm_row = None
        batch = Batch(
            payload_by_key,
            self._pending_starts,
            self._pending_acknowledgements,
            shown,
        )
        self._dirty_step_by_name = {}
        self._pending_job_ends = []
        self._pending_starts = []
        self._pending_acknowledgements = []
        return batch

    def stored(self, batch: Batch) -> list[Start]:
        """Note that a batch is stored.

        :param batch: which.
        :returns: starts to send now.
        """
        for seen in batch.ends:
            server = self.server_by_id.get(seen.server_id)
            if server is not None:
                server.seen_end = max(server.seen_end, seen.number)
        for job, phase in batch.shown:
            job.started = True
            if job.shown in {JobPhase.queued, JobPhase.running}:
                job.shown = phase
            if job.ended is phase:
                self.end_by_job[job.spec.job_id] = phase
        return [start for start in batch.starts if not start.run.stopping]

    def remove_ended_jobs(self) -> dict[str, bytes | None]:
        """Drop ended jobs of which nothing is left on any server.

        :returns: keys of their steps, to be dropped in the store.
        """
        ended_jobs = [
            job
            for job_id, job in self.job_by_id.items()
            if job.ended is not None
            and job_id in self.end_by_job
            and not any(runs_of(job))
        ]
        dropped: dict[str, bytes | None] = {}
        for job in ended_jobs:
            del self.job_by_id[job.spec.job_id]
            for step in steps_of(job):
                dropped[step.name] = None
                self.advice.forget(step)
        return dropped

    def phase(self, job_id: str) -> JobPhase | None:
        """Say how far a job is, by what is stored.

        :param job_id: which.
        :returns: its phase, ``None`` if it isn't known here.
        """
        ended = self.end_by_job.get(job_id)
        job = self.job_by_id.get(job_id)
        return ended if job is None else job.shown

    def pending(self, queue: str) -> int:
        """Count jobs of a queue of which no run was stored.

        :param queue: which.
        :returns: the count.
        """
        return sum(
            job.spec.queue == queue and not job.started and job.ended is None
            for job in self.job_by_id.values()
        )

    def queue_of(self, job: Job) -> QueueTerms:
        """Find the terms of a job's queue.

        :param job: the job.
        :returns: those in force, or those of its submission.
        """
        return self.terms.queue_by_name.get(job.spec.queue, job.spec.terms)

    def find(self, key: RunKey) -> tuple[Task, Step] | None:
        """Find the task and step of a run.

        :param key: which run.
        :returns: both, ``None`` if the job isn't known or has no such task.
        """
        job = self.job_by_id.get(key.task.job_id)
        if job is None:
            return None
        task = job.task(key.task)
        if task is None:
            return None
        steps = job.steps_by_occurrence[key.task.occurrence]
        return task, steps[key.task.step]


def steps_of(job: Job) -> list[Step]:
    """List all steps that have begun.

    :param job: whose.
    :returns: steps of all repetitions.
    """
    return [
        step for steps in job.steps_by_occurrence.values() for step in steps
    ]


def runs_of(job: Job) -> list[Run]:
    """List all runs of a job that may be present.

    :param job: whose.
    :returns: runs.
    """
    return [
        run
        for step in steps_of(job)
        for task in step.tasks
        for run in task.run_by_number.values()
    ]
