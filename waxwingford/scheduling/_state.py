"""State of jobs, their steps and tasks, and the runs of tasks."""

import dataclasses
import enum
import sys

import msgspec

from waxwingford.scheduling._backend_client import RunKey, TaskKey
from waxwingford.scheduling._incarnations import Incarnation
from waxwingford.scheduling._specs import JobSpec, StepSpec
from waxwingford.scheduling._suspected_crashes import SuspectedCrash

#: Progress of a step, in tasks, from which on the run time of its tasks is known.
MIN_OBSERVED_PROGRESS = 0.4
#: Later than any monotonic time, in ms.
NEVER_MS = sys.maxsize
#: Progress of a long-running task that is ready, in percent.
READY_PERCENT = 100


class JobPhase(enum.Enum):
    """Life-cycle phase of a job as reported to its caller."""

    queued = 'queued'
    running = 'running'
    completed = 'completed'
    failed = 'failed'
    cancelled = 'cancelled'


class EndReason(enum.Enum):
    """Why a job has ended."""

    #: All of its tasks are done.
    done = 'done'
    #: Its caller has cancelled it.
    cancelled = 'cancelled'
    #: A task has failed as often as its queue allows.
    attempts = 'attempts'
    #: A task is taken for the cause of crashes of its servers.
    crashes = 'crashes'
    #: The store never accepts one of its rows.
    rejected = 'rejected'
    #: Its record says what can't be scheduled.
    invalid = 'invalid'


class RunPhase(enum.Enum):
    """What the owner knows about a run on its server."""

    #: Placed on a server; its record is not stored yet.
    planned = 'planned'
    #: Start order sent, no answer yet.
    sent = 'sent'
    #: Start order sent, answer lost: the run may or may not begin.
    unresolved = 'doubtful'
    #: The server accepted the start order or lists the run.
    present = 'present'
    #: Restored by a new owner, not yet listed by the server.
    inherited = 'inherited'


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """One attempt to execute a task on one server.

    Times are monotonic times of the owner in milliseconds unless stated
    otherwise.

    :ivar incarnation: incarnation of the server to which the start was sent,
        or the one that listed the run.
    :ivar phase_since_ms: time at which the run entered its phase.
    :ivar planned_ms: time at which the run was placed.
    :ivar checkpoint: newest checkpoint that the server listed.
    :ivar percent: progress that the server listed, in percent.
    :ivar listed_ms: time at which it was last listed, 0 for never.
    :ivar listed_clock_ms: the same by the server's clock, in ms.
    :ivar attained_ms: time that it has had between the polls that listed it, at full
        speed, in ms.
    :ivar progress: progress that it was listed to have made in that time, 1 for the
        whole task.
    :ivar progress_changed_ms: time at which the progress last changed.
    :ivar still_ms: time in which its server has listed it without progress since then,
        see ``MAX_LISTING_GAP_MS``.
    :ivar measured_value: tail latency or CPU usage that the server listed, see
        ``RunningReport.measured_value``.
    :ivar pace: pace in percent; ``None`` if it is unknown, because an order got
        no answer or a previous owner set the pace of this best-effort run.
    :ivar paced_ms: time at which the pace last changed.
    :ivar over_target_since_ms: time since which the tail latency exceeds its
        target, 0 if it doesn't.
    :ivar stopping: whether the run is to be stopped.
    :ivar stop_sent_ms: time at which a stop order was last sent, 0 for never.
    :ivar stop_acknowledged_ms: time at which the server first accepted a stop
        order, 0 for never.
    :ivar adopted: whether a previous owner started the run.
    :ivar started_server_clock_ms: server clock when the server accepted the
        start order or first listed the run; ``None`` before.
    :ivar accepted: whether a server is known to have accepted or listed the run.
    :ivar unconfirmed: whether the start timed out on an open connection, so that
        the server may not have begun the run.
    :ivar outlived: whether the server is known to have stayed up for
        ``OUTLIVED_MS`` after the start.
    :ivar begun: whether the incarnation is known to have begun the run, as it
        has listed it, or accepted its start by its own clock.
    :ivar resumed_from: checkpoint that it resumes from, empty for none; that of the
        task for a run of a previous owner, which may have started from an older one.
    :ivar copy: whether it was started beside another run of its task.
    """

    key: RunKey
    incarnation: Incarnation
    phase: RunPhase
    phase_since_ms: int
    planned_ms: int
    checkpoint: str = ''
    percent: float = 0
    listed_ms: int = 0
    listed_clock_ms: int = 0
    attained_ms: float = 0
    progress: float = 0
    progress_changed_ms: int = 0
    still_ms: int = 0
    measured_value: float = 0
    pace: int | None = 100
    paced_ms: int = 0
    over_target_since_ms: int = 0
    stopping: bool = False
    stop_sent_ms: int = 0
    stop_acknowledged_ms: int = 0
    adopted: bool = False
    started_server_clock_ms: int | None = None
    accepted: bool = False
    unconfirmed: bool = False
    outlived: bool = False
    begun: bool = False
    copy: bool = False
    resumed_from: str = ''

    @property
    def resumed(self) -> bool:
        """Whether it resumes from a checkpoint."""
        return self.resumed_from != ''

    @property
    def server_id(self) -> str:
        """Identifier of the server."""
        return self.incarnation.server_id

    @property
    def ready(self) -> bool:
        """Whether the server has listed a long-running task as ready."""
        return self.percent >= READY_PERCENT

    def enter(self, phase: RunPhase, now_ms: int) -> None:
        """Set the phase and when it was entered.

        :param now_ms: current monotonic time, in ms.
        """
        if phase is not self.phase:
            self.phase = phase
            self.phase_since_ms = now_ms


