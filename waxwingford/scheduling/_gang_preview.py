"""Tells whether all members of a gang fit at the same time, and where."""

import dataclasses
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from waxwingford.ports import Resources
from waxwingford.scheduling import _gangs as gangs
from waxwingford.scheduling._placement_answer import GangReport
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._state import Step

#: Members of all gangs of a job for which places are searched.
MAX_MEMBERS = 500


class GangPreview(NamedTuple):
    """Place of a gang.

    :ivar servers: servers of the members in the order of assignment, empty if the
        members don't fit.
    :ivar off_rack: candidates that aren't used as the gang is on another rack.
    """

    report: GangReport
    servers: list[Server]
    off_rack: list[Server]


class GangPreviews:
    """Finds places for the gangs of one job, with a limit of their members."""

    def __init__(self, room_of: Callable[[Server], Resources]) -> None:
        """Begin without gangs.

        :param room_of: function that returns the resources of a server that a gang
            may use.
        """
        self._room_of = room_of
        self._members_left = MAX_MEMBERS

    def preview(
        self, step: Step, candidates: list[Server], complete: bool
    ) -> GangPreview:
        """Find out where the members of a gang would go.

        :param step: gang of which no member has a run.
        :param candidates: servers with room for a member.
        :param complete: whether there are no other candidates.
        """
        count = step.spec.count
        searched = count <= self._members_left
        counts = [
            gangs.count_fitting(step, self._room_of(server))
            for server in candidates
        ]
        room_for = sum(counts)
        servers: list[Server] = []
        if searched and room_for >= count:
            self._members_left -= count
            servers = self._assign(step, candidates, counts)
        racks = {server.entry.rack for server in servers}
        rack = racks.pop() if len(racks) == 1 else ''
        off_rack = [
            server
            for server in candidates
            if rack and step.spec.one_rack and server.entry.rack != rack
        ]
        known = bool(servers) or (complete and room_for < count)
        report = GangReport(
            members=count,
            room_for=min(count, room_for),
            fits=bool(servers) if known else None,
            rack=rack,
        )
        return GangPreview(report, servers, off_rack)

    def _assign(
        self, step: Step, candidates: list[Server], counts: list[int]
    ) -> list[Server]:
        """Assign the members of a gang for which there is room.

        Only racks with room for all members are tried.
        """
        if step.spec.one_rack:
            room_by_rack: dict[str, int] = {}
            for server, room in zip(candidates, counts, strict=True):
                rack = server.entry.rack
                room_by_rack[rack] = room_by_rack.get(rack, 0) + room
            on_racks = [
                server
                for server in candidates
                if room_by_rack[server.entry.rack] >= step.spec.count
            ]
            if not on_racks:
                anywhere = msgspec.structs.replace(step.spec, one_rack=False)
                step = dataclasses.replace(step, spec=anywhere)
            candidates = on_racks or candidates
        assignments = gangs.assign_members(step, candidates, self._room_of)
        return [assignment.server for assignment in assignments or ()]
