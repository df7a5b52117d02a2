"""Read-only queries of the batch task."""

from waxwingford.batch._controller import DomainController
from waxwingford.batch._messages import BundleSettings, VmListRead
from waxwingford.batch._pending_reason import pending_reason
from waxwingford.batch._status import (
    ServerStatus,
    TaskCounts,
    server_status,
    task_counts,
)
from waxwingford.batch._views import (
    JobView,
    find_job,
    list_jobs,
)
from waxwingford.kernel import Clock
from waxwingford.routing import LeasedServer


class BatchQueries:
    """Answers queries from the state of the controller."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._controller: DomainController | None = None
        self._bundle: BundleSettings | None = None
        self._last_vm_list: VmListRead | None = None
        self._load_problem = 'snapshot not loaded yet'

    def _record_load_problem(self, problem: str) -> None:
        self._load_problem = problem

    def jobs(self, member: str) -> list[JobView]:
        """List a member's jobs.

        :returns: views without their tasks; finished jobs last.
        """
        if self._controller is None:
            return []
        return list_jobs(self._controller.state, member)

    def job(self, job_id: str, member: str) -> JobView | None:
        """Return one job with its tasks and why they are pending.

        :param member: member that makes the request.
        :returns: the view; None if the member has no such job.
        """
        controller = self._controller
        if controller is None:
            return None
        return find_job(controller.state, job_id, member, self.pending_reason)

    def pending_reason(self, task_id: str) -> str:
        """Explain why a task is pending.

        :returns: human-readable reason; empty if it is not pending.
        """
        controller = self._controller
        task = controller.state.task(task_id) if controller else None
        if controller is None or task is None:
            return ''
        return pending_reason(
            task,
            controller.state,
            controller.fleet,
            controller.placer,
            controller.stream.log_error,
        )

    def held_servers(self) -> tuple[LeasedServer, ...]:
        """List the servers whose control lease is held.

        :returns: the servers, as routing uses them.
        """
        controller = self._controller
        if controller is None:
            return ()
        now_ms = self._clock.monotonic_ms()
        wall_ms = self._clock.wall_ms()
        return tuple(
            LeasedServer(
                server_id,
                server.vm.rack,
                server.vm.service,
                server.vm.host,
                server.vm.port,
                server.vm.slots,
                server.vm.connections,
                controller.placer.predicted_ms(
                    server, controller.state, wall_ms
                ),
                server.leaving,
                server.lease.until_ms,
                server.lease.boot_id,
            )
            for server_id, server in controller.fleet.held(now_ms).items()
        )

    def readiness(self) -> list[str]:
        """List what is missing before this daemon can control batch work.

        :returns: human-readable reasons; empty when it is ready.
        """
        controller = self._controller
        if controller is None:
            return [self._load_problem]
        checks = (
            (bool(controller.stream.gap), controller.stream.gap),
            (
                controller.stream.head_read_ms is None,
                'log not read to its head yet',
            ),
            (self._bundle is None, 'no bundle is in force'),
            (self._last_vm_list is None, 'list of VMs not read yet'),
        )
        return [missing for is_missing, missing in checks if is_missing]

    def server_status(self) -> list[ServerStatus]:
        """Describe the held servers, for the daemon's status."""
        if self._controller is None:
            return []
        return server_status(self._controller, self._clock.monotonic_ms())

    def task_counts(self) -> TaskCounts:
        """Count the tasks of the failure domain."""
        if self._controller is None:
            return TaskCounts(0, 0)
        return task_counts(self._controller)

    def pop_released_servers(self) -> tuple[str, ...]:
        """Return the servers released since the last call.

        :returns: ids of the servers, for an immediate heartbeat to peers.
        """
        if self._controller is None:
            return ()
        released = tuple(self._controller.fleet.released)
        self._controller.fleet.released.clear()
        return released