@dataclasses.dataclass(slots=True, eq=False)
class Task:
    """One task of a step.

    :ivar last_run: highest run number so far.
    :ivar failures: number of runs that failed.
    :ivar failed_runs: numbers of the runs that failed, for members of a gang only.
    :ivar suspected_crashes: losses of its servers right after its starts, oldest
        first, since a server was last known to have outlived one.
    :ivar lost_starts: starts whose servers were lost before they answered, since a
        run was last known to have begun.
    :ivar excused_losses: losses of its servers right after its start that came
        together with those of many others.
    :ivar begun: whether a server has accepted or listed a run.
    :ivar done: whether a run completed.
    :ivar checkpoint: checkpoint to resume from, empty for none.
    :ivar copied: whether two runs of the task were present at a time since it was
        pending.
    :ivar saved_percent: progress at which the checkpoint was written at the latest, in
        percent, ``None`` if unknown; it tells which checkpoint of two runs is newer.
    :ivar run_by_number: runs that may be present on a server.
    :ivar avoided: incarnations on which the task failed, made no progress or was
        throttled.
    :ivar failed_on: incarnations on which an attempt failed. They are stored, so that
        the next owner avoids them too; empty for long-running tasks, which have no
        limit of attempts.
    :ivar lost_runs: numbers of runs that were given up before their server
        listed an end; it may list one later.
    :ivar invalid_starts: start orders that servers rejected as invalid.
    :ivar not_before_ms: monotonic time in ms before which the task isn't
        placed, ``NEVER_MS`` while it is held.
    :ivar pending_since_ms: monotonic time in ms since which the task is
        pending; starts of which no run begins don't change it.
    :ivar start_refused_ms: monotonic time in ms at which a server last refused a
        start, 0 for never.
    :ivar left_work_ms: monotonic time in ms at which a ready run last ended by
        itself; 0 if an order ended it, or no ready run of this owner has ended.
    :ivar preemptions: number of times that this owner has preempted the task.
    :ivar best_effort: whether the task uses only CPU that other tasks leave
        idle.
    :ivar long_running: whether the task runs until its job is cancelled.
    :ivar final_row: encoded row of a done task that can't change any more.
    :ivar latest_row: latest encoded row, and what it was encoded from.
    """

    key: TaskKey
    last_run: int = 0
    failures: int = 0
    lost_starts: int = 0
    excused_losses: int = 0
    suspected_crashes: tuple[SuspectedCrash, ...] = ()
    begun: bool = False
    done: bool = False
    checkpoint: str = ''
    copied: bool = False
    saved_percent: float | None = None
    run_by_number: dict[int, Run] = dataclasses.field(default_factory=dict)
    avoided: set[Incarnation] = dataclasses.field(default_factory=set)
    failed_on: list[Incarnation] = dataclasses.field(default_factory=list)
    lost_runs: list[int] = dataclasses.field(default_factory=list)
    failed_runs: list[int] = dataclasses.field(default_factory=list)
    invalid_starts: int = 0
    not_before_ms: int = 0
    pending_since_ms: int = 0
    start_refused_ms: int = 0
    left_work_ms: int = 0
    preemptions: int = 0
    best_effort: bool = False
    long_running: bool = False
    final_row: msgspec.Raw | None = None
    latest_row: tuple[tuple[object, ...], msgspec.Raw] | None = None

    @property
    def may_crash(self) -> bool:
        """Whether servers were lost right after its starts."""
        return bool(self.suspected_crashes or self.lost_starts)

    @property
    def held(self) -> bool:
        """Whether it isn't started until one of the suspected crashes is explained."""
        return self.not_before_ms == NEVER_MS

    def delay(self, until_ms: int) -> None:
        """Don't place it before a time.

        :param until_ms: monotonic time in ms; a later one that was set remains.
        """
        self.not_before_ms = max(self.not_before_ms, until_ms)

    @property
    def crash_evidence(self) -> int:
        """Evidence that it crashes its servers, see ``SUSPECT_EVIDENCE``."""
        return sum(one.evidence for one in self.suspected_crashes)


