"""Tells whether all members of a gang fit at the same time, and where."""

from collections.abc import Callable
from typing import NamedTuple

from waxwingford.ports import Resources
from waxwingford.scheduling import _gangs as gangs
from waxwingford.scheduling._placement_answer import GangReport
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._state import Step

#: Members of the largest gang for which a place is searched.
MAX_MEMBERS = 2000


class GangPreview(NamedTuple):
    """Place of a gang.

    :ivar servers: servers of the members in the order of assignment, empty if the
        members don't fit.
    :ivar off_rack: candidates that aren't used as the gang is on another rack.
    """

    report: GangReport
    servers: list[Server]
    off_rack: list[Server]


def preview_gang(
    step: Step,
    candidates: list[Server],
    complete: bool,
    room_of: Callable[[Server], Resources],
) -> GangPreview:
    """Find out where the members of a gang would go.

    :param step: gang of which no member has a run.
    :param candidates: servers with room for a member.
    :param complete: whether there are no other candidates.
    :param room_of: function that returns the resources of a server that the gang
        may use.
    """
    count = step.spec.count
    assignments = None
    if count <= MAX_MEMBERS:
        assignments = gangs.assign_members(step, candidates, room_of)
    found = bool(assignments)
    by_id = {
        assignment.server.entry.server_id: assignment.server
        for assignment in assignments or ()
    }
    servers = list(by_id.values())
    racks = {server.entry.rack for server in servers}
    rack = racks.pop() if len(racks) == 1 else ''
    off_rack = [
        server
        for server in candidates
        if rack and step.spec.one_rack and server.entry.rack != rack
    ]
    known = found or (complete and count <= MAX_MEMBERS)
    room_for = sum(
        _count_fitting(step, room_of(server)) for server in candidates
    )
    report = GangReport(
        members=count,
        room_for=min(count, room_for),
        fits=found if known else None,
        rack=rack,
    )
    return GangPreview(report, servers, off_rack)


def _count_fitting(step: Step, room: Resources) -> int:
    """Count the members that fit on a server."""
    limit = step.spec.max_per_server or step.spec.count
    counts = [
        free // needed
        for needed, free in zip(step.spec.reserved_resources, room, strict=True)
        if needed
    ]
    return min([limit, *counts])
