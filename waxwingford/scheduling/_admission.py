"""Selects the servers that may start a best-effort task.

Starting a task where it interferes pushes its neighbours over their targets
until it is throttled, and a throttled task only holds memory. Best-effort tasks
therefore wait for a server that can run them at most of their speed.
"""

import itertools
from typing import NamedTuple

from waxwingford.scheduling._colocated_runs import full_pace_share
from waxwingford.scheduling._interference import InterferenceModel
from waxwingford.scheduling._server_selection import ServerSelection
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._shard_state import has_runs
from waxwingford.scheduling._state import Job, Step

#: Share of its full speed at which a server must be able to run a task.
MIN_SPEED_SHARE = 0.8
#: Idle time of a job after which its tasks may also start on a server that can
#: run them at a part of that speed, in ms.
REDUCED_SPEED_AFTER_MS = 1500
#: Idle time of a job after which its tasks may start on any server, in ms.
ANY_SERVER_AFTER_MS = 2600
#: Share of a service's CPU in use by tasks that aren't best-effort from which
#: on ``ANY_SERVER_AFTER_MS`` doesn't apply.
CROWDED_SHARE = 0.6
#: Number of servers considered for a step, or one for each of its tasks if that is
#: more; the selection rotates.
MIN_CANDIDATES = 24


class _Pool(NamedTuple):
    # Servers of a service that accept starts, a part of them in a large fleet, and
    # whether all of them are crowded.
    window: list[Server]
    crowded: bool


class BestEffortAdmission:
    """Decides where best-effort tasks may start."""

    def __init__(self, model: InterferenceModel) -> None:
        self._model = model
        self._offset = 0
        self._selection = ServerSelection()
        self._servers: list[Server] = []
        self._pool_by_service: dict[str, _Pool] = {}
        self._open_by_image: dict[tuple[str, str], list[Server]] = {}

    def begin(self, servers: list[Server]) -> None:
        """Begin a placement round.

        :param servers: servers that accept starts.
        """
        self._open_by_image.clear()
        self._pool_by_service.clear()
        self._servers = servers

    def open_servers(
        self, best_effort: Step, service: str, now_ms: int
    ) -> list[Server]:
        """List servers with any capacity for a best-effort image.

        Cached for the round: hundreds of steps may be pending, and evaluating
        all servers for each of them would occupy a core.

        :param service: service whose servers run the step.
        :param now_ms: current monotonic time, in ms.
        :returns: candidate servers for ``admitting``.
        """
        servers = self._pool(service).window
        if self._any_server(_idle_ms(best_effort.job, now_ms), service):
            return servers
        key = service, best_effort.spec.image
        found = self._open_by_image.get(key)
        if found is None:
            found = [
                server
                for server in servers
                if min(self._model.allowance(server, best_effort, now_ms)) > 0
            ]
            self._open_by_image[key] = found
        # The selection serves all tasks of the step, which should not crowd on
        # few servers of a large fleet.
        count = max(MIN_CANDIDATES, best_effort.unfinished)
        if len(found) <= count:
            return found
        self._offset = (self._offset + count) % len(found)
        rotated = itertools.chain(found[self._offset :], found)
        return list(itertools.islice(rotated, count))

    def admitting(
        self,
        best_effort: Step,
        service: str,
        servers: list[Server],
        now_ms: int,
    ) -> list[Server]:
        """Keep the servers on which a task would run fast enough.

        :param service: service whose servers run the step.
        :param servers: servers with free resources for the task.
        :param now_ms: current monotonic time, in ms.
        """
        idle_ms = _idle_ms(best_effort.job, now_ms)
        if self._any_server(idle_ms, service):
            return servers
        min_speed = MIN_SPEED_SHARE if idle_ms < REDUCED_SPEED_AFTER_MS else 0
        return [
            server
            for server in servers
            if self._admits(server, best_effort, min_speed, now_ms)
        ]

    def excess(self, best_effort: Step, server: Server, now_ms: int) -> float:
        """Predict by how much a task exceeds the allowance of a server.

        :param now_ms: current monotonic time, in ms.
        :returns: excess as a share of the CPU that the task needs; over 1 if
            the allowance is exceeded already.
        """
        allowance = self._model.allowance(server, best_effort, now_ms)
        return max(0, 1 - min(allowance) / full_pace_share(server, best_effort))

    def usage(self, best_effort: Step, server: Server, now_ms: int) -> float:
        """Predict how much of the allowance of a server a task uses.

        :param now_ms: current monotonic time, in ms.
        :returns: share of the allowance, at most 1.
        """
        allowance = min(self._model.allowance(server, best_effort, now_ms))
        needed = full_pace_share(server, best_effort)
        return min(1, needed / allowance) if allowance > 0 else 1

    def _any_server(self, idle_ms: int, service: str) -> bool:
        return (
            idle_ms >= ANY_SERVER_AFTER_MS and not self._pool(service).crowded
        )

    def _pool(self, service: str) -> _Pool:
        # Computed on demand: most rounds have no best-effort task to place.
        pool = self._pool_by_service.get(service)
        if pool is None:
            servers = [
                server
                for server in self._servers
                if server.entry.service == service
            ]
            window = self._selection.window(servers)
            pool = _Pool(window, _are_crowded(servers))
            self._pool_by_service[service] = pool
        return pool

    def _admits(
        self, server: Server, best_effort: Step, min_speed: float, now_ms: int
    ) -> bool:
        needed = full_pace_share(server, best_effort)
        allowance = self._model.allowance(server, best_effort, now_ms)
        return (
            needed <= allowance.start
            and needed * min_speed <= allowance.sustained
        )


def _idle_ms(job: Job, now_ms: int) -> int:
    return 0 if has_runs(job) else now_ms - job.last_run_ms


def _are_crowded(servers: list[Server]) -> bool:
    used_milli = sum(server.used.processors_milli for server in servers)
    capacity_milli = sum(
        server.entry.capacity.processors_milli for server in servers
    )
    return used_milli >= CROWDED_SHARE * capacity_milli