@dataclasses.dataclass(slots=True, eq=False)
class Step:
    """A step of one repetition of a job.

    :ivar occurrence: index of the repetition, from 0.
    :ivar index: index of the step in the job.
    :ivar tasks: tasks in the order of their index.
    :ivar unfinished: number of tasks that are not done.
    :ivar runs_by_server: tasks by run for each server id; servers without any are
        left out.
    :ivar suspects: indices of tasks that are suspected of crashes, or whose starts
        were lost.
    :ivar released: number of its first tasks that were made pending, or weren't as
        they had a run or were done.
    :ivar stopped_run: latest run of a gang whose remaining members were stopped.
    :ivar judged_run: latest failed run of a gang that was counted as an attempt.
    :ivar checkpoint_to_share: latest checkpoint of a gang, until all members have it.
    :ivar holding: indices of tasks whose suspected crashes hold the task, or its gang.
    :ivar attained_ms: time that its runs have had between the polls that listed
        them, at full speed, in ms.
    :ivar progress: progress that they were listed to have made in that time, in
        tasks.
    :ivar name: key of the step's row in the store: job id, repetition and index,
        joined by dots.
    """

    job: 'Job'
    spec: StepSpec
    occurrence: int
    index: int
    tasks: list[Task]
    unfinished: int
    runs_by_server: dict[str, dict[RunKey, 'Task']] = dataclasses.field(
        default_factory=dict
    )
    suspects: set[int] = dataclasses.field(default_factory=set)
    holding: set[int] = dataclasses.field(default_factory=set)
    released: int = 0
    stopped_run: int = 0
    judged_run: int = 0
    checkpoint_to_share: str | None = None
    attained_ms: float = 0
    progress: float = 0
    name: str = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.name = f'{self.job.spec.job_id}.{self.occurrence}.{self.index}'

    @property
    def observed_ms(self) -> float | None:
        """Run time of its tasks at full speed, in ms, ``None`` if too few ran."""
        if self.progress < MIN_OBSERVED_PROGRESS:
            return None
        return self.attained_ms / self.progress

    def add_run(self, task: Task, run: Run) -> None:
        """Add a run of a task that may be present on a server."""
        task.run_by_number[run.key.run] = run
        server_id = run.incarnation.server_id
        self.runs_by_server.setdefault(server_id, {})[run.key] = task
        self.job.run_count += 1

    def remove_run(self, task: Task, number: int) -> None:
        """Remove a run of a task, if it has it."""
        run = task.run_by_number.pop(number, None)
        if run is None:
            return
        self.job.run_count -= 1
        task_by_run = self.runs_by_server[run.server_id]
        del task_by_run[run.key]
        if not task_by_run:
            del self.runs_by_server[run.server_id]

    def tasks_with_runs(self) -> list[Task]:
        """List the tasks that have a run, those with several runs once."""
        task_by_key = {
            task.key: task
            for task_by_run in self.runs_by_server.values()
            for task in task_by_run.values()
        }
        return list(task_by_key.values())


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """A job and its progress.

    :ivar received_ms: monotonic time in ms at which this owner received the
        job.
    :ivar last_run_ms: monotonic time in ms at which the last run that had begun was
        settled, or at which the job was received.
    :ivar steps_by_occurrence: steps of each repetition that has begun.
    :ivar reported_phase: phase reported to callers; only stored phases are
        reported.
    :ivar ended: final phase that was decided, ``None`` before.
    :ivar blocked: whether no task is started because a row of the job is
        unreadable, or placing a task has failed with an unexpected error.
    :ivar begun: whether a server has accepted or listed a run of any task.
    :ivar occurrences_left: number of repetitions that have not ended.
    :ivar kept_bytes: memory that it may take, in bytes.
    :ivar next_occurrence: index of the next repetition to begin.
    :ivar occurrences_to_release: repetitions of which tasks may be made pending.
    :ivar run_count: number of its runs that may be present on a server.
    :ivar noted_lateness: highest ``Lateness`` that was noted.
    """

    spec: JobSpec
    received_ms: int
    last_run_ms: int
    steps_by_occurrence: dict[int, list[Step]] = dataclasses.field(
        default_factory=dict
    )
    reported_phase: JobPhase = JobPhase.queued
    ended: JobPhase | None = None
    blocked: bool = False
    begun: bool = False
    occurrences_left: int = 1
    noted_lateness: int = 0
    kept_bytes: int = 0
    run_count: int = 0
    next_occurrence: int = 0
    occurrences_to_release: set[int] = dataclasses.field(default_factory=set)

    def task(self, key: TaskKey) -> Task | None:
        """Find a task.

        :returns: task, ``None`` if the job has no such task or its
            repetition has not begun.
        """
        steps = self.steps_by_occurrence.get(key.occurrence)
        if steps is None or not 0 <= key.step < len(steps):
            return None
        tasks = steps[key.step].tasks
        return tasks[key.index] if 0 <= key.index < len(tasks) else None

    def note_begun(self, task: Task) -> None:
        """Note that a server has accepted or listed a run of a task."""
        task.begun = True
        self.begun = True

    def begin(self, occurrence: int) -> list[Step]:
        """Create the steps of a repetition unless they exist.

        :param occurrence: index of the repetition, from 0.
        """
        steps = self.steps_by_occurrence.get(occurrence)
        if steps is None:
            steps = [
                _new_step(self, occurrence, index)
                for index in range(len(self.spec.steps))
            ]
            self.steps_by_occurrence[occurrence] = steps
        return steps


def new_job(spec: JobSpec, now_ms: int) -> Job:
    """Create the state of a newly received job.

    :param now_ms: current monotonic time, in ms.
    :returns: job without any started repetition.
    """
    return Job(
        spec,
        now_ms,
        now_ms,
        occurrences_left=spec.occurrences,
        kept_bytes=spec.kept_bytes,
    )


def _new_step(job: Job, occurrence: int, index: int) -> Step:
    spec = job.spec.steps[index]
    tasks = [
        Task(
            TaskKey(job.spec.job_id, occurrence, index, number),
            best_effort=spec.best_effort,
            long_running=spec.long_running,
        )
        for number in range(spec.count)
    ]
    return Step(job, spec, occurrence, index, tasks, spec.count)
