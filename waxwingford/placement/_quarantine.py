"""Detection of faulty servers and tasks from distinct failures.

A task is faulty if it fails on several servers, a server if several tasks fail
on it; repeated failures of a task on a server count once. Failures on
quarantined servers do not count against the task, and failures of a job that
failed on several servers and never succeeded do not count against the server.
"""

import collections
import dataclasses
from collections.abc import Container

from waxwingford.placement._failures import (
    FailureVerdict,
    QuarantineLimits,
    RetryElsewhere,
    ServerQuarantined,
    TaskStopped,
)

#: Failed tasks stored per server; bounds memory.
_MAX_FAILED_TASKS_PER_SERVER = 64


@dataclasses.dataclass(slots=True)
class _Probation:
    """Probation state of a quarantined server.

    :ivar next_probe_ms: monotonic time from which the next probation task may
        start, in milliseconds.
    :ivar probe_interval_ms: current interval between probation tasks, in
        milliseconds.
    :ivar successes: consecutive probation tasks that succeeded.
    """

    next_probe_ms: int
    probe_interval_ms: int
    successes: int = 0

    def back_off(self, now_ms: int, cap_ms: int) -> None:
        """Double the probe interval after a failed probation task.

        :param now_ms: monotonic time, in milliseconds.
        :param cap_ms: upper bound of the interval, in milliseconds.
        """
        self.successes = 0
        self.probe_interval_ms = min(self.probe_interval_ms * 2, cap_ms)
        self.next_probe_ms = now_ms + self.probe_interval_ms


@dataclasses.dataclass(slots=True)
class _JobOutcomes:
    """Outcomes of the tasks of one job.

    :ivar failed_on: servers on which at least one task failed.
    :ivar has_succeeded: whether any task has succeeded.
    """

    failed_on: set[str] = dataclasses.field(default_factory=set)
    has_succeeded: bool = False

    @property
    def is_suspect(self) -> bool:
        """Check whether failures are attributable to the job itself.

        :returns: True if tasks failed on several servers and none succeeded.
        """
        return len(self.failed_on) > 1 and not self.has_succeeded


def _job_id(task_id: str) -> str:
    """Extract the job id from a task id.

    :param task_id: ``<job id>/<index>``.
    """
    return task_id.rpartition('/')[0]


