"""Servers on which a suspect of a crash starts alone.

Tasks that were started together with one that crashes its server would be
suspected with it again and again, and sound jobs would fail. So nothing else
starts on a suspect's server from before its start until the server has outlived
it, which takes some tenths of a second.
"""

from collections.abc import Callable

from waxwingford.ports import Resources
from waxwingford.scheduling import _gangs as gangs
from waxwingford.scheduling._book import Book
from waxwingford.scheduling._crashes import cause_of, is_suspect
from waxwingford.scheduling._runners import TaskKey
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._state import Step, Task

#: Part of the servers that take starts, of which suspects have one for themselves
#: at a time, but for one at least.
MOST_RESERVED_SHARE = 0.25


class Isolation:
    """Reserves servers for suspects."""

    def __init__(self, book: Book) -> None:
        """Work on a book.

        :param book: of the shard.
        """
        self._book = book
        self._reserved = 0
        self._most_reserved = 1

    def begin(self, usable: list[Server]) -> None:
        """Begin a round of placing; release what isn't needed any more.

        :param usable: servers that take starts.
        """
        self._reserved = 0
        self._most_reserved = max(1, int(len(usable) * MOST_RESERVED_SHARE))
        for server in usable:
            if server.reserved_for is None:
                continue
            if self._is_needed(server, server.reserved_for):
                self._reserved += 1
            else:
                server.reserved_for = None

    def admitting(
        self, servers: list[Server], task: Task, step: Step
    ) -> list[Server]:
        """Leave out the servers on which a task may not start now.

        :param servers: with room for it.
        :param task: which.
        :param step: its step.
        :returns: those on which nothing would start beside a suspect.
        """
        cause = cause_of(task.key, step)
        if not is_suspect(task, step):
            # It may have been one until now, and still have a server reserved.
            open_to_it = (None, cause)
            return [one for one in servers if one.reserved_for in open_to_it]
        return [one for one in servers if self._takes_alone(one, cause)]

    def reserve(
        self,
        task: Task,
        step: Step,
        able: list[Server],
        room_of: Callable[[Server], Resources],
    ) -> list[Server]:
        """Reserve servers for a suspect that found none for itself.

        :param task: which.
        :param step: its step.
        :param able: servers with room for it.
        :param room_of: tells what is free for it on a server.
        :returns: those that are reserved now.
        """
        cause = cause_of(task.key, step)
        if any(server.reserved_for == cause for server in able):
            return []
        free = [server for server in able if server.reserved_for is None]
        chosen = _choose(step, free, room_of)
        total = self._reserved + len(chosen)
        if self._reserved and total > self._most_reserved:
            return []
        for server in chosen:
            self.keep(server, task, step)
        return chosen

    def keep(self, server: Server, task: Task, step: Step) -> None:
        """Keep everything else from the server of a suspect.

        :param server: on which it is to start.
        :param task: which.
        :param step: its step.
        """
        if server.reserved_for is None:
            server.reserved_for = cause_of(task.key, step)
            self._reserved += 1

    def _takes_alone(self, server: Server, cause: TaskKey) -> bool:
        if server.reserved_for is None:
            may_have_it = self._reserved < self._most_reserved
        else:
            may_have_it = server.reserved_for == cause
        return may_have_it and all(
            cause_of(key.task, server.step_by_run[key]) == cause
            for key in server.fresh
        )

    def _is_needed(self, server: Server, cause: TaskKey) -> bool:
        if cause in self._book.ready_by_key:
            return True
        return any(
            cause_of(key.task, server.step_by_run[key]) == cause
            for key in server.fresh
        )


def _choose(
    step: Step,
    servers: list[Server],
    room_of: Callable[[Server], Resources],
) -> list[Server]:
    """Choose servers on which least is lost if the suspect crashes them."""
    if step.spec.gang:
        seats = gangs.find_seats(step, servers, room_of) or []
        return list({id(seat.server): seat.server for seat in seats}.values())
    by_load = sorted(servers, key=_count_runs)
    return by_load[:1]


def _count_runs(server: Server) -> int:
    return len(server.run_by_key)
