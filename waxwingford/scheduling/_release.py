"""Makes the tasks pending whose steps have no open dependency, a part at a time."""

from waxwingford.scheduling._containment import attempt
from waxwingford.scheduling._shard_state import ShardState, block_job
from waxwingford.scheduling._state import Job, Step

#: Tasks that one decision makes pending, of all jobs and of one. The others follow with
#: the next decisions, so that small jobs don't wait for a large one.
MAX_RELEASED_TASKS = 8000
MAX_RELEASED_TASKS_OF_JOB = 6000
#: Steps that are looked at in the time of making a task pending.
STEPS_PER_TASK = 10


class TaskRelease:
    """Jobs whose tasks may be made pending."""

    def __init__(self, state: ShardState) -> None:
        self._state = state
        self._job_by_id: dict[str, Job] = {}
        self._timed_job_by_id: dict[str, Job] = {}

    def add(self, job: Job) -> None:
        """Look at a job with the next decision, as it is new or has changed."""
        self._job_by_id[job.spec.job_id] = job
        if job.spec.times:
            self._timed_job_by_id[job.spec.job_id] = job

    def release(self, now_ms: int, wall_ms: int) -> None:
        """Make tasks pending.

        :param now_ms: current monotonic time, in ms.
        :param wall_ms: current Unix time, in ms, for timed jobs.
        """
        to_release = {**self._job_by_id, **self._timed_job_by_id}
        self._job_by_id = {}
        left = MAX_RELEASED_TASKS
        for job_id, job in to_release.items():
            if left <= 0:
                self._job_by_id[job_id] = job
                continue
            part = _Part(self._state, job, now_ms, wall_ms)
            if not attempt(self._state.notes, 'release', job_id, part.release):
                block_job(self._state, job_id)
            elif part.is_left:
                self._job_by_id[job_id] = job
            left -= MAX_RELEASED_TASKS_OF_JOB - part.left
            if job.ended is not None:
                self._timed_job_by_id.pop(job_id, None)


class _Part:
    # What one decision releases of a job.

    def __init__(
        self, state: ShardState, job: Job, now_ms: int, wall_ms: int
    ) -> None:
        self.left = MAX_RELEASED_TASKS_OF_JOB
        self.is_left = False
        self._state = state
        self._job = job
        self._now_ms = now_ms
        self._due = _count_due(job, wall_ms)

    def release(self) -> None:
        """Begin repetitions that are due, and make tasks pending."""
        job = self._job
        if job.ended is not None or job.blocked:
            return
        self._begin_due()
        for occurrence in sorted(job.occurrences_to_release):
            if self.left <= 0:
                break
            if self._release_steps(job.steps_by_occurrence[occurrence]):
                job.occurrences_to_release.discard(occurrence)
        waiting = job.next_occurrence < self._due
        self.is_left = waiting or bool(job.occurrences_to_release)

    def _begin_due(self) -> None:
        """Begin repetitions that are due, at least one of them."""
        job = self._job
        tasks = sum(step.count for step in job.spec.steps)
        most = max(1, MAX_RELEASED_TASKS_OF_JOB // max(1, tasks))
        until = min(self._due, job.next_occurrence + most)
        for occurrence in range(job.next_occurrence, until):
            job.begin(occurrence)
            job.occurrences_to_release.add(occurrence)
        job.next_occurrence = max(job.next_occurrence, until)

    def _release_steps(self, steps: list[Step]) -> bool:
        """Make tasks pending of the steps of a repetition.

        :returns: whether none is left that could be.
        """
        self.left -= len(steps) // STEPS_PER_TASK
        for step in steps:
            if not (_is_released(step) or _is_blocked(step, steps)):
                self._make_pending(step)
                if not _is_released(step):
                    return False
        return True

    def _make_pending(self, step: Step) -> None:
        state = self._state
        part = step.tasks[step.released : step.released + max(0, self.left)]
        for task in part:
            pending = not (task.done or task.run_by_number)
            if pending and task.key not in state.pending_by_key:
                # A previous owner may have stored when the task became pending.
                task.pending_since_ms = task.pending_since_ms or self._now_ms
                state.pending_by_key.add(task)
        step.released += len(part)
        self.left -= len(part)


def _count_due(job: Job, wall_ms: int) -> int:
    """Count the repetitions of a job that are due.

    :param wall_ms: current Unix time, in ms.
    :returns: number of due repetitions; 1 for a job that isn't timed.
    """
    spec = job.spec
    if not spec.times:
        return 1
    if wall_ms < spec.first_due_ms:
        return 0
    elapsed = (wall_ms - spec.first_due_ms) // max(1, spec.every_ms)
    return min(spec.times, elapsed + 1)


def _is_released(step: Step) -> bool:
    return step.released == len(step.tasks) or not step.unfinished


def _is_blocked(step: Step, steps: list[Step]) -> bool:
    return any(
        steps[index].unfinished
        for index in step.spec.after
        if index < len(steps)
    )


__all__ = ('TaskRelease',)
