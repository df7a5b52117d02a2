"""Tasks that wait for a server, by key and by step."""

import bisect
import itertools
import math
from collections.abc import Iterator, Mapping

from waxwingford.scheduling._backend_client import TaskKey
from waxwingford.scheduling._state import Task

#: Tasks of a step that are looked at for one that may start.
MAX_LOOKS = 16
#: Place of a task among those of its step; its index comes last.
Place = tuple[int, ...]


class PendingStep:
    """Pending tasks of one step, in the order in which they are placed.

    :ivar occurrence: index of the repetition, from 0.
    :ivar index: index of the step in the job.
    :ivar best_effort: whether its tasks use only CPU that others leave idle.
    :ivar places: places of its tasks, in order.
    """

    def __init__(self, key: TaskKey, best_effort: bool) -> None:
        """Start without any task.

        :param key: key of a task of the step.
        """
        self.occurrence = key.occurrence
        self.index = key.step
        self.best_effort = best_effort
        self.places: list[Place] = []
        #: Places that don't follow from the index alone.
        self._place_by_index: dict[int, Place] = {}
        self._offset = 0

    def add(self, task: Task) -> None:
        """Add a task."""
        place: Place = (task.key.index,)
        if task.long_running:
            # Those that ran before, and have waited longest, come first.
            new = not task.last_run
            place = (new, task.pending_since_ms, task.key.index)
            self._place_by_index[task.key.index] = place
        bisect.insort(self.places, place)

    def discard(self, index: int) -> None:
        """Remove a task by its index in the step."""
        place = self._place_by_index.pop(index, (index,))
        del self.places[bisect.bisect_left(self.places, place)]

    def rotated(self) -> list[Place]:
        """Copy the places, beginning where the search was ended before."""
        offset = self._offset % max(1, len(self.places))
        return self.places[offset:] + self.places[:offset]

    def skip(self, count: int) -> None:
        """Begin further on in the next round, as a search has ended there."""
        self._offset = (self._offset + count) % max(1, len(self.places))


class PendingTasks(Mapping[TaskKey, Task]):
    """Pending tasks by key.

    :ivar steps_by_job: steps with pending tasks by job, in the order in which they
        are looked at.
    """

    def __init__(self) -> None:
        self.steps_by_job: dict[str, dict[tuple[int, int], PendingStep]] = {}
        self._task_by_key: dict[TaskKey, Task] = {}

    def __getitem__(self, key: TaskKey) -> Task:
        """Return a task."""
        return self._task_by_key[key]

    def __iter__(self) -> Iterator[TaskKey]:
        """Iterate over the keys."""
        return iter(self._task_by_key)

    def __len__(self) -> int:
        """Return the number of tasks."""
        return len(self._task_by_key)

    def __contains__(self, key: object) -> bool:
        """Tell whether a task is pending."""
        return key in self._task_by_key

    def add(self, task: Task) -> None:
        """Add a task, or replace it."""
        key = task.key
        if key in self._task_by_key:
            self.discard(key)
        self._task_by_key[key] = task
        steps = self.steps_by_job.setdefault(key.job_id, {})
        step = steps.get((key.occurrence, key.step))
        if step is None:
            step = PendingStep(key, task.best_effort)
            steps[key.occurrence, key.step] = step
        step.add(task)

    def discard(self, key: TaskKey) -> None:
        """Remove a task, if it is pending."""
        if self._task_by_key.pop(key, None) is None:
            return
        steps = self.steps_by_job[key.job_id]
        step = steps[key.occurrence, key.step]
        step.discard(key.index)
        if not step.places:
            del steps[key.occurrence, key.step]
        if not steps:
            del self.steps_by_job[key.job_id]

    def discard_job(self, job_id: str) -> None:
        """Remove all tasks of a job."""
        steps = self.steps_by_job.pop(job_id, {})
        for (occurrence, index), step in steps.items():
            for place in step.places:
                del self._task_by_key[
                    TaskKey(job_id, occurrence, index, place[-1])
                ]

    def postpone(self, job_id: str, occurrence: int, index: int) -> None:
        """Look at a step after all others of its job."""
        steps = self.steps_by_job.get(job_id, {})
        step = steps.pop((occurrence, index), None)
        if step is not None:
            steps[occurrence, index] = step

    def first_tasks(self, now_ms: float = math.inf) -> Iterator[Task]:
        """Yield a task of each step, the first one that may start.

        :param now_ms: monotonic time, in ms; some tasks of each step are looked at.
        """
        for job_id, steps in self.steps_by_job.items():
            for (occurrence, index), step in steps.items():
                keys = (
                    TaskKey(job_id, occurrence, index, place[-1])
                    for place in step.places[:MAX_LOOKS]
                )
                tasks = map(self._task_by_key.__getitem__, keys)
                due = (task for task in tasks if task.not_before_ms <= now_ms)
                yield from itertools.islice(due, 1)


__all__ = ('PendingStep', 'PendingTasks', 'Place')
