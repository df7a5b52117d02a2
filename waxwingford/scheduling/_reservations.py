"""Reservations of resources for overdue long-running tasks, and for preemptions.

On a busy server resources become free in small pieces, which short tasks take
at once, so that a large long-running task would starve. For an overdue task one
server is chosen, and nothing else is placed on the resources it needs there. What
preempted runs free is held for the task that preempted them.
"""

import functools
from collections.abc import Callable
from typing import TypeVar

from waxwingford.ports import (
    Resources,
    add_resources,
    fits_resources,
    subtract_resources,
)
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._specs import StepSpec
from waxwingford.scheduling._state import Step

#: Maximum number of reservations, as reserved resources are idle.
MAX_RESERVATIONS = 8
#: Maximum number of searches in one round, as each scans all servers.
MAX_SEARCHES = 16
#: Time before a search that found no server is repeated for a step, in ms.
SEARCH_RETRY_MS = 400
#: Estimated length up to which a running task is waited for, in ms.
MAX_AWAITED_MS = 4000
#: Totals of servers that are kept at most.
MAX_KEPT_TOTALS = 40_000
_NO_RESOURCES = Resources(0, 0, 0)
_Key = TypeVar('_Key')


class Reservations:
    """Reserved resources by server, recomputed in each placement round."""

    def __init__(self) -> None:
        self._reserved_by_server: dict[str, Resources] = {}
        self._held_by_step: dict[tuple[str, str], Resources] = {}
        self._overdue_by_step: dict[tuple[str, str], Resources] = {}
        self._reservations = 0
        self._searches = 0
        self._now_ms = 0
        self._retry_ms_by_step: dict[str, int] = {}
        self._limit_by_server: dict[str, Resources] = {}
        # With the number of changes of the server at that time.
        self._releasable_by_server: dict[
            tuple[str, Callable[[StepSpec], bool]],
            tuple[Server, int, Resources],
        ] = {}

    def begin(self, now_ms: int) -> None:
        """Begin a placement round.

        :param now_ms: current monotonic time, in ms.
        """
        self._reserved_by_server.clear()
        self._held_by_step.clear()
        self._overdue_by_step.clear()
        self._limit_by_server.clear()
        self._reservations = 0
        self._searches = 0
        self._now_ms = now_ms
        if self._retry_ms_by_step:
            self._retry_ms_by_step = {
                name: retry_ms
                for name, retry_ms in self._retry_ms_by_step.items()
                if retry_ms > now_ms
            }

    def available(self, server: Server, step: Step | None = None) -> Resources:
        """Return the resources of a server neither used nor reserved.

        :param step: step whose tasks may use what is held for it.
        """
        server_id = server.entry.server_id
        if (
            server_id in self._reserved_by_server
            or server_id in self._limit_by_server
        ):
            return self.within(server, self.limit_of(server), step)
        return server.free_resources

    def reduced_servers(self) -> set[str]:
        """Return the identifiers of servers on which not all free room is available."""
        return self._reserved_by_server.keys() | self._limit_by_server.keys()

    def within(
        self,
        server: Server,
        limit: Resources | None,
        step: Step | None = None,
    ) -> Resources:
        """Return the resources not reserved, with another limit than the set one.

        :param limit: resources that may be used at most, ``None`` for no limit.
        :param step: step whose tasks may use what is held for it.
        """
        room = server.free_resources
        if limit is not None:
            room = common_resources(room, limit)
        reserved = self._reserved_by_server.get(server.entry.server_id)
        if reserved is None:
            return room
        room = subtract_resources(room, reserved)
        if step is None or not self._held_by_step:
            return room
        held = self._held_by_step.get(_key(server, step), _NO_RESOURCES)
        return add_resources(room, held)

    def limit(self, server: Server, limit: Resources | None) -> None:
        """Limit what tasks of unknown end may use of a server.

        :param limit: resources that may be used at most, ``None`` for no limit.
        """
        if limit is None:
            self._limit_by_server.pop(server.entry.server_id, None)
        else:
            self._limit_by_server[server.entry.server_id] = limit

    def limit_of(self, server: Server) -> Resources | None:
        """Return the limit of a server, ``None`` for none."""
        return self._limit_by_server.get(server.entry.server_id)

    def available_to(self, server: Server, step: Step) -> Resources:
        """Return the resources that a task of a step need not preempt others for.

        What is held for the step is left out: other tasks of it have preempted for it.
        """
        overdue = self._overdue_by_step.get(_key(server, step), _NO_RESOURCES)
        return add_resources(self.available(server), overdue)

    def hold(self, server: Server, step: Step, resources: Resources) -> None:
        """Hold resources for a task that preempts others on a server."""
        _add(self._reserved_by_server, server.entry.server_id, resources)
        _add(self._held_by_step, _key(server, step), resources)

    def release(self, server: Server, step: Step, resources: Resources) -> None:
        """Release resources that were held in this round."""
        negative = subtract_resources(_NO_RESOURCES, resources)
        self.hold(server, step, negative)

    def may_search(self, step: Step) -> bool:
        """Tell whether ``reserve`` may be called for a task of a step.

        :param step: step of a task that doesn't fit on any server.
        :returns: whether the limits of this round allow another search.
        """
        if (
            self._reservations >= MAX_RESERVATIONS
            or self._searches >= MAX_SEARCHES
        ):
            return False
        return step.name not in self._retry_ms_by_step

    def reserve(self, step: Step, servers: list[Server]) -> Server | None:
        """Reserve resources for a task on the server that will fit it first.

        Chooses the server with the smallest deficit, which shrinks with each
        short task that ends there. Servers that have to wait for best-effort or
        long tasks come second, as these may take arbitrarily long. Resources of
        long-running tasks are never waited for.

        :param step: step of a task that doesn't fit on any server.
        :param servers: servers that are eligible for the task.
        :returns: reserved server, ``None`` if no server will fit the task.
        """
        self._searches += 1
        takes = step.spec.reserved_resources
        candidates = self._candidates(
            takes, servers, _outlasts_wait
        ) or self._candidates(takes, servers, _is_long_running)
        if not candidates:
            self._retry_ms_by_step[step.name] = self._now_ms + SEARCH_RETRY_MS
            return None
        server = min(
            candidates,
            key=lambda candidate: _deficit(takes, self.available(candidate)),
        )
        _add(self._reserved_by_server, server.entry.server_id, takes)
        _add(self._overdue_by_step, _key(server, step), takes)
        self._reservations += 1
        return server

    def _candidates(
        self,
        takes: Resources,
        servers: list[Server],
        stays: Callable[[StepSpec], bool],
    ) -> list[Server]:
        """Find servers that will fit a task once other tasks have ended.

        :param takes: resources of the task.
        :param stays: function that tells whose resources are not waited for.
        """
        return [
            server
            for server in servers
            if fits_resources(takes, self._available_later(server, stays))
        ]

    def _available_later(
        self, server: Server, stays: Callable[[StepSpec], bool]
    ) -> Resources:
        return add_resources(
            self.available(server), self._releasable(server, stays)
        )

    def _releasable(
        self, server: Server, stays: Callable[[StepSpec], bool]
    ) -> Resources:
        """Add up what the runs of a server release, once for each change of them."""
        key = server.entry.server_id, stays
        known = self._releasable_by_server.get(key)
        if known is not None:
            known_server, changes, total = known
            if known_server is server and changes == server.change_count:
                return total
        released = [
            step.spec.reserved_resources
            for step in server.step_by_run.values()
            if not stays(step.spec)
        ]
        total = functools.reduce(add_resources, released, _NO_RESOURCES)
        if len(self._releasable_by_server) >= MAX_KEPT_TOTALS:
            self._releasable_by_server.clear()
        self._releasable_by_server[key] = server, server.change_count, total
        return total


def common_resources(left: Resources, right: Resources) -> Resources:
    """Compute the resources that two vectors both have, element by element."""
    return Resources(*map(min, left, right))


def _key(server: Server, step: Step) -> tuple[str, str]:
    return server.entry.server_id, step.name


def _add(
    resources_by_key: dict[_Key, Resources], key: _Key, resources: Resources
) -> None:
    former = resources_by_key.get(key, _NO_RESOURCES)
    resources_by_key[key] = add_resources(former, resources)


def _is_long_running(spec: StepSpec) -> bool:
    return spec.long_running


def _outlasts_wait(spec: StepSpec) -> bool:
    return (
        spec.long_running
        or spec.best_effort
        or spec.estimate_ms > MAX_AWAITED_MS
    )


def _deficit(takes: Resources, available: Resources) -> tuple[int, int, int]:
    return tuple(
        max(0, taken - free)
        for taken, free in zip(takes, available, strict=True)
    )
