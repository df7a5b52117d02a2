"""Gang scheduling: steps whose tasks must run at the same time.

All members are placed at once, or none, and share one run number. A member on
its own would hold its resources until it times out, so when a start fails the
other members are stopped right away.
"""

import functools
from collections.abc import Callable
from typing import NamedTuple

from waxwingford.ports import Resources
from waxwingford.scheduling._incarnations import Incarnation
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._state import Step, Task

#: Numbers of failed runs that are kept for each member, the latest; earlier ones
#: are counted only.
MAX_FAILED_RUNS = 32


class Assignment(NamedTuple):
    """Server assigned to members of a gang, and their number."""

    server: Server
    members: int


def is_ready(step: Step) -> bool:
    """Tell whether all members of a gang can be placed now.

    :returns: whether no member has an unsettled run.
    """
    return not step.runs_by_server


def count_fitting(step: Step, room: Resources) -> int:
    """Count the members of a gang that fit on a server.

    :param room: resources of the server that the gang may use.
    """
    needs = step.spec.reserved_resources
    limit = step.spec.max_per_server or step.spec.count
    counts = [
        free // needed
        for needed, free in zip(needs, room, strict=True)
        if needed
    ]
    return max(0, min([limit, *counts]))


def assign_members(
    step: Step,
    servers: list[Server],
    room_of: Callable[[Server], Resources],
) -> list[Assignment] | None:
    """Assign servers to all members, on one rack if the step prefers that.

    The members that fit on a server are counted, not tried one by one.

    Servers where a member has failed or made no progress are used only if the
    others don't suffice, as each failed run is an attempt of the whole gang.

    :param servers: servers that accept starts and suit the step.
    :param room_of: function that returns the resources of a server that the
        gang may use.
    :returns: assignments of all members, ``None`` if they don't all fit.
    """
    count_by_id = {
        server.entry.server_id: count_fitting(step, room_of(server))
        for server in servers
    }
    if sum(count_by_id.values()) < len(step.tasks):
        return None
    avoided = {one for task in step.tasks for one in task.avoided}
    ranked = sorted(servers, key=functools.partial(_rank, avoided))
    others = [server for server in ranked if server.incarnation not in avoided]
    if len(others) < len(ranked):
        assignments = _assign_near(step, others, count_by_id)
        if assignments is not None:
            return assignments
    return _assign_near(step, ranked, count_by_id)


def next_run(step: Step) -> int:
    """Return the run number for the next placement of all members.

    :returns: run number above all earlier ones of any member.
    """
    return 1 + max(task.last_run for task in step.tasks)


def stop_other_members(step: Step, run_number: int) -> None:
    """Stop the remaining members of a run that has lost one, once for each run.

    :param run_number: run number shared by the members.
    """
    if run_number == step.stopped_run:
        return
    step.stopped_run = run_number
    for task in step.tasks:
        run = task.run_by_number.get(run_number)
        if run is not None:
            run.stopping = True


def add_failed_run(task: Task, run_number: int) -> None:
    """Note that a member has failed.

    :param run_number: run number shared by the members.
    """
    if run_number not in task.failed_runs:
        task.failed_runs.append(run_number)
        del task.failed_runs[:-MAX_FAILED_RUNS]


def count_failed_runs(step: Step) -> int:
    """Count the runs of a gang in which any member has failed.

    Rows of older versions have only the number of failures of each member.
    """
    numbers = {number for task in step.tasks for number in task.failed_runs}
    unnumbered = max(
        task.failures - len(task.failed_runs) for task in step.tasks
    )
    return len(numbers) + unnumbered


def stop_incomplete(step: Step) -> None:
    """Stop the remaining members of a gang that has lost one.

    All members are planned in one record, so a member that isn't done and has
    no run has lost it.
    """
    complete = all(task.done or task.run_by_number for task in step.tasks)
    if complete:
        return
    for task in step.tasks:
        for run in task.run_by_number.values():
            run.stopping = True


def _assign_near(
    step: Step, ranked: list[Server], count_by_id: dict[str, int]
) -> list[Assignment] | None:
    """Assign servers of one rack if the step prefers that, or any servers.

    :param ranked: servers, the best one first.
    :param count_by_id: members that fit on each server.
    """
    if step.spec.one_rack:
        by_rack: dict[str, list[Server]] = {}
        for server in ranked:
            by_rack.setdefault(server.entry.rack, []).append(server)
        for rack_servers in by_rack.values():
            assignments = _assign_to(step, rack_servers, count_by_id)
            if assignments is not None:
                return assignments
    return _assign_to(step, ranked, count_by_id)


def _assign_to(
    step: Step, ranked: list[Server], count_by_id: dict[str, int]
) -> list[Assignment] | None:
    left = len(step.tasks)
    assignments: list[Assignment] = []
    for server in ranked:
        members = min(left, count_by_id[server.entry.server_id])
        if members:
            assignments.append(Assignment(server, members))
            left -= members
        if not left:
            return assignments
    return None


def _rank(avoided: set[Incarnation], server: Server) -> tuple[bool, int, int]:
    """Sort key of a server: the most free CPU first, unless runs failed there."""
    return (
        server.incarnation in avoided,
        round(server.penalty),
        -server.free_resources.processors_milli,
    )
