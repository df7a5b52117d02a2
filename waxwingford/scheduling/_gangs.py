"""Steps whose tasks work only all together.

A member that is alone waits for the others and is given up after a while, and
all that its servers kept for it is lost. So all members are placed at once or
none is, under one run number, and when one start fails the others are stopped
without waiting for that.
"""

from collections.abc import Callable
from typing import NamedTuple

from waxwingford.ports import Resources, fits_resources, subtract_resources
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._state import Step, Task


class Seat(NamedTuple):
    """A place for a member of a gang.

    :ivar task: the member.
    :ivar server: where it runs.
    """

    task: Task
    server: Server


def is_whole(step: Step) -> bool:
    """Tell whether all members of a gang can be placed now.

    :param step: of the gang.
    :returns: whether none of them has a run that isn't settled.
    """
    return not any(task.run_by_number for task in step.tasks)


def find_seats(
    step: Step,
    servers: list[Server],
    room_of: Callable[[Server], Resources],
) -> list[Seat] | None:
    """Find places for all members.

    :param step: of the gang.
    :param servers: that take starts and have what the step asks for.
    :param room_of: tells what is free for the gang on a server.
    :returns: a place for each, ``None`` if they don't all fit.
    """
    if step.spec.one_rack:
        by_rack: dict[str, list[Server]] = {}
        for server in servers:
            by_rack.setdefault(server.entry.rack, []).append(server)
        for group in by_rack.values():
            seats = _seats_in(step, group, room_of)
            if seats is not None:
                return seats
    return _seats_in(step, servers, room_of)


def next_run(step: Step) -> int:
    """Choose the run number that all members share.

    :param step: of the gang.
    :returns: a number above all that any of them had.
    """
    return 1 + max(task.last_run for task in step.tasks)


def share_checkpoint(step: Step, checkpoint: str) -> None:
    """Give all members the checkpoint that one of them has written.

    :param step: of the gang.
    :param checkpoint: newest one.
    """
    for task in step.tasks:
        task.checkpoint = checkpoint


def stop_others(step: Step, run_number: int) -> None:
    """Stop the members of a run that has lost one.

    :param step: of the gang.
    :param run_number: of the run.
    """
    for task in step.tasks:
        run = task.run_by_number.get(run_number)
        if run is not None:
            run.stopping = True


def stop_broken(step: Step) -> None:
    """Stop what is left of a gang that has lost a member.

    All members are planned in one record. Where one has no run, its run was
    settled, and the others wait for it in vain.

    :param step: of the gang.
    """
    whole = all(task.done or task.run_by_number for task in step.tasks)
    if whole:
        return
    for task in step.tasks:
        for run in task.run_by_number.values():
            run.stopping = True


def _seats_in(
    step: Step,
    servers: list[Server],
    room_of: Callable[[Server], Resources],
) -> list[Seat] | None:
    needs = step.spec.takes
    most = step.spec.most_per_server or step.spec.count
    seats: list[Seat] = []
    waiting = iter(step.tasks)
    for server in sorted(servers, key=_room_order):
        room, held = room_of(server), 0
        while fits_resources(needs, room) and held < most:
            task = next(waiting, None)
            if task is None:
                return seats
            seats.append(Seat(task, server))
            room = subtract_resources(room, needs)
            held += 1
    return seats if next(waiting, None) is None else None


def _room_order(server: Server) -> int:
    return -server.room.processors_milli
