"""Pending tasks of a failure domain, managed by the production trackers."""

from waxwingford.placement import (
    PendingTask,
    QuotaTracker,
    SizeTracker,
    TeamName,
    check_feasibility,
    subtract,
    sum_resources,
)
from waxwingford.ports import AttemptKey
from waxwingford_bench.colocation._attempts import Attempt
from waxwingford_bench.colocation._deployments import VM_RESERVED, VM_TOTAL
from waxwingford_bench.colocation._views import slack_ms
from waxwingford_bench.colocation._workload import Task

_MS_IN_S = 1000
_OFFER = subtract(VM_TOTAL, VM_RESERVED)


class Backlog:
    """Pending tasks with quotas and corrected sizes.

    :ivar quotas: quota tracker, which orders the pending tasks.
    """

    def __init__(self, servers: int) -> None:
        """Create an empty backlog.

        :param servers: number of servers in the failure domain.
        """
        self.quotas = QuotaTracker(
            sum_resources(_OFFER for _ in range(servers))
        )
        self._sizes = SizeTracker()
        self._task_by_key: dict[AttemptKey, Task] = {}

    def can_run(self, task: Task) -> bool:
        """Check whether a task fits on an empty server.

        :param task: submitted task.
        :returns: False if the task must be refused.
        """
        return check_feasibility(task.declared, [_OFFER]) is None

    def add(self, task: Task, now_s: int) -> None:
        """Add a pending task unless it was cancelled.

        :param task: task to add.
        :param now_s: virtual time, in seconds.
        """
        if task.cancelled:
            return
        key = AttemptKey(task.task_id, task.attempt)
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
        """Remove a placed task and charge its quota.

        :param pending: placed task.
        :param now_s: virtual time, in seconds.
        :returns: new attempt, or None if the task was cancelled meanwhile.
        """
        task = self._task_by_key.pop(pending.key)
        self.quotas.remove(pending.key)
        if task.cancelled:
            return None
        name = TeamName(task.member, task.team)
        self.quotas.charge(name, pending.resources)
        return Attempt(task, pending.key, pending.resources, now_s)

    def record_end(self, attempt: Attempt) -> None:
        """Release the quota of an ended attempt and record its usage.

        :param attempt: ended attempt.
        """
        task = attempt.task
        self.quotas.release(TeamName(task.member, task.team), attempt.allocated)
        self._sizes.record_peak_usage(task.member, task.kind, task.used)

    def record_completion(self, task: Task) -> None:
        """Record the run time of a completed task.

        :param task: completed task.
        """
        declared_ms = int(task.declared_run_s * _MS_IN_S)
        ran_ms = int(task.run_s * _MS_IN_S)
        self._sizes.record_run_time(task.member, task.kind, declared_ms, ran_ms)
