"""Bad servers and bad tasks, told apart by failures of (task, server) pairs.

A task that fails on many servers is bad itself; a server on which many tasks
fail is bad itself.  Each pair counts once, failures on a server that is known
to be bad say nothing about the task, and tasks of a job that has failed on
several servers and ended well on none say nothing about a server.
"""

import collections
import dataclasses
from collections.abc import Container

from waxwingford.placement._failures import (
    FailureVerdict,
    QuarantineLimits,
    ServerQuarantined,
    TaskStopped,
    TryElsewhere,
)

#: Failed tasks remembered for each server; bounds memory in bad nights.
_REMEMBERED_TASKS = 64


@dataclasses.dataclass(slots=True)
class _Probation:
    """A quarantined server.

    :ivar next_ms: monotonic time of the next probation task.
    :ivar wait_ms: present wait between probation tasks.
    :ivar passed: probation tasks in a row that ended well.
    """

    next_ms: int
    wait_ms: int
    passed: int = 0

    def extend(self, now_ms: int, cap_ms: int) -> None:
        """Wait longer after a probation task that failed.

        :param now_ms: monotonic time, in milliseconds.
        :param cap_ms: longest wait, in milliseconds.
        """
        self.passed = 0
        self.wait_ms = min(self.wait_ms * 2, cap_ms)
        self.next_ms = now_ms + self.wait_ms


@dataclasses.dataclass(slots=True)
class _Job:
    """What the tasks of one job say together.

    :ivar failed_on: servers on which one of them failed.
    :ivar ended_well: whether one of them ended well anywhere.
    """

    failed_on: set[str] = dataclasses.field(default_factory=set)
    ended_well: bool = False

    @property
    def is_suspect(self) -> bool:
        """Tell whether the job rather than a server may be at fault.

        :returns: whether it failed on several servers and succeeded nowhere.
        """
        return len(self.failed_on) > 1 and not self.ended_well


def _job_id(task_id: str) -> str:
    """Take the job's id out of a task's.

    :param task_id: ``<job id>/<index>``.
    :returns: the job id.
    """
    return task_id.rpartition('/')[0]