class Quarantine:
    """Counts failures, quarantines servers and stops tasks.

    :ivar limits: thresholds; may be replaced, which does not release servers
        that are already in quarantine.
    """

    def __init__(self, limits: QuarantineLimits | None = None) -> None:
        """Create an instance without recorded failures.

        :param limits: thresholds; the defaults if None.
        """
        self.limits = limits or QuarantineLimits()
        self._failed_tasks_by_server: dict[str, set[str]] = (
            collections.defaultdict(set)
        )
        self._failed_servers_by_task: dict[str, set[str]] = (
            collections.defaultdict(set)
        )
        self._outcomes_by_job: dict[str, _JobOutcomes] = (
            collections.defaultdict(_JobOutcomes)
        )
        self._probation_by_server: dict[str, _Probation] = {}
        self._stopped_tasks: set[str] = set()

    @property
    def quarantined(self) -> frozenset[str]:
        """Identifiers of the quarantined servers."""
        return frozenset(self._probation_by_server)

    def failed(
        self,
        task_id: str,
        server_id: str,
        now_ms: int,
        server_count: int,
    ) -> FailureVerdict:
        """Record a failed attempt.

        :param now_ms: monotonic time, in milliseconds.
        :param server_count: total number of servers, which limits how many
            may be in quarantine.
        """
        if (
            len(self._failed_tasks_by_server[server_id])
            < _MAX_FAILED_TASKS_PER_SERVER
        ):
            self._failed_tasks_by_server[server_id].add(task_id)
        self._failed_servers_by_task[task_id].add(server_id)
        self._record_job_failure(_job_id(task_id), server_id)
        probation = self._probation_by_server.get(server_id)
        if probation is not None:
            probation.back_off(now_ms, self.limits.max_probation_ms)
            return RetryElsewhere()
        if self._should_quarantine(server_id, server_count):
            return self._start_probation(server_id, now_ms)
        healthy_servers = self.failed_on(task_id)
        if len(healthy_servers) >= self.limits.servers_per_task:
            self._stopped_tasks.add(task_id)
            return TaskStopped(task_id, healthy_servers)
        return RetryElsewhere()

    def succeeded(self, task_id: str, server_id: str) -> None:
        """Record a success, which clears the server's earlier failures."""
        self.forget_task(task_id)
        self._outcomes_by_job[_job_id(task_id)].has_succeeded = True
        self._failed_tasks_by_server.pop(server_id, None)
        probation = self._probation_by_server.get(server_id)
        if probation is None:
            return
        probation.successes += 1
        if probation.successes >= self.limits.probation_tasks:
            self._probation_by_server.pop(server_id)

    def forget_task(self, task_id: str) -> None:
        """Discard the record of a task that has ended.

        Its failures still count against servers.
        """
        self._failed_servers_by_task.pop(task_id, None)
        self._stopped_tasks.discard(task_id)

    def forget_job(self, job_id: str) -> None:
        """Discard the record of a job that has ended.

        Failures of a suspect job are discarded too; otherwise they would count
        against every server that ran its tasks.
        """
        outcomes = self._outcomes_by_job.pop(job_id, None)
        if outcomes is None or not outcomes.is_suspect:
            return
        for server_id in outcomes.failed_on:
            task_ids = self._failed_tasks_by_server.get(server_id, set())
            task_ids -= {one for one in task_ids if _job_id(one) == job_id}

    def retain_servers(self, server_ids: Container[str]) -> None:
        """Discard the records of servers that no longer exist."""
        recorded = (
            self._failed_tasks_by_server.keys()
            | self._probation_by_server.keys()
        )
        for server_id in recorded:
            if server_id not in server_ids:
                self._failed_tasks_by_server.pop(server_id, None)
                self._probation_by_server.pop(server_id, None)

    def is_quarantined(self, server_id: str) -> bool:
        """Check whether a server accepts only probation tasks."""
        return server_id in self._probation_by_server

    def is_probe_due(self, server_id: str, now_ms: int) -> bool:
        """Check whether a quarantined server may get a probation task.

        Quarantined servers for which this is False must not be passed to
        :meth:`ColocationPolicy.place`.

        :param now_ms: monotonic time, in milliseconds.
        :returns: True if a probation task is due; False if not, or if the
            server is not in quarantine.
        """
        probation = self._probation_by_server.get(server_id)
        return probation is not None and now_ms >= probation.next_probe_ms

    def record_probe(self, server_id: str, now_ms: int) -> None:
        """Record the start of a probation task and defer the next one.

        :param now_ms: monotonic time, in milliseconds.
        """
        probation = self._probation_by_server.get(server_id)
        if probation is not None:
            probation.next_probe_ms = now_ms + probation.probe_interval_ms

    def is_stopped(self, task_id: str) -> bool:
        """Check whether a task was stopped after failing on several servers."""
        return task_id in self._stopped_tasks

    def failed_on(self, task_id: str) -> tuple[str, ...]:
        """List the healthy servers on which a task failed.

        :returns: sorted identifiers of servers, excluding those in quarantine.
        """
        return tuple(
            sorted(
                server_id
                for server_id in self._failed_servers_by_task.get(task_id, ())
                if server_id not in self._probation_by_server
            ),
        )

    def _record_job_failure(self, job_id: str, server_id: str) -> None:
        outcomes = self._outcomes_by_job[job_id]
        was_suspect = outcomes.is_suspect
        outcomes.failed_on.add(server_id)
        if was_suspect or not outcomes.is_suspect:
            return
        # Failures that quarantined a server may prove attributable to the job
        # once it has failed on a second server.
        for quarantined_id in list(self._probation_by_server):
            if not self._has_enough_failures(quarantined_id):
                self._probation_by_server.pop(quarantined_id)

    def _should_quarantine(self, server_id: str, server_count: int) -> bool:
        if not self._has_enough_failures(server_id):
            return False
        max_quarantined = max(
            1, int(self.limits.max_quarantined_share * server_count)
        )
        if len(self._probation_by_server) < max_quarantined:
            return True
        # Release the quarantined server with the fewest failures, so that the
        # servers that fail most stay in quarantine when the cap is reached.
        failure_count_by_server = {
            one: len(self._failed_tasks_by_server[one])
            for one in self._probation_by_server
        }
        least_failing_id = min(
            failure_count_by_server, key=failure_count_by_server.__getitem__
        )
        failed = len(self._failed_tasks_by_server[server_id])
        if failure_count_by_server[least_failing_id] >= failed:
            return False
        self._probation_by_server.pop(least_failing_id)
        return True

    def _has_enough_failures(self, server_id: str) -> bool:
        # A faulty job whose tasks fail on many servers must not quarantine
        # healthy ones, so failures of suspect jobs are excluded.
        counted_tasks = [
            task_id
            for task_id in self._failed_tasks_by_server[server_id]
            if (outcomes := self._outcomes_by_job.get(_job_id(task_id))) is None
            or not outcomes.is_suspect
        ]
        return len(counted_tasks) >= self.limits.tasks_per_server

    def _start_probation(
        self, server_id: str, now_ms: int
    ) -> ServerQuarantined:
        probe_interval_ms = self.limits.probation_ms
        probation = _Probation(now_ms + probe_interval_ms, probe_interval_ms)
        self._probation_by_server[server_id] = probation
        task_ids = tuple(sorted(self._failed_tasks_by_server[server_id]))
        return ServerQuarantined(server_id, task_ids)
