"""Wide gangs whose members are planned in several rounds.

No member is started before all of them are planned. The room of the others is held
meanwhile. If a planned member is lost, or that room, the others are stopped before they
were started, and the gang waits again.
"""

import collections
import itertools
from collections.abc import Callable, Iterator

from waxwingford.ports import Resources
from waxwingford.scheduling import _gangs as gangs
from waxwingford.scheduling._orders import Start
from waxwingford.scheduling._reservations import Reservations
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._state import Run, Step, Task

#: Members that are planned in one round.
MAX_MEMBERS_OF_ROUND = 500


class GangInProgress:
    """A gang of which some members are planned.

    :ivar number: run number of its members.
    :ivar starts: starts of the planned members.
    """

    def __init__(self, step: Step, assignments: list[gangs.Assignment]) -> None:
        """Begin without any planned member.

        :param assignments: servers of all members.
        """
        self.step = step
        self.number = gangs.next_run(step)
        self.starts: list[Start] = []
        self._left = collections.deque(assignments)

    @property
    def complete(self) -> bool:
        """Whether all members are planned."""
        return not self._left

    def take(self, count: int) -> Iterator[tuple[Task, Server]]:
        """Take members to plan, with their servers.

        :param count: number of members at most.
        """
        first = len(self.starts)
        for task in itertools.islice(self.step.tasks, first, first + count):
            server, members = self._left.popleft()
            if members > 1:
                self._left.appendleft(gangs.Assignment(server, members - 1))
            yield task, server

    def can_go_on(
        self, usable_ids: set[str], room_of: Callable[[Server], Resources]
    ) -> bool:
        """Tell whether the planned members are there, and room for the others.

        :param usable_ids: identifiers of the servers that accept starts.
        :param room_of: function that returns the resources of a server that the gang
            may use.
        """
        job = self.step.job
        ended = job.ended is not None or job.blocked
        if ended or self.step.stopped_run == self.number:
            return False
        runs = sum(map(len, self.step.runs_by_server.values()))
        if runs != len(self.starts):
            return False
        return all(
            server.entry.server_id in usable_ids
            and gangs.count_fitting(self.step, room_of(server)) >= members
            for server, members in self._left
        )

    def hold_room(self, reservations: Reservations) -> None:
        """Hold the room of the members that are still to be planned."""
        takes = self.step.spec.reserved_resources
        for server, members in self._left:
            held = Resources(*(members * one for one in takes))
            reservations.hold(server, self.step, held)

    def stop(self) -> None:
        """Stop the planned members, none of which was started."""
        for start in self.starts:
            start.run.stopping = True

    def note_planned(self, server: Server, run: Run) -> None:
        """Keep the start of a planned member."""
        self.starts.append(Start(server.entry.server_id, run))


__all__ = ('MAX_MEMBERS_OF_ROUND', 'GangInProgress')
