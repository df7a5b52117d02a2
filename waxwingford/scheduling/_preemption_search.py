"""Searches the runs whose stop makes room for a task at the lowest cost."""

from collections.abc import Iterator
from typing import NamedTuple

from waxwingford.ports import Resources, fits_resources, subtract_resources
from waxwingford.scheduling._eligibility import MAX_UNANSWERED_STARTS, eligible
from waxwingford.scheduling._isolation import Isolation
from waxwingford.scheduling._preemption_costs import (
    Victim,
    VictimFinder,
    cheapest_set,
    total_cost,
)
from waxwingford.scheduling._preemption_holds import PreemptionHolds
from waxwingford.scheduling._reservations import Reservations
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._shard_state import ShardState
from waxwingford.scheduling._task_order import PendingTask

#: Maximum number of servers whose free room is compared with the need in one search,
#: which takes microseconds each. It bounds a search in a large fleet in which nothing
#: can be preempted.
MAX_WINDOW_SERVERS = 400
#: Maximum number of these servers whose runs are listed and valued in one search,
#: which takes tens of microseconds each. The next search begins that many servers
#: later, so that several searches cover a larger fleet.
MAX_LISTED_SERVERS = 80


class Round(NamedTuple):
    """Placement round in which tasks were left.

    :ivar usable: servers that accept starts.
    :ivar now_ms: current monotonic time, in ms.
    """

    usable: list[Server]
    isolation: Isolation
    reservations: Reservations
    now_ms: int


class Choice(NamedTuple):
    """Runs to stop on a server.

    :ivar cost: work that is lost and restore time, in core-milliseconds.
    """

    server: Server
    victims: tuple[Victim, ...]
    cost: float


class ChoiceSearch:
    """Searches servers in turn."""

    def __init__(self, finder: VictimFinder, holds: PreemptionHolds) -> None:
        self._finder = finder
        self._holds = holds
        self._offset = 0

    def choices(self, pending: PendingTask, current: Round) -> list[Choice]:
        """List what may be stopped for a task on each server, the cheapest first.

        :returns: choices that cost less than the task gains.
        """
        candidates = self._candidates(pending, current)
        found = self._evaluate(pending, candidates, current.reservations)
        return sorted(found, key=_choice_cost)

    def _candidates(self, pending: PendingTask, current: Round) -> list[Server]:
        step, service = pending.step, pending.queue.service
        servers = [
            server
            for server in current.usable
            if server.entry.service == service
        ]
        self._offset = (self._offset + MAX_LISTED_SERVERS) % max(
            1, len(servers)
        )
        rotated = servers[self._offset :] + servers[: self._offset]
        window = eligible(step, service, rotated[:MAX_WINDOW_SERVERS])
        if step.spec.max_per_server:
            held = self._holds.servers_of(step)
            window = [one for one in window if one.incarnation not in held]
        return current.isolation.admitting(window, pending.task, step)

    def _evaluate(
        self,
        pending: PendingTask,
        candidates: list[Server],
        reservations: Reservations,
    ) -> Iterator[Choice]:
        gain = self._finder.gain(pending.step)
        takes = pending.step.spec.reserved_resources
        listed = 0
        for server in candidates:
            available = reservations.available_to(server, pending.step)
            deficit = subtract_resources(takes, available)
            if not _may_make_room(server, takes, deficit):
                continue
            listed += 1
            if listed > MAX_LISTED_SERVERS:
                break
            found = self._finder.find(server, pending.queue.priority)
            victims = cheapest_set(found, deficit)
            cost = total_cost(victims)
            if victims and cost < gain:
                yield Choice(server, victims, cost)


def briefly_unusable(state: ShardState, now_ms: int) -> list[Server]:
    """List the servers that are expected to accept starts in a moment.

    They have just refused a start, have many unanswered ones, or have yet to answer
    the first poll of this owner.

    :param now_ms: current monotonic time, in ms.
    """
    # The most selective checks come first.
    unusable = [
        server
        for server in state.server_by_id.values()
        if server.refusal_backoff_until_ms > now_ms
        or server.polled_ms < 0
        or len(server.unanswered) >= MAX_UNANSWERED_STARTS
    ]
    return [
        server
        for server in unusable
        if not _is_unusable_longer(server, now_ms)
        and server.entry.server_id not in state.withheld_servers
    ]


def has_room_soon(
    pending: PendingTask, unusable: list[Server], current: Round
) -> bool:
    """Tell whether a server with room for a task is only unusable for a moment.

    :param unusable: servers that are expected to accept starts in a moment.
    """
    task, step = pending.task, pending.step
    takes = step.spec.reserved_resources
    with_room = [
        server
        for server in unusable
        if server.incarnation not in task.avoided
        and fits_resources(
            takes, current.reservations.available_to(server, step)
        )
    ]
    if not with_room:
        return False
    candidates = eligible(step, pending.queue.service, with_room)
    return bool(current.isolation.admitting(candidates, task, step))


def _is_unusable_longer(server: Server, now_ms: int) -> bool:
    leaves = server.replaced or server.evacuated or server.entry.draining
    silent = not server.registered or server.failing_since_ms is not None
    excluded = server.unknown_runs or server.excluded_until_ms > now_ms
    return bool(leaves or silent or excluded)


def _choice_cost(choice: Choice) -> float:
    return choice.cost


def _may_make_room(
    server: Server, takes: Resources, deficit: Resources
) -> bool:
    """Tell whether a server lacks room that its runs could free.

    Cheaper than listing the runs, which takes most of the time of a search.

    :param deficit: resources that are missing, negative where some are left.
    """
    missing = any(one > 0 for one in deficit)
    return (
        missing
        and fits_resources(takes, server.entry.capacity)
        and fits_resources(deficit, server.used)
    )
