"""Pending tasks of an emulated failure domain, kept by the product's trackers."""

from waxwingford.placement import (
    PendingTask,
    QuotaTracker,
    SizeTracker,
    TeamName,
    never_fits,
    subtract,
    total_of,
)
from waxwingford.ports import TaskKey
from waxwingford_bench.colocation._attempts import Attempt
from waxwingford_bench.colocation._deployments import VM_RESERVED, VM_TOTAL
from waxwingford_bench.colocation._views import slack_ms
from waxwingford_bench.colocation._workload import Task

_MS_IN_S = 1000
_OFFER = subtract(VM_TOTAL, VM_RESERVED)


class Backlog:
    """Pending tasks with quotas and corrected sizes.

    :ivar quotas: order of the pending tasks.
    """

    def __init__(self, servers: int) -> None:
        """Start empty.

        :param servers: servers of the failure domain.
        """
        self.quotas = QuotaTracker(total_of(_OFFER for _ in range(servers)))
        self._sizes = SizeTracker()
        self._task_by_key: dict[TaskKey, Task] = {}

    def can_run(self, task: Task) -> bool:
        """Tell whether some server is large enough.

        :param task: which one.
        :returns: False for a task to be refused.
        """
        return never_fits(task.declared, [_OFFER]) is None

    def add(self, task: Task, now_s: int) -> None:
        """Take a task in, unless it was cancelled.

        :param task: which one.
        :param now_s: time of the run, in seconds.
        """
        if task.cancelled:
            return
        key = TaskKey(task.task_id, task.attempt)
        given = self._sizes.given(task.member, task.kind, task.declared, _OFFER)
        declared_ms = int(task.declared_run_s * _MS_IN_S)
        run_ms = self._sizes.run_ms(task.member, task.kind, declared_ms)
        run_ms = max(run_ms - int(task.progress_s * _MS_IN_S), _MS_IN_S)
        self._task_by_key[key] = task
        pending = PendingTask(
            key,
            task.member,
            task.team,
            task.kind,
            given,
            run_ms,
            task.priority,
            (now_s - task.submitted_s) * _MS_IN_S,
            slack_ms(task, run_ms, now_s),
            'checkpoint' if task.checkpoint_server else '',
            task.failed_on,
            task.checkpoint_server,
        )
        self.quotas.add(pending, now_s * _MS_IN_S)

    def take(self, pending: PendingTask, now_s: int) -> Attempt | None:
        """Take a task out that was placed.

        :param pending: which one.
        :param now_s: time of the run, in seconds.
        :returns: its attempt, or None if it was cancelled meanwhile.
        """
        task = self._task_by_key.pop(pending.key)
        self.quotas.remove(pending.key)
        if task.cancelled:
            return None
        name = TeamName(task.member, task.team)
        self.quotas.charge(name, pending.resources)
        return Attempt(task, pending.key, pending.resources, now_s)

    def note_over(self, attempt: Attempt) -> None:
        """Give back what an attempt had, and learn what it used.

        :param attempt: which one.
        """
        task = attempt.task
        self.quotas.release(TeamName(task.member, task.team), attempt.given)
        self._sizes.observe_use(task.member, task.kind, task.used)

    def note_done(self, task: Task) -> None:
        """Learn the run time of a task that came to its end.

        :param task: which one.
        """
        declared_ms = int(task.declared_run_s * _MS_IN_S)
        ran_ms = int(task.run_s * _MS_IN_S)
        self._sizes.observe_run(task.member, task.kind, declared_ms, ran_ms)
