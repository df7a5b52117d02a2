"""Room kept free for lasting tasks that have waited too long.

What becomes free on a busy server comes in small pieces, and a short task that
needs no more takes each of them at once. A lasting task that needs several would
wait for as long as there is short work. So one server is chosen for it, and
nothing else is placed on what it needs there.
"""

from waxwingford.ports import (
    Resources,
    add_resources,
    fits_resources,
    subtract_resources,
)
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._turns import Waiting

#: Tasks for which room is kept at a time, and tasks for which a server is looked
#: for: the longest-waiting first. Short tasks last some seconds at most, so that
#: the next ones follow soon; room that is kept is idle meanwhile, and each look
#: goes through all servers.
MOST_HELD = 8
MOST_SOUGHT = 16
_NOTHING = Resources(0, 0, 0)


class Holds:
    """Room that is kept, worked out anew in each round."""

    def __init__(self) -> None:
        """Keep nothing."""
        self._held_by_server: dict[str, Resources] = {}
        self._held = 0
        self._sought = 0

    def clear(self) -> None:
        """Begin a round."""
        self._held_by_server.clear()
        self._held = 0
        self._sought = 0

    def room(self, server: Server) -> Resources:
        """Work out what is free for others.

        :param server: where.
        :returns: its room less what is kept there.
        """
        held = self._held_by_server.get(server.entry.server_id)
        if held is None:
            return server.room
        return subtract_resources(server.room, held)

    def keep(self, turn: Waiting, servers: list[Server]) -> None:
        """Keep room for a task on the server that has it soonest.

        That is the one that lacks least: nothing else is placed there, so it
        lacks less with each short task that ends. Where lasting tasks leave too
        little, nothing is kept: it would be idle for good.

        :param turn: the task that found no room.
        :param servers: those that could take it.
        """
        if self._held >= MOST_HELD or self._sought >= MOST_SOUGHT:
            return
        self._sought += 1
        needs = turn.step.spec.needs
        lack_by_server = {
            server.entry.server_id: _lack(needs, self.room(server))
            for server in servers
            if fits_resources(needs, self._room_in_time(server))
        }
        if not lack_by_server:
            return
        server_id = min(lack_by_server, key=lack_by_server.__getitem__)
        held = self._held_by_server.get(server_id, _NOTHING)
        self._held_by_server[server_id] = add_resources(held, needs)
        self._held += 1

    def _room_in_time(self, server: Server) -> Resources:
        """Work out what is free once all short tasks and fills have ended.

        :param server: where.
        :returns: its capacity less what lasts and what is kept.
        """
        room = subtract_resources(
            server.entry.capacity,
            self._held_by_server.get(server.entry.server_id, _NOTHING),
        )
        for step in server.step_by_run.values():
            if step.spec.lasting:
                room = subtract_resources(room, step.spec.needs)
        return room


def _lack(needs: Resources, room: Resources) -> tuple[int, int, int]:
    return tuple(
        max(0, needed - free) for needed, free in zip(needs, room, strict=True)
    )