class Quarantine:
    """Counts failures and decides whom to give up.

    :ivar limits: when to; others may be put in force, and who is in
        quarantine stays there.
    """

    def __init__(self, limits: QuarantineLimits | None = None) -> None:
        """Start with everyone sound.

        :param limits: when to give up.
        """
        self.limits = limits or QuarantineLimits()
        self._tasks_by_server: dict[str, set[str]] = collections.defaultdict(
            set,
        )
        self._servers_by_task: dict[str, set[str]] = collections.defaultdict(
            set,
        )
        self._job_by_id: dict[str, _Job] = collections.defaultdict(_Job)
        self._probation_by_server: dict[str, _Probation] = {}
        self._stopped: set[str] = set()

    @property
    def quarantined(self) -> frozenset[str]:
        """List the servers in quarantine.

        :returns: their names.
        """
        return frozenset(self._probation_by_server)

    def failed(
        self,
        task_id: str,
        server_id: str,
        now_ms: int,
        server_count: int,
    ) -> FailureVerdict:
        """Count a failure.

        :param task_id: the task.
        :param server_id: the server.
        :param now_ms: monotonic time, in milliseconds.
        :param server_count: servers that the caller knows, for the cap.
        :returns: what is given up, if anything.
        """
        if len(self._tasks_by_server[server_id]) < _REMEMBERED_TASKS:
            self._tasks_by_server[server_id].add(task_id)
        self._servers_by_task[task_id].add(server_id)
        self._blame_job(_job_id(task_id), server_id)
        probation = self._probation_by_server.get(server_id)
        if probation is not None:
            probation.extend(now_ms, self.limits.probation_cap_ms)
            return TryElsewhere()
        if self._is_bad_server(server_id, server_count):
            return self._quarantine(server_id, now_ms)
        sound = self.failed_on(task_id)
        if len(sound) >= self.limits.servers_per_task:
            self._stopped.add(task_id)
            return TaskStopped(task_id, sound)
        return TryElsewhere()

    def succeeded(self, task_id: str, server_id: str) -> None:
        """Count a good end; it clears the server's earlier failures.

        :param task_id: the task.
        :param server_id: the server.
        """
        self.forget_task(task_id)
        self._job_by_id[_job_id(task_id)].ended_well = True
        self._tasks_by_server.pop(server_id, None)
        probation = self._probation_by_server.get(server_id)
        if probation is None:
            return
        probation.passed += 1
        if probation.passed >= self.limits.probation_tasks:
            self._probation_by_server.pop(server_id)

    def forget_task(self, task_id: str) -> None:
        """Drop what is known of a task that is over.

        What it says of servers stays: a server that fails tasks which are
        then cancelled is still bad.

        :param task_id: which one.
        """
        self._servers_by_task.pop(task_id, None)
        self._stopped.discard(task_id)

    def forget_job(self, job_id: str) -> None:
        """Drop what is known of a job that is over.

        Failures of a suspect job go with it: once nothing tells that the job
        was bad, they would speak against every server that ran its tasks.

        :param job_id: which one.
        """
        job = self._job_by_id.pop(job_id, None)
        if job is None or not job.is_suspect:
            return
        for server_id in job.failed_on:
            task_ids = self._tasks_by_server.get(server_id, set())
            task_ids -= {one for one in task_ids if _job_id(one) == job_id}

    def keep_servers(self, server_ids: Container[str]) -> None:
        """Drop what is known of all other servers, such as VMs replaced.

        :param server_ids: servers that exist.
        """
        known = self._tasks_by_server.keys() | self._probation_by_server.keys()
        for server_id in known:
            if server_id not in server_ids:
                self._tasks_by_server.pop(server_id, None)
                self._probation_by_server.pop(server_id, None)

    def is_quarantined(self, server_id: str) -> bool:
        """Tell whether a server gets at most probation tasks.

        :param server_id: which one.
        :returns: whether it is in quarantine.
        """
        return server_id in self._probation_by_server

    def may_probe(self, server_id: str, now_ms: int) -> bool:
        """Tell whether a probation task is due.

        :param server_id: which one.
        :param now_ms: monotonic time, in milliseconds.
        :returns: False for a server that is not in quarantine; leave one that
            is, and for which this is False, out of ``place``.
        """
        probation = self._probation_by_server.get(server_id)
        return probation is not None and now_ms >= probation.next_ms

    def note_probe(self, server_id: str, now_ms: int) -> None:
        """Note that a probation task goes there; the next one waits.

        :param server_id: which one.
        :param now_ms: monotonic time, in milliseconds.
        """
        probation = self._probation_by_server.get(server_id)
        if probation is not None:
            probation.next_ms = now_ms + probation.wait_ms

    def is_stopped(self, task_id: str) -> bool:
        """Tell whether a task was given up.

        :param task_id: which one.
        :returns: whether it was.
        """
        return task_id in self._stopped

    def failed_on(self, task_id: str) -> tuple[str, ...]:
        """List the sound servers on which a task failed.

        :param task_id: which one.
        :returns: their names in order, without those in quarantine.
        """
        return tuple(
            sorted(
                server_id
                for server_id in self._servers_by_task.get(task_id, ())
                if server_id not in self._probation_by_server
            ),
        )

    def _blame_job(self, job_id: str, server_id: str) -> None:
        job = self._job_by_id[job_id]
        was_suspect = job.is_suspect
        job.failed_on.add(server_id)
        if was_suspect or not job.is_suspect:
            return
        # The first server to run a bad job looks bad until the job has failed
        # on a second one; only then does it come to light, so look again.
        for quarantined_id in list(self._probation_by_server):
            if not self._has_witnesses(quarantined_id):
                self._probation_by_server.pop(quarantined_id)

    def _is_bad_server(self, server_id: str, server_count: int) -> bool:
        if not self._has_witnesses(server_id):
            return False
        allowed = max(1, int(self.limits.capped_share * server_count))
        if len(self._probation_by_server) < allowed:
            return True
        # First come, first kept would leave the worst servers at work when a
        # whole rack begins to fail: the best one in quarantine makes room.
        failed_by_server = {
            one: len(self._tasks_by_server[one])
            for one in self._probation_by_server
        }
        best_id = min(failed_by_server, key=failed_by_server.__getitem__)
        failed = len(self._tasks_by_server[server_id])
        if failed_by_server[best_id] >= failed:
            return False
        self._probation_by_server.pop(best_id)
        return True

    def _has_witnesses(self, server_id: str) -> bool:
        # Without leaving suspect jobs out, one bad job of many tasks, whose
        # first failures are spread over all servers, quarantines good ones.
        witnesses = [
            task_id
            for task_id in self._tasks_by_server[server_id]
            if (job := self._job_by_id.get(_job_id(task_id))) is None
            or not job.is_suspect
        ]
        return len(witnesses) >= self.limits.tasks_per_server

    def _quarantine(self, server_id: str, now_ms: int) -> ServerQuarantined:
        wait_ms = self.limits.probation_ms
        probation = _Probation(now_ms + wait_ms, wait_ms)
        self._probation_by_server[server_id] = probation
        task_ids = tuple(sorted(self._tasks_by_server[server_id]))
        return ServerQuarantined(server_id, task_ids)
